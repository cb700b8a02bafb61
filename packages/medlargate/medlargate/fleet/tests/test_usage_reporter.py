"""Time at which the duty's holder reports a window while a peer is silent."""

import time
import unittest
from types import SimpleNamespace

from medlargate_standins._memory_store import MemoryStore, MemoryStoreClient
from returns.result import Success

from .. import UsageCounts, UsageReporter


class SilentPeersTest(unittest.IsolatedAsyncioTestCase):
    """Nodes restarted one after another, so that one is always silent for a while."""

    def setUp(self):
        self.now = 1000.0
        self.sent = {}
        self.all_heard = False
        self.partitioned = False
        counts = UsageCounts(5.0)
        for _ in range(3):
            counts.count_request("n1", "alpha", 997.0)
        self.duty = UsageReporter(
            MemoryStoreClient(MemoryStore(time.monotonic)),
            SimpleNamespace(is_holder=lambda: True, fence=7),
            counts,
            self.send,
            lambda: self.now,
            lambda since: self.all_heard,
            is_partitioned_since=lambda since: self.partitioned,
        )

    async def send(self, window, counts):
        self.sent[window] = counts
        return Success(200)

    async def step(self, seconds):
        self.now = 1000.0 + seconds
        await self.duty.step()
        return self.sent.get(199)

    async def test_a_silent_peer_delays_a_window_by_three_seconds(self):
        self.assertIsNone(await self.step(2.5))
        self.assertEqual(await self.step(3.1), {"alpha": 3})

    async def test_a_window_is_reported_at_once_when_all_were_heard(self):
        self.all_heard = True
        self.assertEqual(await self.step(0.9), {"alpha": 3})

    async def test_a_partitioned_domain_is_waited_for(self):
        # A domain that was cut off for six seconds once lacked in the windows that were
        # sealed after three.
        self.partitioned = True
        self.assertIsNone(await self.step(6.0))
        self.duty.counts.merge("n2", {199: {"alpha": 2}})
        self.all_heard = True
        self.assertEqual(await self.step(6.4), {"alpha": 5})

    async def test_a_partition_that_lasts_delays_a_window_by_less_than_allowed(self):
        self.partitioned = True
        self.assertEqual(await self.step(7.6), {"alpha": 3})
