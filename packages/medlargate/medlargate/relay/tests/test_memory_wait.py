"""Predicted wait for the memory of engines at a node that holds few requests."""

import unittest
from types import SimpleNamespace

from medlargate.policy import HeldRequest
from medlargate.relay._memory_tracker import MemoryTracker
from medlargate.routing import EngineSpec, ServiceSpec

SPEC = ServiceSpec("work", 100, EngineSpec(n_slots=8, n_cache_tokens=12_000))
N_SERVERS, N_PEERS = 9, 11


class FewOwnRequestsTest(unittest.TestCase):
    """Twelve nodes hold a hundred requests of 780 tokens for a second; this one two."""

    def setUp(self):
        self.now = 100.0
        self.memory = MemoryTracker(lambda: self.now)
        peers = [f"n{number}" for number in range(N_PEERS)]
        self.memory.list_peers = lambda: peers
        for number in range(2):
            exch = self.make_exchange(number)
            self.memory.observe_send(exch, f"e{number}")
            self.now += 1.0
            self.memory.observe_completed(exch)
            self.memory.observe_end(number, f"e{number}")
            self.memory.observe_send(self.make_exchange(10 + number), f"e{number}")
        loads = {f"e{number}": (1, 0.0) for number in range(N_SERVERS)}
        held = dict.fromkeys(loads, (780, 780, 0, 780))
        for name in loads:
            self.memory._get(name).service = SPEC.name
        for peer in peers:
            self.memory.observe_peer(peer, loads, held, lifetime=5.0)

    def make_exchange(self, number):
        return SimpleNamespace(
            exchange_id=number,
            service=SPEC,
            n_events=0,
            is_resumed=False,
            n_sent=1,
            attempt=SimpleNamespace(n_events=0),
            held=HeldRequest(700, 80.0, urgency=1.0),
        )

    def predict(self, n_ahead):
        exch = self.make_exchange(99)
        return self.memory.predict_wait(exch, n_ahead * 780, [0.0] * N_SERVERS)

    def test_wait_counts_the_part_of_what_all_nodes_release(self):
        # 101 requests end within a second, so this node may send eight of them.
        self.assertLess(self.predict(7), 1.0)

    def test_request_that_is_first_may_be_served_at_once(self):
        self.assertLess(self.predict(0), 0.1)

    def test_long_queue_waits_longer_than_its_callers(self):
        self.assertGreater(self.predict(60), 4.0)


if __name__ == "__main__":
    unittest.main()
