"""Tests of the spillover to other failure domains, mostly by replays of load."""

import unittest
from dataclasses import replace

from .._domain_spill import (
    ClassLoad,
    DomainLoad,
    LinkTimes,
    PrefixTrips,
    SpillPlan,
    choose_destination,
    decide_spill,
    select_candidates,
)
from .._placement import ServerState
from .spill_replay import OPTIONS, TIMES, Replay

LONG_PROMPT = 17_000  # bytes


def replay_both(seconds, **settings):
    """Replay with the constant cost for each byte and with the spillover."""
    return Replay(False, **settings).run(seconds), Replay(True, **settings).run(seconds)


def rise_in_a(domain, now):
    return min(90, 30 + 20 * now) if domain == "a" else 25


def move(domain, now):
    return 85 if "abc"[int(now // 5) % 3] == domain else 25


class FullDomainTest(unittest.TestCase):
    """Load: one domain has more work than its 64 slots, the others have free slots."""

    def test_long_prompts_leave_before_callers_wait(self):
        constant, spill = replay_both(10, rate=rise_in_a, n_bytes=LONG_PROMPT)
        self.assertGreater(constant.waited["a"], 0.5 * constant.count["a"])
        self.assertLess(spill.waited["a"], 0.1 * spill.count["a"])
        self.assertLess(spill.waited["b"] + spill.waited["c"], 10)

    def test_short_prompts_need_no_more_bytes_than_with_the_constant(self):
        constant, spill = replay_both(10, rate=rise_in_a, n_bytes=4_500)
        self.assertLess(spill.n_sent_bytes, 1.05 * constant.n_sent_bytes)
        self.assertLess(spill.waited["a"], 0.1 * spill.count["a"])

    def test_balanced_domains_keep_their_work(self):
        constant, spill = replay_both(6, rate=lambda domain, now: 40)
        self.assertGreater(constant.n_sent_bytes, 300_000)
        self.assertLess(spill.n_sent_bytes, 0.1 * constant.n_sent_bytes)

    def test_other_sizes(self):
        # 12 nodes with a view each, and plain servers of 6 slots.
        for size in ({"n_nodes": 4}, {"n_servers": 2, "n_slots": 6}):
            with self.subTest(size):
                scale = size.get("n_servers", 4) * size.get("n_slots", 16) / 64

                def rate(domain, now, scale=scale):
                    return scale * rise_in_a(domain, now)

                spill = Replay(True, rate, n_bytes=LONG_PROMPT, **size).run(8)
                self.assertLess(spill.waited["a"], 0.2 * spill.count["a"])
                self.assertLess(spill.late_share("abc"), 0.02)


class MovingDemandTest(unittest.TestCase):
    """Load: the domain with too much work changes every 5 s."""

    def test_callers_of_no_domain_wait(self):
        constant, spill = replay_both(15, rate=move, n_bytes=LONG_PROMPT)
        for domain in "abc":
            self.assertGreater(constant.waited[domain], 0.3 * constant.count[domain])
            self.assertLess(spill.waited[domain], 0.13 * spill.count[domain])

    def test_work_returns_without_oscillation(self):
        def rate(domain, now):
            return 90 if domain == "a" and now < 5 else 25

        shares = Replay(True, rate).run(12).shares
        steady = [share for now, share in shares if 3 < now < 5]
        self.assertLess(max(steady) - min(steady), 0.15)
        after = [share for now, share in shares if now > 6]
        self.assertEqual(sorted(after, reverse=True), after)
        self.assertEqual(next(share for now, share in shares if now > 10), 0.0)


class SlowLinkTest(unittest.TestCase):
    """Load: answers from one of the free domains are late by the delay of its link."""

    def test_late_answers_end_once_the_delay_is_known(self):
        settings = {"rate": rise_in_a, "delays": {"b": 0.5}, "target": 0.5}
        constant, spill = replay_both(10, **settings)
        sent = [at for at, _, to in constant.sent_at if to == "b" and at > 6]
        self.assertGreater(len(sent), 20)
        sent = [at for at, _, to in spill.sent_at if to == "b" and at > 6]
        self.assertEqual(sent, [])
        self.assertLess(spill.late["a"], 0.5 * constant.late["a"])


class StaleFactsTest(unittest.TestCase):
    """Load: a domain that is no longer heard becomes busy while others send to it."""

    def test_silent_domain_is_no_destination(self):
        def rate(domain, now):
            return 60 if domain == "b" and now > 4 else rise_in_a(domain, now)

        settings = {"rate": rate, "is_heard": lambda name, now: name != "b" or now < 4}
        constant, spill = replay_both(10, **settings)
        # The facts are followed for 1.2 s, and the last status came before 4 s.
        sent = [at for at, _, to in constant.sent_at if to == "b" and at > 5.5]
        self.assertGreater(len(sent), 50)
        sent = [at for at, _, to in spill.sent_at if to == "b" and at > 5.5]
        self.assertEqual(sent, [])


class TwoToOneTest(unittest.TestCase):
    """Load: two domains have too much work, and one has free slots."""

    def replay(self, **more):
        def rate(domain, now):
            return min(72, 40 + 10 * now) if domain in "ab" else 20

        return replay_both(10, rate=rate, n_bytes=LONG_PROMPT, **more)

    def test_both_leave_and_the_destination_keeps_room_for_its_callers(self):
        constant, spill = self.replay()
        for domain in "ab":
            self.assertGreater(constant.waited[domain], 0.3 * constant.count[domain])
            self.assertLess(spill.waited[domain], 0.1 * spill.count[domain])
        self.assertLess(spill.waited["c"], 0.05 * spill.count["c"])

    def test_nodes_of_the_last_release_report_no_surplus(self):
        _, spill = self.replay(reports_surplus=False)
        self.assertLess(spill.waited["c"], 0.1 * spill.count["c"])


class AllFullTest(unittest.TestCase):
    """Load: every domain has more work than slots."""

    def test_nothing_is_sent(self):
        constant, spill = replay_both(8, rate=lambda domain, now: 75)
        # The domains are full from about 4 s on.
        sent = [sum(at > 4 for at, _, _ in it.sent_at) for it in (constant, spill)]
        self.assertGreater(sent[0], 300)
        self.assertLess(sent[1], 0.05 * sent[0])

    def test_callers_are_late_no_more_often(self):
        # Queues of single domains vary more than one queue of all would.
        constant, spill = replay_both(8, rate=lambda domain, now: 75)
        self.assertLess(spill.late_share("abc"), constant.late_share("abc") + 0.02)


OWN = DomainLoad("a", 100, {"a": 100}, n_waiting=20)
FREE = DomainLoad("b", 100, {"b": 20}, first_answer=0.05)
CHAT = ClassLoad("chat", 10, target=2.0, n_bytes=4_000)


def decide(own=OWN, others=(FREE,), classes=(CHAT,), **more):
    more = {"elapsed": 10.0, "hold_time": 1.0, "options": OPTIONS, **more}
    return decide_spill(own, others, classes, SpillPlan(), **more)


class DestinationTest(unittest.TestCase):
    def test_surplus_leaves_to_a_free_domain(self):
        plan = decide()
        # 120 slots of work, of which 7.5 of 100 slots are left free.
        self.assertAlmostEqual(plan.total_share, 27.5 / 120, delta=0.01)
        self.assertAlmostEqual(plan.shares["chat"]["b"], 27.5 / 120, delta=0.01)
        self.assertGreater(plan.gain, 0.5)

    def test_no_work_leaves_to_an_unusable_domain(self):
        unusable = {
            "stale": replace(FREE, age=1.3, interval=0.3),
            "unreachable": replace(FREE, link_failures=0.6),
            "without servers": replace(FREE, capacity=0.0, used_by={}),
            "slow link": replace(FREE, extra_delay=1.0),
            "full": replace(FREE, n_waiting=80),
        }
        for name, domain in unusable.items():
            with self.subTest(name):
                self.assertEqual(decide(others=[domain]).by_domain, {})
        self.assertEqual(decide(excluded={"b"}).by_domain, {})

    def test_bounds_of_the_settings_hold(self):
        options = replace(OPTIONS, max_share=0.1)
        self.assertLessEqual(decide(options=options).total_share, 0.1)
        # Guards against requests that leave because of a cached prefix or for want of
        # a free slot although the share is exhausted.
        self.assertNotEqual(decide().roomy_domains["chat"], frozenset())
        for away, max_share in ((20, 0.1), (0, 0.0)):
            used = replace(FREE, used_by={"b": 20, "a": away})
            bounded = replace(OPTIONS, max_share=max_share)
            plan = decide(others=[used], options=bounded)
            self.assertEqual(plan.open_domains, frozenset())
            self.assertEqual(plan.roomy_domains["chat"], frozenset())
        options = replace(OPTIONS, min_gain=1.5)
        self.assertEqual(decide(options=options).by_domain, {})

    def test_incorrect_surplus_of_a_domain_takes_a_bounded_part(self):
        # Guards against one wrong value that keeps all work in full domains.
        wrong = DomainLoad("c", 100, {"c": 95}, surplus=1e9)
        self.assertGreater(decide(others=[FREE, wrong]).total_share, 0.04)

    def test_class_with_the_longest_target_leaves_first(self):
        urgent = ClassLoad("urgent", 10, target=0.3)
        plan = decide(classes=[urgent, replace(CHAT, name="draft", target=4.0)])
        self.assertEqual(list(plan.shares), ["draft"])
        self.assertAlmostEqual(plan.shares["draft"]["b"], 2 * 27.5 / 120, delta=0.01)

    def test_draws_follow_the_shares(self):
        shares = {"b": 0.2, "c": 0.3}
        chosen = [choose_destination(shares, n / 100) for n in range(100)]
        self.assertEqual([chosen.count(it) for it in ("b", "c", None)], [20, 30, 50])


class CachedPrefixTest(unittest.TestCase):
    """Guards against prompts that cross domains for a small or a used-up gain."""

    def select(self, **more):
        states = [
            ServerState("a1", "a", 1, 16, n_uncached=8_000),
            ServerState("b1", "b", 1, 16, n_uncached=500),
            ServerState("b2", "b", 16, 16, n_uncached=0),
            ServerState("c1", "c", 1, 16, n_uncached=7_900),
        ]
        settings = {
            "domain": "a",
            "destination": None,
            "plan": SpillPlan(open_domains=frozenset("bc")),
            "class_name": "chat",
            "n_bytes": 20_000,
            "min_gain": 0.05,
            "delays": {},
            "prefix": "part",
            **more,
        }
        return [it.name for it in select_candidates(states, TIMES, **settings)]

    def test_large_gain_is_followed(self):
        self.assertEqual(self.select(), ["a1", "b1"])

    def test_stale_domain_and_slow_link_are_not_followed(self):
        self.assertEqual(self.select(plan=SpillPlan()), ["a1"])
        self.assertEqual(self.select(delays={"b": 1.0}), ["a1"])

    def test_trips_end_when_they_have_cost_as_much_as_a_prefill(self):
        trips = PrefixTrips()
        n_trips = 0
        while "b1" in self.select(trips_cost=trips.get_cost("part", 1.0)):
            trips.observe_trip("part", 0.09, 1.0)
            n_trips += 1
        self.assertEqual(n_trips, 7)
        self.assertEqual(trips.get_cost("part", 100.0), 0.0)

    def test_destination_without_a_free_slot_is_not_used(self):
        self.assertEqual(self.select(destination="c"), ["c1"])
        self.assertEqual(self.select(destination="d", plan=SpillPlan()), ["a1"])

    def test_long_wait_opens_domains_with_room(self):
        plan = SpillPlan(roomy_domains={"chat": frozenset("b")})
        self.assertEqual(self.select(plan=plan), ["a1"])
        self.assertEqual(self.select(plan=plan, accept_any=True), ["a1", "b1"])


class LinkTimesTest(unittest.TestCase):
    def test_delay_is_relative_to_the_own_domain_and_decays(self):
        links = LinkTimes("a")
        for n in range(60):
            links.observe_answer("a", 0.1, n * 0.1)
            links.observe_answer("b", 0.5, n * 0.1)
        self.assertAlmostEqual(links.get_extra_delay("b", 6.0), 0.4, delta=0.03)
        self.assertLess(links.get_extra_delay("b", 66.0), 0.11)

    def test_failed_connections_close_a_link_and_answers_open_it(self):
        links = LinkTimes("a")
        for _ in range(10):
            links.observe_connect_failure("b", 1.0)
        self.assertGreater(links.get_failure_share("b", 1.0), 0.5)
        for _ in range(10):
            links.observe_answer("b", 0.0, 1.0)
        self.assertLess(links.get_failure_share("b", 1.0), 0.3)
