"""What a node believes of servers' loads, memory and reachability."""

import time
import unittest

from medlargate.platform import PromptPart
from medlargate.relay._load_tracker import LoadTracker
from medlargate.routing import EngineSpec, Registration, ServiceSpec

SPEC = ServiceSpec("s", 100, EngineSpec(64, 50_000, transfer_per_token=2e-6))
PARTS = (PromptPart("aa", 10_000), PromptPart("bb", 2_000))


def server(name, zone="a"):
    return Registration(name, "s", "10.0.0.1:80", "10.0.0.1", 80, zone, 64)


class LoadsCase(unittest.TestCase):
    def setUp(self):
        self.book = LoadTracker("a")
        self.servers = [server(f"{zone}{n}", zone) for zone in "abc" for n in range(3)]

    def states(self, parts=PARTS):
        n_tokens = sum(part.n_tokens for part in parts)
        rows = self.book.make_states(SPEC, self.servers, parts, n_tokens)
        return {state.name: state for state in rows}

    def send(self, key, name, parts=PARTS):
        self.book.observe_send(key, SPEC, self.states(parts)[name], parts, 0.3)


class ReadingTest(LoadsCase):
    def test_reading_adds_up_and_does_not_vanish_before_it_is_done(self):
        self.send(1, "a0")
        one = self.states()["a0"].backlog
        self.send(2, "a0", (PromptPart("cc", 10_000),))
        two = self.states()["a0"].backlog
        self.assertGreater(one, 0.2)
        self.assertGreater(two, one + 0.2)

    def test_the_first_token_ends_it(self):
        self.send(1, "a0")
        self.book.observe_begin(1, SPEC, "a0")
        self.assertEqual(self.states()["a0"].backlog, 0.0)

    def test_a_peers_reading_counts(self):
        self.book.observe_note("n2", "b1", 1, 0.7, PARTS)
        state = self.states()["b1"]
        self.assertGreater(state.backlog, 0.6)
        self.assertEqual(state.n_uncached, 0)


class MemoryTest(LoadsCase):
    def test_what_was_read_there_is_held_there(self):
        self.send(1, "a0")
        self.book.observe_begin(1, SPEC, "a0")
        states = self.states()
        self.assertEqual(states["a0"].n_uncached, 0)
        self.assertEqual(states["b0"].n_fetchable, 12_000)
        self.assertEqual(states["b0"].source, "a0")

    def test_what_is_still_being_read_cannot_be_taken_over(self):
        # The load: the same beginning arrives again at once, in a wave.
        self.send(1, "a0")
        states = self.states()
        self.assertEqual(states["a0"].n_uncached, 0)
        self.assertEqual(states["b0"].n_fetchable, 0)
        self.assertIsNone(states["b0"].source)

    def test_what_a_peer_sent_is_ready_after_its_reading(self):
        self.book.observe_note("n2", "b1", 1, 0.05, PARTS)
        self.assertEqual(self.states()["a0"].n_fetchable, 0)
        time.sleep(0.06)
        self.assertEqual(self.states()["a0"].n_fetchable, 12_000)

    def test_of_two_holders_the_one_that_is_ready_is_the_source(self):
        self.book.observe_parts("b1", PARTS)
        self.send(1, "a0")
        self.assertEqual(self.states()["c0"].source, "b1")

    def test_the_least_recently_used_parts_yield(self):
        self.send(1, "a0")
        for number in range(5):
            self.send(10 + number, "a0", (PromptPart(f"p{number}", 9_000),))
        self.assertEqual(self.states()["a0"].n_uncached, 12_000)

    def test_a_server_that_died_holds_nothing(self):
        self.send(1, "a0")
        self.book.observe_unreachable("a0", "a")
        self.assertIsNone(self.states()["b0"].source)

    def test_every_node_ranks_the_same_home(self):
        other = LoadTracker("b")
        rows = other.make_states(SPEC, self.servers, PARTS, 12_000)
        mine = {state.name: state.home_rank for state in self.states().values()}
        self.assertEqual(mine, {state.name: state.home_rank for state in rows})


class CutTest(LoadsCase):
    """The load: a failure domain is cut off while requests arrive."""

    def test_after_two_servers_the_rest_of_a_domain_is_left_out(self):
        self.book.observe_unreachable("b0", "b")
        self.assertIn("b1", self.states())
        self.book.observe_unreachable("b1", "b")
        self.assertEqual({name[0] for name in self.states()}, {"a", "c"})

    def test_an_answer_from_there_ends_it(self):
        self.send(1, "b1")
        self.book.observe_unreachable("b0", "b")
        self.book.observe_unreachable("b1", "b")
        self.book.observe_begin(1, SPEC, "b1")
        self.assertIn("b2", self.states())

    def test_the_own_domain_is_never_taken_for_cut_off(self):
        self.book.observe_unreachable("a0", "a")
        self.book.observe_unreachable("a1", "a")
        self.assertIn("a2", self.states())

    def test_all_are_tried_when_nothing_is_left(self):
        for row in self.servers:
            self.book.observe_unreachable(row.server_id, row.zone)
        self.assertEqual(len(self.states()), len(self.servers))
