"""Tests of the versions of streams, and replays of the loss of nodes."""

import random
import unittest

from medlargate.policy import VERSION_LIFETIME, VersionHistory, choose_origin_keepers


class VersionHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = VersionHistory()

    def test_one_version_is_not_mixed(self):
        self.history.observe_registered({"engine": {"v1"}, "plain": {"v7"}}, now=0.0)
        self.assertFalse(self.history.is_mixed("engine", now=1.0))
        self.assertEqual(self.history.snapshot(now=1.0), {})

    def test_version_counts_for_a_while_after_its_last_server(self):
        self.history.observe_registered({"engine": {"v1"}}, now=0.0)
        self.history.observe_registered({"engine": {"v2"}}, now=100.0)
        self.assertTrue(self.history.is_mixed("engine", now=100.0 + VERSION_LIFETIME))
        self.assertFalse(self.history.is_mixed("engine", now=101.0 + VERSION_LIFETIME))

    def test_node_that_starts_learns_versions_that_are_gone(self):
        self.history.observe_registered({"engine": {"v1"}}, now=0.0)
        self.history.observe_registered({"engine": {"v2"}}, now=10.0)
        started = VersionHistory()
        started.observe_registered({"engine": {"v2"}}, now=1000.0)
        started.merge(self.history.snapshot(now=20.0), now=1000.0)
        self.assertTrue(started.is_mixed("engine", now=1019.0))
        self.assertFalse(started.is_mixed("engine", now=1021.0))


class StatusExchangeReplayTest(unittest.TestCase):
    """Nodes tell each other five times a second when a version last served."""

    def test_gone_version_expires_on_nodes_that_tell_each_other(self):
        random_state = random.Random(7)
        nodes = [VersionHistory() for _ in range(20)]
        for node in nodes:
            node.observe_registered({"engine": {"v1", "v2"}}, now=0.0)
            node.observe_registered({"engine": {"v2"}}, now=0.0)
        now = 0.0
        while now < VERSION_LIFETIME + 5.0:
            now += random_state.uniform(0.005, 0.015)
            sender, receiver = random_state.sample(nodes, 2)
            ages = sender.snapshot(now=now)
            receiver.merge(ages, now=now + random_state.uniform(0.001, 0.003))
        self.assertFalse(any(node.is_mixed("engine", now=now) for node in nodes))


class KeepersReplayTest(unittest.TestCase):
    """Streams begin at all nodes, then nodes stop at the same time."""

    def count_lost(self, n_domains, n_per_domain, stopped):
        """Return the share of streams of stopped nodes that no live node keeps."""
        names = {
            f"{domain}-{number:03}": domain
            for domain in range(n_domains)
            for number in range(n_per_domain)
        }
        n_lost = n_streams = 0
        for node in stopped:
            near = [it for it in names if names[it] == names[node] and it != node]
            far = [it for it in names if names[it] != names[node]]
            for number in range(20):
                keepers = choose_origin_keepers(
                    f"{node}/{number}",
                    own_domain=near,
                    other_domains=far,
                    representative=max(near) if max(near) > node else None,
                )
                n_streams += 1
                n_lost += not set(keepers) - set(stopped)
        return n_lost / n_streams

    def test_one_node_loses_no_origin(self):
        for size in ((3, 2), (4, 20), (6, 33)):
            self.assertEqual(self.count_lost(*size, ["1-000"]), 0.0)

    def test_one_domain_loses_no_origin(self):
        for n_domains, n_per_domain in ((3, 2), (4, 20), (6, 33)):
            stopped = [f"1-{number:03}" for number in range(n_per_domain)]
            self.assertEqual(self.count_lost(n_domains, n_per_domain, stopped), 0.0)

    def test_three_in_five_nodes_lose_less_than_half_of_the_origins(self):
        names = [f"{domain}-{number:03}" for domain in range(4) for number in range(20)]
        stopped = random.Random(5).sample(names, 48)
        self.assertLess(self.count_lost(4, 20, stopped), 0.5)


if __name__ == "__main__":
    unittest.main()
