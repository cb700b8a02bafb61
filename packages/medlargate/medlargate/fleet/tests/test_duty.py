"""Leases of duties after outages of the store, and the sealing of usage windows."""

import unittest

from medlargate_standins._memory_store import MemoryStore, MemoryStoreClient
from returns.result import Success

from medlargate.fleet import DutyLease, UsageCounts, UsagePartWriter, UsageReporter


class FakeClockStore:
    """A store with a simulated clock that can be made unavailable."""

    def __init__(self):
        self.now = 100.0
        self.down = False
        self.store = MemoryStore(lambda: self.now)

    async def raise_if_down(self, name, moment):
        if self.down:
            raise ConnectionError("the store is unavailable")

    def client(self):
        return MemoryStoreClient(self.store, self.raise_if_down)

    def lease(self, owner):
        return DutyLease(
            self.client(),
            "platform",
            owner,
            lambda: self.now,
            lease_timeout=3.0,
            order_timeout=1.5,
        )


class ResumeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = FakeClockStore()
        self.lease = self.world.lease("n1")
        await self.lease.step()
        self.world.now += self.lease.successor_wait()
        await self.lease.step()
        self.world.now += 0.1
        self.assertTrue(self.lease.is_holder())

    async def lose(self, seconds):
        self.world.down = True
        self.world.now += seconds
        await self.lease.step()
        self.assertFalse(self.lease.is_holder())
        self.world.down = False

    async def test_a_lease_still_in_the_store_is_resumed_at_once(self):
        fence = self.lease.fence
        await self.lose(2.0)
        await self.lease.step()
        self.assertTrue(self.lease.is_holder())
        self.assertEqual(self.lease.fence, fence)

    async def test_an_expired_lease_is_acquired_again_after_a_wait(self):
        fence = self.lease.fence
        await self.lose(4.0)
        await self.lease.step()
        self.assertFalse(self.lease.is_holder())
        self.world.now += self.lease.successor_wait()
        await self.lease.step()
        self.assertGreater(self.lease.fence, fence)

    async def test_a_lease_that_another_took_is_not_resumed(self):
        await self.lose(4.0)
        other = self.world.lease("n2")
        await other.step()
        await self.lease.step()
        self.assertFalse(self.lease.is_holder())
        self.assertEqual(self.lease.states.state, "follower")


class SealTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = FakeClockStore()
        self.lease = self.world.lease("n1")
        self.lease.is_holder = lambda: True
        self.counts = UsageCounts(5.0)
        self.sent = []
        self.all_heard = True
        self.duty = UsageReporter(
            self.world.client(),
            self.lease,
            self.counts,
            self.send,
            lambda: self.world.now,
            lambda since: self.all_heard,
        )

    async def send(self, window, counts):
        self.sent.append((window, counts))
        return Success(200)

    async def step_at(self, now):
        self.world.now = now
        await self.duty.step()

    async def test_a_window_is_reported_once_all_were_heard(self):
        self.counts.count_request("n1", "alpha", 101.0)
        await self.step_at(102.0)
        self.sent.clear()
        await self.step_at(106.0)
        await self.step_at(107.0)
        self.assertEqual(self.sent, [(20, {"alpha": 1})])

    async def test_an_unheard_node_is_waited_for_but_not_too_long(self):
        await self.step_at(104.0)
        self.sent.clear()
        self.all_heard = False
        await self.step_at(107.5)
        self.assertEqual(self.sent, [])
        await self.step_at(108.5)
        self.assertEqual([window for window, _ in self.sent], [20])

    async def test_an_unheard_nodes_part_counts(self):
        self.counts.count_request("n1", "alpha", 101.0)
        other = UsageCounts(5.0)
        other.count_request("n2", "alpha", 102.0)
        parts = UsagePartWriter(
            self.world.client(), other, "n2", lambda: self.world.now
        )
        self.world.now = 106.0
        await parts.step(heard_by_holder=False)
        await self.step_at(106.5)
        self.assertIn((20, {"alpha": 2}), self.sent)

    async def test_counts_sealed_by_another_node_are_sent_unchanged(self):
        self.counts.count_request("n1", "alpha", 101.0)
        from medlargate.platform import Put

        self.world.store.write([], [Put("medlargate/sealed/20", b'{"alpha":7}')])
        await self.step_at(106.5)
        self.assertIn((20, {"alpha": 7}), self.sent)
