"""Division of a limit, replayed with the traffic of a whole fleet."""

import math
import random
import unittest

from .._rate_limits import (
    TokenBucket,
    TokenDemand,
    TokenSupply,
    decide_rate,
    predict_token_wait,
)

WINDOW = 4.0  # seconds
INTERVAL = 0.5  # seconds between two decisions on the shares


def replay(max_rate, n_nodes, *, demand, seed, n_lost=0, duration=40.0):
    """Return the times of the requests that the nodes send to a limited server.

    ``demand`` requests a second arrive at random nodes and are tried once. From half
    of the time on, ``n_lost`` of the nodes are down and the others know it.
    """
    random_state = random.Random(seed)
    names = [f"n{number}" for number in range(n_nodes)]
    buckets = {name: TokenBucket(rate=0.0, updated_at=0.0) for name in names}
    sent, now, decided_at = [], 0.0, -INTERVAL
    while now < duration:
        if now - decided_at >= INTERVAL:
            decided_at = now
            alive = names[n_lost:] if now > duration / 2 else names
            for name in names:
                rate = decide_rate("s", max_rate, nodes=alive, name=name)
                if rate != buckets[name].rate:
                    buckets[name].set_rate(rate, now)
        now += random_state.expovariate(demand)
        bucket = buckets[random_state.choice(alive)]
        if not bucket.compute_wait(now):
            bucket.spend(now)
            sent.append(now)
    return sent


def count_most(times):
    counts = (sum(start <= it < start + WINDOW for it in times) for start in times)
    return max(counts, default=0)


class FleetReplayTest(unittest.TestCase):
    def test_no_window_exceeds_the_limit_by_half_and_five_requests(self):
        for max_rate in (0.0, 0.3, 1.4, 6.0, 40.0):
            for n_nodes in (1, 2, 6, 18, 195):
                sent = replay(max_rate, n_nodes, demand=150.0, seed=1, duration=20.0)
                with self.subTest(max_rate=max_rate, n_nodes=n_nodes):
                    allowed = 1.5 * max_rate * WINDOW + 5
                    self.assertLessEqual(count_most(sent), allowed)

    def test_bound_holds_while_nodes_are_lost(self):
        for seed in range(20):
            sent = replay(1.4, 6, demand=30.0, seed=seed, n_lost=3)
            self.assertLessEqual(count_most(sent), 1.5 * 1.4 * WINDOW + 5)

    def test_most_of_the_limit_is_used_under_load(self):
        for n_nodes in (1, 6, 195):
            sent = replay(1.4, n_nodes, demand=600.0, seed=2, duration=60.0)
            self.assertGreater(len(sent), 0.75 * 1.4 * 60.0)


class ShareTest(unittest.TestCase):
    def test_shares_add_up_to_the_limit(self):
        names = [f"n{number}" for number in range(30)]
        rates = [decide_rate("s", 3.0, nodes=names, name=name) for name in names]
        self.assertAlmostEqual(sum(rates), 3.0)

    def test_other_nodes_take_the_places_of_silent_ones(self):
        names = [f"n{number}" for number in range(30)]

        def list_senders(age):
            return {
                name
                for name in names
                if decide_rate("s", 1.0, nodes=names, name=name, notice_age=age)
            }

        self.assertEqual(list_senders(0.0), list_senders(9.0))
        self.assertNotEqual(list_senders(0.0), list_senders(11.0))


class TokenWaitTest(unittest.TestCase):
    """Waits where all servers limit their rate, replayed with random arrivals."""

    def test_late_requests_get_what_those_on_time_leave(self):
        for arrival_rate, rate in ((1.0, 0.5), (4.0, 1.0), (8.0, 10.0)):
            random_state = random.Random(1)
            demand, now, shares = TokenDemand(), 0.0, []
            while now < 300.0:
                now += random_state.expovariate(arrival_rate)
                demand.observe_arrival((1, False), time_on_time=0.25, now=now)
                shares.append(demand.compute_left_share((1, False), rate=rate, now=now))
            # Tokens find no request that has arrived in the last 0.25 s.
            expected = max(math.exp(-0.25 * arrival_rate), 1 - arrival_rate / rate)
            mean = sum(shares) / len(shares)
            self.assertAlmostEqual(mean, expected, delta=0.1, msg=arrival_rate)

    def test_burst_is_no_evidence_of_lasting_demand(self):
        demand = TokenDemand()
        for _ in range(20):
            demand.observe_arrival((1, False), time_on_time=2.0, now=5.0)
        share = demand.compute_left_share((1, False), rate=2.0, now=5.0)
        self.assertEqual(share, 1.0)

    def test_requests_yield_to_no_lower_class(self):
        demand = TokenDemand()
        for number in range(100):
            demand.observe_arrival((1, True), time_on_time=1.0, now=number / 10)
        share = demand.compute_left_share((1, False), rate=2.0, now=10.0)
        self.assertEqual(share, 1.0)

    def test_tokens_beyond_the_next_ones_come_at_the_rate(self):
        facts = {"time_on_time": 9.0, "left_share": 0.5}
        supply = TokenSupply((0.2, 0.6), 2.0)
        waits = [
            predict_token_wait(supply, n_ahead=number, n_ahead_if_late=9, **facts)
            for number in range(4)
        ]
        self.assertEqual(waits, [0.2, 0.6, 1.1, 1.6])
