"""Store client while the store comes back from an older copy of its content."""

import asyncio
import unittest

from medlargate_standins.demo import HOST, Servers
from medlargate_standins.platform import Platform, make_platform_app
from returns.result import Failure, Success

from .. import Compare, HttpStore, Put


class RestoredStoreCase(unittest.IsolatedAsyncioTestCase):
    """One client of a store with a copy that lacks the newest writes."""

    async def asyncSetUp(self):
        self.platform, self.servers = Platform(), Servers()
        port = await self.servers.start(make_platform_app(self.platform))
        self.store = HttpStore(f"http://{HOST}:{port}", timeout=1.0)
        await self.put("a", b"1")
        self.copy = self.platform.store.snapshot()

    async def asyncTearDown(self):
        await self.store.close()
        await self.servers.close()

    async def put(self, key, value, *, lease=0):
        result = await self.store.write([], [Put(key, value, lease)])
        return result.unwrap().revision

    def restore(self):
        self.platform.store.restore(self.copy)


class RevisionTest(RestoredStoreCase):
    async def test_revisions_rise_across_a_restore(self):
        before = await self.put("a", b"2")
        self.restore()
        after = await self.put("a", b"3")
        self.assertGreater(after, before)
        entry = (await self.store.read("a")).unwrap().entries[0]
        self.assertEqual((entry.mod_revision, entry.value), (after, b"3"))

    async def test_condition_holds_on_a_revision_of_its_own_era_only(self):
        lost = await self.put("a", b"2")
        self.restore()
        current = await self.put("a", b"3")  # gets the same number in the store
        for revision, holds in ((lost, False), (current, True)):
            result = await self.store.write([Compare("a", revision)], [Put("a", b"4")])
            self.assertEqual(result.unwrap().succeeded, holds)

    async def test_restore_is_reported_once(self):
        n_restores = []
        self.store.restore_listeners.append(lambda: n_restores.append(1))
        await self.put("a", b"2")
        self.restore()
        await self.put("a", b"3")
        await self.put("a", b"4")
        self.assertEqual(len(n_restores), 1)
        self.assertEqual(self.store.era, 2)

    async def test_invalid_eras_are_ignored(self):
        revision = await self.put("a", b"2")
        for era in ("soon", "", "-3", "9" * 40):
            self.platform.store.era = era
            self.assertGreater(await self.put("a", b"3"), revision)
        self.assertEqual((self.store.era, self.store.was_restored), (1, False))


class WatchTest(RestoredStoreCase):
    async def test_watch_from_a_lost_revision_asks_for_a_full_read(self):
        lost = await self.put("a", b"2")
        self.restore()
        for value in (b"3", b"4", b"5"):  # the lost revision exists again
            self.platform.store.write([], [Put("a", value)])
        changes = (await self.store.poll("a", lost, 0.1)).unwrap()
        self.assertTrue(changes.compacted)
        changes = (await self.store.poll("a", lost, 0.1)).unwrap()
        self.assertTrue(changes.compacted)

    async def test_waiting_watch_reports_a_restore(self):
        revision = await self.put("a", b"2")
        poll = asyncio.create_task(self.store.poll("a", revision, 2.0))
        await asyncio.sleep(0.1)
        self.restore()
        self.assertTrue((await poll).unwrap().compacted)


class LeaseTest(RestoredStoreCase):
    async def test_lease_of_an_earlier_era_has_ended(self):
        lease = (await self.store.grant(5.0)).unwrap()
        self.restore()
        self.assertEqual((await self.store.renew(lease)).unwrap(), 0.0)

    async def test_lease_number_that_is_given_out_again_is_not_renewed(self):
        lease = (await self.store.grant(5.0)).unwrap()
        self.restore()
        self.platform.store.grant(5.0)
        await self.store.read("a")
        self.assertEqual((await self.store.renew(lease)).unwrap(), 0.0)
        written = await self.store.write([], [Put("b", b"1", lease)])
        self.assertIsInstance(written, Failure)

    async def test_lease_of_the_current_era_is_renewed(self):
        self.restore()
        lease = (await self.store.grant(5.0)).unwrap()
        self.assertIsInstance(await self.store.renew(lease), Success)
        self.assertGreater((await self.store.renew(lease)).unwrap(), 0.0)
