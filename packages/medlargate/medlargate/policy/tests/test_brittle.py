"""Replays of a burst at servers that must not reject many requests."""

import itertools
import random
import unittest

from medlargate.policy import (
    SlotCapacity,
    draw_rejection_pause,
    has_brittle_room,
    has_turn,
)


class BurstReplayTest(unittest.TestCase):
    def send_burst(self, *, n_nodes, n_slots, n_known, n_requests=50):
        """Return the number of requests that all nodes send with one view of the load.

        Each node has ``n_requests`` requests, and learns nothing of the others while it
        sends them.
        """
        n_sent = 0
        for rank in range(n_nodes):
            n_own = 0
            while n_own < n_requests and has_brittle_room(
                n_running=n_known + n_own,
                n_slots=n_slots,
                turn=has_turn("server", rank=rank, n_nodes=n_nodes, wall_time=10.05),
                contended=True,
            ):
                n_own += 1
            n_sent += n_own
        return n_sent

    def test_nodes_of_a_burst_send_no_more_than_the_free_slots(self):
        # Each node once took the same free slots for its own.
        for n_nodes in (2, 6, 80):
            for n_known in (0, 3, 5):
                n_sent = self.send_burst(n_nodes=n_nodes, n_slots=6, n_known=n_known)
                self.assertEqual(n_sent, 6 - n_known)

    def test_full_server_gets_nothing(self):
        self.assertEqual(self.send_burst(n_nodes=6, n_slots=6, n_known=6), 0)

    def test_empty_server_is_used(self):
        self.assertGreaterEqual(self.send_burst(n_nodes=6, n_slots=6, n_known=0), 6)

    def test_node_without_waiting_requests_need_not_wait_for_its_turn(self):
        for n_running, has_room in ((0, True), (2, True), (3, False)):
            found = has_brittle_room(
                n_running=n_running, n_slots=6, turn=False, contended=False
            )
            self.assertEqual(found, has_room)


class SlotReplayTest(unittest.TestCase):
    def test_slots_are_learned_with_few_rejections_and_found_again(self):
        # Nodes once sent as many requests as configured, however many were rejected.
        for stated, start in ((8, 3), (64, 20), (8, 1)):
            capacity, actual = SlotCapacity.start(stated, now=0.0), start
            rejected_at = []
            for step in range(1, 3000):
                now = step * 0.1
                actual = start + 2 if now > 100 else start
                limit = min(stated, capacity.get_limit(now, turn=True))
                if limit > actual:
                    rejected_at.append(now)
                    capacity = SlotCapacity.learn(
                        capacity, n_running=actual + 1, now=now
                    )
                else:
                    capacity.observe_accepted(limit, now)
            self.assertEqual(capacity.n_slots, min(stated, start + 2))
            self.assertLessEqual(len(rejected_at), 14)
            gaps = [b - a for a, b in itertools.pairwise(rejected_at)]
            self.assertGreater(min(gaps), 3.0)


class PauseReplayTest(unittest.TestCase):
    """A server stays full; each rejection makes all nodes pause."""

    def count_most_rejections(self, *, max_rejections, n_nodes, latency):
        random_state = random.Random(3)
        now, times = 0.0, []
        next_try = [0.0] * n_nodes
        while now < 60.0:
            now = min(next_try)
            for node in range(n_nodes):
                if next_try[node] > now + latency:
                    continue
                times.append(now)
            for node in range(n_nodes):
                pause = draw_rejection_pause(
                    max_rejections, n_nodes=n_nodes, random_state=random_state
                )
                next_try[node] = now + pause
        rest = [at for at in times if at > 0.0]
        return max(sum(start <= at < start + 1 for at in rest) for start in rest)

    def test_full_server_rejects_no_more_than_it_bears(self):
        for n_nodes in (2, 6, 80, 195):
            n_most = self.count_most_rejections(
                max_rejections=4, n_nodes=n_nodes, latency=0.01
            )
            self.assertLessEqual(n_most, 4)


if __name__ == "__main__":
    unittest.main()
