"""Customers' shares, replayed with nodes that learn of each other with a delay."""

import heapq
import math
import random
import time
import unittest
from collections import deque
from dataclasses import dataclass, field

from medlargate.policy import (
    CustomerShares,
    choose_reported_consumers,
    is_over_share,
    make_queue_key,
)

REPORT_INTERVAL = 0.5  # seconds until peers know a node's consumers
# Bound stated in docs/design/0008-queueing-and-rejection.md.
MEMORY = 2.0  # seconds


def compute_wait_bound(longest, *, changes_size=False):
    """Return the bound on the wait of a customer at half its share, in seconds."""
    bound = REPORT_INTERVAL + longest
    return bound + MEMORY * math.log(2) if changes_size else bound


@dataclass
class Node:
    shares: CustomerShares = field(default_factory=CustomerShares)
    # Each customer's requests are in order of arrival.
    waiting: dict = field(default_factory=dict)
    n_running: int = 0


class Replay:
    """Nodes with a fixed number of slots each, that exchange their consumers.

    Customers are streams of requests ``(rate, work, start, end)``; a unit of work takes
    a slot for a second. Requests that waited for ``patience`` leave.
    """

    def __init__(self, customers, *, n_nodes, n_slots, seed, ordered=True, patience=5):
        self.random_state = random.Random(seed)
        self.nodes = [Node() for _ in range(n_nodes)]
        self.n_slots, self.ordered, self.patience = n_slots, ordered, patience
        self.waits = {name: [] for name in customers}
        self.lost = dict.fromkeys(customers, 0)
        self.served = dict.fromkeys(customers, 0.0)
        self.work_log = []
        self.events, self.n_events = [], 0
        for name, (rate, work, start, end) in customers.items():
            at = start
            while (at := at + self.random_state.expovariate(rate)) < end:
                self.add(at, "arrive", name, work * self.random_state.uniform(0.5, 1.5))
        for number in range(n_nodes):
            self.add(number * REPORT_INTERVAL / n_nodes, "report", number)

    def add(self, at, *event):
        self.n_events += 1
        heapq.heappush(self.events, (at, self.n_events, event))

    def run(self, until):
        while self.events and self.events[0][0] < until:
            now, _, (kind, *args) = heapq.heappop(self.events)
            getattr(self, kind)(now, *args)
        return self

    def arrive(self, now, name, work):
        node = self.random_state.choice(self.nodes)
        node.shares.observe_arrival(name, now)
        node.waiting.setdefault(name, deque()).append((name, work, now))
        self.dispatch(node, now)

    def report(self, now, number):
        work = choose_reported_consumers(
            {"service": self.nodes[number].shares.snapshot(now)}
        ).get("service", {})
        for peer in self.nodes:
            if peer is not self.nodes[number]:
                peer.shares.observe_peer(
                    str(number), work, now, lifetime=3 * REPORT_INTERVAL
                )
        self.add(now + REPORT_INTERVAL, "report", number)

    def finish(self, now, node):
        node.n_running -= 1
        self.dispatch(node, now)

    def dispatch(self, node, now):
        for name, rows in node.waiting.items():
            while rows and now - rows[0][2] > self.patience:
                rows.popleft()
                self.lost[name] += 1
        while node.n_running < self.n_slots:
            heads = [rows[0] for rows in node.waiting.values() if rows]
            if not heads:
                break
            row = min(heads, key=lambda it: self.make_key(node, it, now))
            name, work, arrived_at = row
            node.waiting[name].popleft()
            node.n_running += 1
            node.shares.observe_work(name, work, now)
            self.served[name] += work
            self.work_log.append((now, name, work))
            self.waits[name].append(now - arrived_at)
            self.add(now + work, "finish", node)

    def make_key(self, node, row, now):
        excess = node.shares.compute_excess(row[0], now) if self.ordered else 0.0
        return make_queue_key(
            priority=1,
            arrived_at=row[2],
            time_to_target=1.0,
            prefill_time=0.0,
            excess=excess,
        )

    def get_served_fraction(self, name):
        n_served = len(self.waits[name])
        return n_served / max(1, n_served + self.lost[name])


class LargeCustomerTest(unittest.TestCase):
    """Load: one customer sends twice the capacity, three a twentieth of it each."""

    def replay(self, **options):
        capacity = 6 * 4
        customers = {"large": (2 * capacity / 0.4, 0.4, 0, 30)}
        for number in range(3):
            customers[f"small{number}"] = (capacity / 20 / 0.4, 0.4, 0, 30)
        return Replay(customers, n_nodes=6, n_slots=4, seed=1, **options).run(60)

    def test_small_customers_wait_behind_no_request_of_the_large_one(self):
        replay = self.replay()
        for number in range(3):
            waits = sorted(replay.waits[f"small{number}"])
            self.assertGreater(replay.get_served_fraction(f"small{number}"), 0.99)
            self.assertLess(waits[int(0.95 * len(waits))], 1.0)

    def test_large_customer_gets_what_the_others_leave(self):
        served = self.replay().served
        self.assertGreater(sum(served.values()), 0.95 * 6 * 4 * 30)

    def test_order_of_arrival_fails_the_small_customers(self):
        # The replay shows the fault that the shares mend.
        replay = self.replay(ordered=False, patience=2)
        self.assertLess(replay.get_served_fraction("small0"), 0.7)


class ChangeOfSizeTest(unittest.TestCase):
    """Load: customers that turn large, stop, or come back after idle time."""

    def test_customer_that_turns_large_is_held_back_within_seconds(self):
        capacity = 12 * 3
        half = capacity / 2 / 0.4
        customers = {
            "first": (2 * capacity / 0.4, 0.4, 0, 15),
            "second": (2 * capacity / 0.4, 0.4, 15, 40),
            "steady": (half / 8, 0.4, 0, 40),
        }
        replay = Replay(customers, n_nodes=12, n_slots=3, seed=2).run(60)
        self.assertGreater(replay.get_served_fraction("steady"), 0.99)
        self.assertLess(
            max(replay.waits["steady"]), compute_wait_bound(0.6, changes_size=True)
        )

    def test_idle_time_gives_no_credit(self):
        # The work that two customers get from the return of one on does not depend on
        # how long it was idle, apart from the memory.
        shares = []
        for idle in (5, 50):
            customers = {
                "busy": (100, 0.4, 0, idle + 20),
                "back": (100, 0.4, idle, idle + 20),
            }
            replay = Replay(customers, n_nodes=2, n_slots=4, seed=3).run(idle + 20)
            rows = [it for it in replay.work_log if it[0] >= idle]
            total = sum(work for _, _, work in rows)
            shares.append(sum(w for _, name, w in rows if name == "back") / total)
        self.assertAlmostEqual(*shares, delta=0.03)
        self.assertLess(shares[1], 0.5 + MEMORY * math.log(2) / 2 / 20 + 0.05)

    def test_lone_customer_is_never_above_its_share(self):
        shares = CustomerShares()
        for step in range(100):
            shares.observe_work("only", 500.0, step / 10)
            self.assertEqual(shares.compute_excess("only", step / 10), 0.0)


class FuzzTest(unittest.TestCase):
    """Bounds of the design note for random customers, nodes and sizes of requests."""

    def make_customers(self, random_state, capacity):
        n_customers = random_state.randint(2, 7)
        customers = {}
        for number in range(n_customers):
            load = random_state.choice((0.02, 0.1, 0.4, 1.0, 2.0)) * capacity
            work = random_state.choice((0.05, 0.2, 0.6))
            customers[f"c{number}"] = (load / work, work, 0, 25)
        return customers

    def test_customers_below_their_share_wait_no_longer_than_the_bound(self):
        for seed in range(25):
            random_state = random.Random(seed)
            n_nodes = random_state.choice((1, 3, 6, 12))
            n_slots = random_state.randint(3, 8)
            capacity = n_nodes * n_slots
            customers = self.make_customers(random_state, capacity)
            options = {"n_nodes": n_nodes, "n_slots": n_slots, "seed": seed}
            replay = Replay(customers, **options).run(40)
            longest = 1.5 * max(work for _, work, _, _ in customers.values())
            for name, (rate, work, _, _) in customers.items():
                if rate * work <= 0.5 * capacity / len(customers):
                    with self.subTest(seed=seed, customer=name):
                        waits = sorted(replay.waits[name])
                        self.assertEqual(replay.lost[name], 0)
                        self.assertLess(waits[-1], compute_wait_bound(longest))

    def test_customers_that_always_wait_get_equal_work(self):
        for seed in range(8):
            random_state = random.Random(seed)
            n_nodes, n_slots = random_state.choice((1, 4, 9)), 6
            capacity = n_nodes * n_slots
            customers = {
                "many": (3 * capacity / 0.1, 0.1, 0, 20),
                "few": (1.2 * capacity / 0.3, 0.3, 0, 20),
            }
            options = {"n_nodes": n_nodes, "n_slots": n_slots, "seed": seed}
            replay = Replay(customers, **options).run(20)
            rows = [it for it in replay.work_log if it[0] >= 5]
            total = sum(work for _, _, work in rows)
            many = sum(work for _, name, work in rows if name == "many")
            with self.subTest(seed=seed, n_nodes=n_nodes):
                self.assertAlmostEqual(many / total, 0.5, delta=0.08)


class ReportTest(unittest.TestCase):
    """Rows that nodes send to each other, and reports that end or are wrong."""

    def test_largest_consumers_of_all_services_fill_eight_rows(self):
        work = {
            "engine": {f"c{n}": 100.0 * n for n in range(1, 30)},
            "plain": {"c1": 3.0, "c2": 1.0},
        }
        rows = choose_reported_consumers(work)
        self.assertEqual(sum(len(it) for it in rows.values()), 8)
        self.assertIn("c1", rows["plain"])

    def test_report_of_a_lost_peer_expires(self):
        shares = CustomerShares()
        shares.observe_arrival("b", 0.0)
        shares.observe_peer("n2", {"a": 100.0}, 0.0, lifetime=1.0)
        self.assertTrue(is_over_share(shares.compute_excess("a", 0.1)))
        self.assertEqual(shares.compute_excess("a", 1.2), 0.0)

    def test_impossible_values_are_left_out(self):
        shares = CustomerShares()
        work = {"a": math.nan, "b": -1.0, "c": math.inf, "d": 1.0}
        shares.observe_peer("n2", work, 0.0, lifetime=1.0)
        self.assertEqual(shares.compute_excess("d", 0.1), 0.0)

    def test_decision_costs_a_small_fraction_of_a_millisecond(self):
        shares = CustomerShares()
        for number in range(1_000):
            shares.observe_work(f"c{number}", 1.0, number / 1_000)
        started_at = time.process_time()
        for step in range(1_000):
            shares.observe_work("c1", 1.0, 1 + step / 1_000)
            shares.compute_excess("c1", 1 + step / 1_000)
        self.assertLess((time.process_time() - started_at) / 1_000, 0.0002)


if __name__ == "__main__":
    unittest.main()
