"""Tests of placement and admission control under bursts of long prompts."""

import unittest
from collections import Counter
from random import Random

from medlargate.policy import (
    LONG_PREFILL_TIME,
    FleetRetryBudget,
    ServerState,
    ServiceTimes,
    accepts_any_server,
    choose_short_prompt_engines,
    decide_placement,
    decide_wait,
    has_capacity,
    is_prefill_sensitive,
    make_queue_key,
)

TIMES = ServiceTimes(base=0.05, prefill_per_token=1 / 40_000, per_running_request=0.002)


def engine(name, domain="a", **more):
    return ServerState(name, domain, more.pop("n_running", 1), 64, **more)


def place(*states, n_bytes=20_000):
    return decide_placement(states, TIMES, domain="a", n_bytes=n_bytes).name


class PrefixAffinityTest(unittest.TestCase):
    def test_cached_prefix_outweighs_short_backlog(self):
        cached = engine("home", n_uncached=2_000, backlog=0.4)
        idle = engine("idle", n_uncached=17_000)
        self.assertEqual(place(cached, idle), "home")

    def test_cached_prefix_does_not_outweigh_long_backlog(self):
        cached = engine("home", n_uncached=2_000, backlog=3.0)
        idle = engine("idle", n_uncached=17_000)
        self.assertEqual(place(cached, idle), "idle")

    def test_uncached_prompt_goes_to_its_preferred_server(self):
        rows = [engine("one", n_uncached=17_000), engine("two", n_uncached=17_000)]
        preferred = engine("home", domain="b", n_uncached=17_000, home_rank=0)
        self.assertEqual(place(*rows, preferred), "home")

    def test_short_prompt_stays_in_its_failure_domain(self):
        near = engine("near", n_uncached=1_000, backlog=0.01)
        far = engine("far", domain="b", n_uncached=1_000)
        self.assertEqual(place(near, far), "near")

    def test_failing_server_is_avoided(self):
        failing = engine("failing", failure_share=0.4)
        busy = engine("busy", backlog=0.5)
        self.assertEqual(place(failing, busy), "busy")


class ConnectionReuseTest(unittest.TestCase):
    """Load: few requests of each node for many servers of similar load."""

    def place(self, *states):
        return decide_placement(
            states,
            TIMES,
            domain="a",
            connected={"connected"},
            connection_preference=0.02,
        ).name

    def test_server_with_an_idle_connection_is_preferred_among_similar_ones(self):
        states = engine("other"), engine("connected", n_running=5)
        self.assertEqual(place(*states), "other")
        self.assertEqual(self.place(*states), "connected")

    def test_idle_connection_does_not_outweigh_load(self):
        busy = engine("connected", backlog=0.1)
        self.assertEqual(self.place(engine("other"), busy), "other")


class LongPromptBurstTest(unittest.TestCase):
    """Load: every engine runs prefill of a long prompt while more long prompts wait.

    Guards against short prompts that queue behind long ones, and against long prompts
    that are sent to engines which are still busy with prefill.
    """

    def test_short_prompt_avoids_engines_with_long_prefill(self):
        reading = [engine(f"e{n}", backlog=0.8, n_uncached=1_000) for n in range(5)]
        unoccupied = engine("lane", n_running=20, n_uncached=1_000)
        self.assertEqual(place(*reading, unoccupied), "lane")

    def test_second_long_prompt_waits_at_the_node(self):
        state = engine("e1", backlog=0.5)
        self.assertFalse(has_capacity(state, is_engine=True, prefill_time=0.4))
        self.assertFalse(
            has_capacity(state, is_engine=True, prefill_time=0.4, accept_any=True)
        )
        self.assertTrue(
            has_capacity(state, is_engine=True, prefill_time=LONG_PREFILL_TIME / 2)
        )

    def test_long_prompt_is_sent_when_previous_prefill_is_almost_complete(self):
        state = engine("e1", backlog=0.05)
        self.assertTrue(has_capacity(state, is_engine=True, prefill_time=0.4))

    def test_reserved_engines_are_few_and_the_same_on_every_node(self):
        names = [f"e{n}" for n in range(12)]
        self.assertEqual(
            choose_short_prompt_engines(names), choose_short_prompt_engines(names[::-1])
        )
        self.assertEqual(len(choose_short_prompt_engines(names)), 1)
        self.assertEqual(len(choose_short_prompt_engines(names[:4])), 0)

    def test_loss_of_another_engine_keeps_the_reserved_engines(self):
        names = [f"e{n}" for n in range(12)]
        reserved = choose_short_prompt_engines(names)
        others = [name for name in names if name not in reserved]
        self.assertEqual(
            choose_short_prompt_engines([*reserved, *others[1:]]), reserved
        )

    def test_requests_that_can_meet_their_target_precede_late_ones(self):
        late = make_queue_key(
            priority=2, arrived_at=1, time_to_target=0.1, prefill_time=0.4
        )
        fresh = make_queue_key(
            priority=2, arrived_at=3, time_to_target=2.0, prefill_time=0.4
        )
        urgent = make_queue_key(
            priority=0, arrived_at=9, time_to_target=0.1, prefill_time=0.4
        )
        self.assertEqual(sorted([late, fresh, urgent]), [urgent, fresh, late])

    def test_wait_for_the_best_server_is_limited(self):
        self.assertFalse(accepts_any_server(waited=0.5, target=2.5))
        self.assertTrue(accepts_any_server(waited=1.1, target=2.5))


class ShortPausesTest(unittest.TestCase):
    """Load: short requests whose streams must not pause, among long prompts.

    Guards against pauses in a stream while its engine runs prefill of a long prompt.
    """

    def test_stream_that_tolerates_no_concurrent_long_prefill(self):
        times = ServiceTimes(base=0.05, prefill_per_token=1 / 37_900)
        self.assertTrue(
            is_prefill_sensitive(times, max_pause=0.4, n_tokens_per_event=5)
        )
        self.assertFalse(
            is_prefill_sensitive(times, max_pause=1.5, n_tokens_per_event=5)
        )
        self.assertFalse(
            is_prefill_sensitive(times, max_pause=0.0, n_tokens_per_event=5)
        )

    def test_stream_goes_to_an_engine_without_long_prompts(self):
        idle = engine("idle", n_running=0, risks_pauses=True)
        reserved = engine("lane", n_running=40)
        self.assertEqual(place(idle, reserved), "lane")

    def test_stream_accepts_long_prompts_to_avoid_a_long_delay(self):
        idle = engine("idle", n_running=0, risks_pauses=True)
        reserved = engine("lane", n_running=60, backlog=0.4)
        self.assertEqual(place(idle, reserved), "idle")

    def test_burst_of_short_requests_reserves_more_engines(self):
        names = [f"e{n}" for n in range(60)]
        calm = choose_short_prompt_engines(names, sensitive_demand=1.0)
        burst = choose_short_prompt_engines(names, sensitive_demand=6.0)
        self.assertEqual((len(calm), len(burst)), (7, 30))
        self.assertLess(calm, burst)

    def test_half_of_the_engines_still_serve_long_prompts(self):
        names = [f"e{n}" for n in range(12)]
        self.assertEqual(
            len(choose_short_prompt_engines(names, sensitive_demand=50.0)), 6
        )


class ThunderingHerdTest(unittest.TestCase):
    """Load: short requests on eighty nodes with identical knowledge of the engines.

    Guards against all nodes choosing the same engine at once.
    """

    def test_nodes_do_not_all_choose_the_same_engine(self):
        engines = [engine(f"e{n}", n_running=n % 4) for n in range(8)]
        engines.append(engine("busy", n_running=60))
        chosen = Counter()
        for node in range(80):
            placement = decide_placement(
                engines, TIMES, domain="a", jitter=0.06, random_state=Random(node)
            )
            chosen[placement.name] += 1
        self.assertGreaterEqual(len(chosen), 8)
        self.assertLess(max(chosen.values()), 25)
        self.assertNotIn("busy", chosen)


class RefusalTest(unittest.TestCase):
    def test_late_request_is_refused_with_retry_after(self):
        got = decide_wait(predicted_first_token=9.0, time_left=6.0, time_to_target=0.5)
        self.assertFalse(got.wait)
        self.assertLessEqual(got.retry_after, 2.0)
        self.assertGreater(got.retry_after, 0.0)

    def test_request_that_can_meet_its_target_waits(self):
        self.assertTrue(
            decide_wait(
                predicted_first_token=1.0, time_left=6.0, time_to_target=2.0
            ).wait
        )


class BudgetTest(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_budget(self):
        nodes = [FleetRetryBudget(ratio=0.2, slack=54, window=10) for _ in range(7)]
        n_repeats = 0
        for tick in range(1000):
            now = tick * 0.01
            node = nodes[tick % 7]
            node.observe_request(now)
            n_repeats += node.spend(now, n_nodes=7) + node.spend(now, n_nodes=7)
        self.assertLessEqual(n_repeats, 0.2 * 1000 + 54)
        self.assertGreater(n_repeats, 100)

    def test_budget_window_slides(self):
        budget = FleetRetryBudget(ratio=0.0, slack=2.0, window=10)
        self.assertTrue(budget.spend(0.0, n_nodes=1))
        self.assertFalse(budget.spend(5.0, n_nodes=1))
        self.assertTrue(budget.spend(10.5, n_nodes=1))
