"""Cluster state, leases and usage windows after the store was restored from a copy."""

import unittest
from types import SimpleNamespace

from medlargate_standins._memory_store import MemoryStore, MemoryStoreClient
from returns.result import Success

from ...platform._eras import make_revision
from .. import DutyLease, UsageCounts, UsageReporter
from .test_cluster_state import ClusterStateCase, make_registration


class RegistrationsTest(ClusterStateCase):
    """Servers x and y are registered when the store is restored."""

    def read_restored(self, revision, *entries):
        self.read_store(make_revision(2, revision), *entries)

    def make_restored(self, name, revision, **more):
        return make_registration(name, make_revision(2, revision), **more)

    def test_restored_registrations_are_known_though_their_numbers_are_lower(self):
        self.read_restored(7, self.make_restored("x", 5), self.make_restored("z", 7))
        self.assertIn("z", self.state.servers)
        self.assertEqual(self.state.servers_revision, make_revision(2, 7))

    def test_missing_registration_lapses_instead_of_ending(self):
        self.read_restored(7, self.make_restored("x", 5))
        self.assertIn("y", self.state.servers)
        self.now += 2
        self.state.drop_lapsed()
        self.assertNotIn("y", self.state.servers)

    def test_draining_server_stays_draining(self):
        self.read_store(12, make_registration("x", 12, State="draining"))
        self.read_restored(7, self.make_restored("x", 5))
        self.assertTrue(self.state.servers["x"].draining)
        self.read_restored(9, self.make_restored("x", 9, born=77))
        self.assertFalse(self.state.servers["x"].draining)

    def leave_and_restore(self):
        """Let y leave, and restore the store from a copy in which it is registered."""
        self.read_store(12, make_registration("x", 5))
        self.read_restored(7, self.make_restored("x", 5), self.make_restored("y", 6))

    def test_server_that_had_left_is_withheld(self):
        self.leave_and_restore()
        self.assertNotIn("y", self.state.servers)
        self.now += 6
        self.state.drop_lapsed()
        self.assertIn("y", self.state.servers)

    def test_server_that_registers_again_is_not_withheld(self):
        self.leave_and_restore()
        self.read_restored(9, self.make_restored("x", 5), self.make_restored("y", 9))
        self.assertIn("y", self.state.servers)

    def test_withheld_registration_that_expires_is_dropped(self):
        self.leave_and_restore()
        self.read_restored(9, self.make_restored("x", 5))
        self.now += 6
        self.state.drop_lapsed()
        self.assertNotIn("y", self.state.servers)


class StoreCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 1000.0
        self.store = MemoryStore(lambda: self.now)

    def make_lease(self, owner, **more):
        return DutyLease(
            MemoryStoreClient(self.store),
            "platform",
            owner,
            lambda: self.now,
            lease_timeout=3.0,
            order_timeout=1.5,
            checks_fence=False,
            **more,
        )


class LeaseTest(StoreCase):
    async def test_holder_stops_at_once(self):
        lease = self.make_lease("n1")
        await lease.step()
        self.assertTrue(lease.is_holder())
        lease.observe_restore()
        self.assertFalse(lease.is_holder())

    async def test_successor_waits_longer_than_the_old_holder_acts(self):
        copy = self.store.snapshot()
        old = self.make_lease("n1")
        await old.step()
        self.store.restore(copy)
        successor = self.make_lease("n2", may_be_first=lambda: False)
        await successor.step()
        while old.is_holder():
            self.assertFalse(successor.is_holder())
            await self.advance(successor, 0.1)
        # The last order of the old holder may still be on its way.
        await self.advance(successor, old.order_timeout)
        self.assertFalse(successor.is_holder())
        await self.advance(successor, 1.0)
        self.assertTrue(successor.is_holder())

    async def advance(self, lease, seconds):
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            await lease.step()


class UsageTest(StoreCase):
    def setUp(self):
        super().setUp()
        self.era = 1
        self.sent = []
        self.copy = self.store.snapshot()

    def make_reporter(self, n_requests, *, clock_error=0.0):
        counts = UsageCounts(5.0)
        for at in (997.0, 1002.0, 1007.0):
            for _ in range(n_requests):
                counts.count_request("n1", "alpha", at)
        return UsageReporter(
            MemoryStoreClient(self.store),
            SimpleNamespace(is_holder=lambda: True, fence=7),
            counts,
            self.send,
            lambda: self.now + clock_error,
            get_era=lambda: self.era,
            may_be_first=lambda: self.era == 1,
            clock=lambda: self.now,
        )

    async def send(self, window, counts):
        self.sent.append((window, counts))
        return Success(200)

    def restore(self):
        self.store.restore(self.copy)
        self.era += 1

    def list_counts(self, window):
        return [counts for number, counts in self.sent if number == window]

    async def report_first_window(self):
        """Let n1 seal and send the window from 1000 to 1005."""
        first = self.make_reporter(3)
        await first.step()
        self.now = 1006.0
        await first.step()
        self.assertEqual(self.list_counts(200), [{"alpha": 3}])
        return first

    async def test_no_later_process_sends_other_counts_for_a_lost_seal(self):
        await self.report_first_window()
        self.restore()
        for _ in range(2):
            await self.make_reporter(5).step()
            self.now += 2.0
        self.assertEqual(self.list_counts(200), [{"alpha": 3}])

    async def test_windows_after_the_restore_are_reported(self):
        await self.report_first_window()
        self.restore()
        successor = self.make_reporter(5)
        await successor.step()
        self.now = 1011.0
        await successor.step()
        self.assertEqual(self.list_counts(201), [{"alpha": 5}])

    async def test_windows_that_end_while_the_next_holder_waits_are_reported(self):
        successor = self.make_reporter(5)
        await successor.step()
        self.now = 1003.0
        self.restore()
        successor.observe_restore()
        self.now = 1007.0
        await successor.step()
        self.assertEqual(self.list_counts(200), [{"alpha": 5}])

    async def test_windows_that_a_fast_clock_may_have_sealed_are_left_out(self):
        fast = self.make_reporter(3, clock_error=1.9)
        successor = self.make_reporter(5)
        for reporter in (fast, successor):
            await reporter.step()
        self.now = 1003.9
        await fast.step()
        self.assertEqual(self.list_counts(200), [{"alpha": 3}])
        self.restore()
        successor.observe_restore()
        for _ in range(4):
            self.now += 1.9
            await successor.step()
        self.assertEqual(self.list_counts(200), [{"alpha": 3}])
        self.assertEqual(self.list_counts(201), [{"alpha": 5}])

    async def test_seal_that_the_copy_has_is_sent_again_unchanged(self):
        await self.report_first_window()
        self.copy = self.store.snapshot()
        self.restore()
        await self.make_reporter(5).step()
        self.assertEqual(self.list_counts(200), [{"alpha": 3}, {"alpha": 3}])

    async def test_store_without_eras_needs_no_further_calls(self):
        self.era = 0
        reporter = self.make_reporter(3)
        await reporter.step()
        self.assertFalse(self.store.read("medlargate/era").entries)
