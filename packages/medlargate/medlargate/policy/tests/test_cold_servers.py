"""Many nodes with requests for one cold server, none of which sees what others send."""

import random
import unittest

from medlargate.policy import (
    TokenBucket,
    decide_cold_end,
    decide_cold_share,
    decide_rate,
)

STEP = 0.02  # seconds
MAX_DELAY = 0.2  # seconds until a request reaches the server


def replay(views, rate, *, overrun, slack, seed, decide=decide_cold_share):
    """Return the largest number of arrivals in a second, and the mean rate.

    ``views`` holds the nodes that each sending node knows. Every node always has a
    request to send.
    """
    random_state = random.Random(seed)
    buckets = {}
    for name, nodes in views.items():
        limits = {"overrun": overrun, "slack": slack}
        limits = limits if decide is decide_cold_share else {}
        share = decide("s", rate, nodes=nodes, name=name, **limits)
        if decide is decide_rate:
            buckets[name] = TokenBucket(share, 0.0)
        else:
            buckets[name] = TokenBucket(share.rate, 0.0, max_tokens=share.burst)
    arrivals = []
    n_steps = int(12 / STEP)
    for step in range(n_steps):
        now = step * STEP
        for bucket in buckets.values():
            # Requests come in bursts, between which the buckets fill.
            if int(now) % 3 and not bucket.compute_wait(now):
                bucket.spend(now)
                arrivals.append(now + random_state.uniform(0, MAX_DELAY))
    most = max(
        (sum(it <= other < it + 1 for other in arrivals) for it in arrivals), default=0
    )
    return most, len(arrivals) / (n_steps * STEP)


class SharedRateTest(unittest.TestCase):
    """Each case guards against more requests than a cold server bears."""

    def check(self, views, *, at_least=None, **limits):
        limits = {"rate": 5.0, "overrun": 1.5, "slack": 5.0, **limits}
        bound = limits["rate"] * limits["overrun"] + limits["slack"]
        for seed in range(4):
            most, mean = replay(views, seed=seed, **limits)
            self.assertLess(most, bound, (len(views), limits))
            if at_least is not None:
                self.assertGreater(mean, at_least * limits["rate"])

    def make_views(self, n_nodes):
        names = [f"n{number}" for number in range(n_nodes)]
        return {name: set(names) for name in names}

    def test_all_nodes_know_each_other(self):
        for n_nodes in (1, 6, 12, 62, 470):
            for rate, overrun, slack in ((5, 1.5, 5), (2, 1.5, 5), (40, 1.2, 0)):
                self.check(
                    self.make_views(n_nodes),
                    # Nothing is sent in a third of the time.
                    at_least=0.5,
                    rate=float(rate),
                    overrun=overrun,
                    slack=float(slack),
                )

    def test_late_starter_of_which_the_others_do_not_know(self):
        for n_nodes in (1, 6, 12, 62):
            for late in range(20):
                views = self.make_views(n_nodes)
                views[f"late{late}"] = set(views)
                self.check(views)

    def test_partitioned_nodes_do_not_each_take_the_whole_rate(self):
        # Three parts of the fleet do not hear each other, but still reach the server.
        # Shares of live nodes only, as for stated limits, bring three times the rate.
        names = [f"n{number}" for number in range(12)]
        parts = {
            name: set(names[i // 4 * 4 : i // 4 * 4 + 4])
            for i, name in enumerate(names)
        }
        most, _ = replay(parts, 5.0, overrun=1.5, slack=5.0, seed=1, decide=decide_rate)
        self.assertGreater(most, 12.5)
        self.check(self.make_views(12))

    def test_node_that_knows_no_other_node_yet_sends_nothing(self):
        share = decide_cold_share(
            "s", 5.0, overrun=1.5, slack=5.0, nodes=None, name="late"
        )
        self.assertEqual(share.rate, 0.0)

    def test_servers_have_different_senders(self):
        # If all servers are cold, one set of senders would leave the other nodes none.
        names = [f"n{number}" for number in range(12)]
        senders = {
            name
            for server in range(20)
            for name in names
            if decide_cold_share(
                f"s{server}", 5.0, overrun=1.5, slack=5.0, nodes=names, name=name
            ).rate
        }
        self.assertEqual(senders, set(names))


class ColdEndTest(unittest.TestCase):
    def decide(self, stated_end=None, started_at=None, traffic_started_at=None):
        return decide_cold_end(
            stated_end=stated_end,
            started_at=started_at,
            cold_start_time=3.0,
            traffic_started_at=traffic_started_at,
        )

    def test_start_counts_only_during_traffic(self):
        # Otherwise the servers that start before the day would be throttled at its
        # beginning.
        self.assertEqual(self.decide(started_at=10.0), float("-inf"))
        self.assertEqual(
            self.decide(started_at=10.0, traffic_started_at=11.0), float("-inf")
        )
        self.assertEqual(self.decide(started_at=10.0, traffic_started_at=9.0), 13.0)

    def test_later_end_holds(self):
        self.assertEqual(self.decide(20.0, 10.0, 9.0), 20.0)
        self.assertEqual(self.decide(12.0, 10.0, 9.0), 13.0)
