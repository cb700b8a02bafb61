"""Replays of a burst at servers that must not reject many requests."""

import random
import unittest

from medlargate.policy import draw_rejection_pause, has_brittle_room


class BurstReplayTest(unittest.TestCase):
    def send_burst(self, *, n_nodes, n_slots, n_known, n_requests=50):
        """Return the number of requests that all nodes send with one view of the load.

        Each node has ``n_requests`` requests, and learns nothing of the others while it
        sends them.
        """
        n_own = 0
        for _ in range(n_requests):
            if not has_brittle_room(
                n_running=n_known + n_own,
                n_own=n_own,
                n_slots=n_slots,
                n_nodes=n_nodes,
            ):
                break
            n_own += 1
        return n_own * n_nodes

    def test_nearly_full_server_gets_at_most_a_slot_more_from_each_node(self):
        for n_nodes in (2, 6, 80):
            n_sent = self.send_burst(n_nodes=n_nodes, n_slots=6, n_known=5)
            self.assertLessEqual(n_sent, n_nodes)

    def test_full_server_gets_nothing(self):
        self.assertEqual(self.send_burst(n_nodes=6, n_slots=6, n_known=6), 0)

    def test_empty_server_is_used(self):
        self.assertGreaterEqual(self.send_burst(n_nodes=6, n_slots=6, n_known=0), 6)


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
