"""Tests of the tracked load, prompt cache and reachability of servers."""

import time
import unittest

from medlargate.platform import PromptPart
from medlargate.policy import ServerState
from medlargate.relay._load_tracker import LoadTracker
from medlargate.routing import EngineSpec, Registration, ServiceSpec

SPEC = ServiceSpec("s", 100, EngineSpec(64, 50_000, transfer_time_per_token=2e-6))
PARTS = (PromptPart("aa", 10_000), PromptPart("bb", 2_000))


def server(name, zone="a"):
    return Registration(name, "s", "10.0.0.1:80", "10.0.0.1", 80, zone, 64)


class LoadTrackerCase(unittest.TestCase):
    def setUp(self):
        self.tracker = LoadTracker("a")
        self.servers = [server(f"{zone}{n}", zone) for zone in "abc" for n in range(3)]

    def states(self, parts=PARTS):
        n_tokens = sum(part.n_tokens for part in parts)
        rows = self.tracker.make_states(SPEC, self.servers, parts, n_tokens)
        return {state.name: state for state in rows}

    def send(self, exchange_id, name, parts=PARTS):
        self.tracker.observe_send(
            exchange_id, SPEC, self.states(parts)[name], parts, 0.3
        )


class PrefillTest(LoadTrackerCase):
    def test_prefill_work_accumulates_until_it_is_done(self):
        self.send(1, "a0")
        one = self.states()["a0"].backlog
        self.send(2, "a0", (PromptPart("cc", 10_000),))
        two = self.states()["a0"].backlog
        self.assertGreater(one, 0.2)
        self.assertGreater(two, one + 0.2)

    def test_first_token_removes_the_prefill_work(self):
        self.send(1, "a0")
        self.tracker.observe_response_start(1, SPEC, "a0")
        self.assertEqual(self.states()["a0"].backlog, 0.0)

    def test_late_first_tokens_of_many_nodes_are_not_added_up(self):
        # Each of ten nodes has a short prompt on an engine that is late by a second.
        peers = [LoadTracker("a") for _ in range(10)]
        for tracker in (*peers, self.tracker):
            state = ServerState("a0", "a", 0, 64, n_uncached=400)
            tracker.observe_send(1, SPEC, state, (), 0.02)
            tracker.get_view("a0").running[1].sent_at -= 1.0
        for number, peer in enumerate(peers):
            self.tracker.observe_peer_loads(f"n{number}", peer.list_own_loads())
        self.assertGreater(self.states()["a0"].backlog, 0.9)
        self.assertLess(self.states()["a0"].backlog, 1.3)

    def test_prefill_work_of_a_peer_counts(self):
        self.tracker.observe_load_update("n2", "b1", 1, 0.7, PARTS)
        state = self.states()["b1"]
        self.assertGreater(state.backlog, 0.6)
        self.assertEqual(state.n_uncached, 0)


class PromptCacheTest(LoadTrackerCase):
    def test_prompt_is_cached_after_prefill(self):
        self.send(1, "a0")
        self.tracker.observe_response_start(1, SPEC, "a0")
        states = self.states()
        self.assertEqual(states["a0"].n_uncached, 0)
        self.assertEqual(states["b0"].n_fetchable, 12_000)
        self.assertEqual(states["b0"].source, "a0")

    def test_prompt_cannot_be_fetched_during_prefill(self):
        # Requests with the same prefix arrive in a burst, before prefill has ended.
        self.send(1, "a0")
        states = self.states()
        self.assertEqual(states["a0"].n_uncached, 0)
        self.assertEqual(states["b0"].n_fetchable, 0)
        self.assertIsNone(states["b0"].source)

    def test_prompt_of_a_peer_is_fetchable_after_prefill(self):
        self.tracker.observe_load_update("n2", "b1", 1, 0.05, PARTS)
        self.assertEqual(self.states()["a0"].n_fetchable, 0)
        time.sleep(0.06)
        self.assertEqual(self.states()["a0"].n_fetchable, 12_000)

    def test_prefix_is_fetched_from_the_engine_that_has_finished_prefill(self):
        self.tracker.observe_parts("b1", PARTS)
        self.send(1, "a0")
        self.assertEqual(self.states()["c0"].source, "b1")

    def test_least_recently_used_parts_are_evicted(self):
        self.send(1, "a0")
        for number in range(5):
            self.send(10 + number, "a0", (PromptPart(f"p{number}", 9_000),))
        self.assertEqual(self.states()["a0"].n_uncached, 12_000)

    def test_unreachable_server_has_no_cached_parts(self):
        self.send(1, "a0")
        self.tracker.observe_unreachable("a0", "a")
        self.assertIsNone(self.states()["b0"].source)

    def test_all_nodes_choose_the_same_preferred_servers(self):
        other = LoadTracker("b")
        rows = other.make_states(SPEC, self.servers, PARTS, 12_000)
        mine = {state.name: state.home_rank for state in self.states().values()}
        self.assertEqual(mine, {state.name: state.home_rank for state in rows})


class DomainPartitionTest(LoadTrackerCase):
    """A failure domain becomes unreachable while requests arrive."""

    def test_domain_is_suspended_after_two_unreachable_servers(self):
        self.tracker.observe_unreachable("b0", "b")
        self.assertIn("b1", self.states())
        self.tracker.observe_unreachable("b1", "b")
        self.assertEqual({name[0] for name in self.states()}, {"a", "c"})

    def test_answer_from_the_domain_ends_the_suspension(self):
        self.send(1, "b1")
        self.tracker.observe_unreachable("b0", "b")
        self.tracker.observe_unreachable("b1", "b")
        self.tracker.observe_response_start(1, SPEC, "b1")
        self.assertIn("b2", self.states())

    def test_own_domain_is_never_suspended(self):
        self.tracker.observe_unreachable("a0", "a")
        self.tracker.observe_unreachable("a1", "a")
        self.assertIn("a2", self.states())

    def test_all_servers_are_candidates_if_all_are_suspended(self):
        for row in self.servers:
            self.tracker.observe_unreachable(row.server_id, row.zone)
        self.assertEqual(len(self.states()), len(self.servers))
