"""A relay node while the store comes back from a copy some seconds old."""

import asyncio
import time

from medlargate_standins.relay_testbed import make_config, make_route

from ...fleet._usage_reporter import MAX_CLOCK_ERROR, MAX_SEAL_DELAY
from .test_relay import RelayCase


class RestoredStoreTest(RelayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.copy = self.world.platform.store.snapshot()

    async def restore(self):
        """Take the store away for a moment, and bring it back from the copy."""
        platform = self.world.platform
        platform.down_until = asyncio.get_running_loop().time() + 0.3
        platform.store.restore(self.copy)
        await asyncio.sleep(1.0)

    async def test_requests_are_served_through_a_restore(self):
        call = asyncio.create_task(self.restore())
        while not call.done():
            self.assertEqual((await self.world.call("/read/x")).status, 200)
            await asyncio.sleep(0.02)
        self.assertEqual(len(self.node.cluster_state.servers), 4)

    async def test_configuration_does_not_go_back(self):
        routes = [make_route("new", "idempotent", "plain")]
        self.world.put_config(make_config(2, Routes=routes))
        await asyncio.sleep(0.5)
        self.assertEqual((await self.world.call("/new/x")).status, 200)
        await self.restore()
        self.assertEqual((await self.world.call("/new/x")).status, 200)
        self.assertEqual((await self.world.call("/read/x")).status, 404)

    async def test_configuration_written_again_is_taken(self):
        self.world.put_config(make_config(2))
        await asyncio.sleep(0.5)
        await self.restore()
        routes = [make_route("new", "idempotent", "plain")]
        self.world.put_config(make_config(3, Routes=routes))
        await asyncio.sleep(0.5)
        self.assertEqual((await self.world.call("/new/x")).status, 200)

    async def test_draining_server_gets_no_requests(self):
        backend = self.world.backends["p1"]
        self.world.register(backend, state="draining")
        await asyncio.sleep(0.5)
        await self.restore()
        backend.received_requests.clear()
        for _ in range(20):
            await self.world.call("/read/x")
        self.assertEqual(backend.received_requests, [])

    async def test_fencing_tokens_do_not_fall(self):
        await asyncio.sleep(2.0)
        await self.restore()
        await asyncio.sleep(7.0)
        tokens = [fence for _, fence in self.world.platform.duty_calls]
        self.assertEqual(tokens, sorted(tokens))
        self.assertGreater(tokens[-1], tokens[0])

    async def test_windows_after_a_restore_are_reported(self):
        # Guards against windows left out while the next holder of the duties waits.
        await asyncio.sleep(2.0)
        restored_at = time.time()
        await self.restore()
        await asyncio.sleep(7.0)
        reported = self.world.platform.usage
        window = self.node.usage.window_at
        first = window(restored_at + MAX_CLOCK_ERROR)
        last = window(time.time() - MAX_SEAL_DELAY) - 1
        self.assertGreater(last, first)
        self.assertEqual(set(range(first, last + 1)) - set(reported), set())
        for reports in reported.values():
            self.assertEqual([reports[0]] * len(reports), reports)

    async def test_node_registers_again(self):
        empty = self.copy.entries.copy()
        del empty["medlargate/nodes/n1"]
        self.copy.entries.clear()
        self.copy.entries.update(empty)
        await self.restore()
        async with asyncio.timeout(7):
            while not self.world.platform.store.read("medlargate/nodes/n1").entries:
                await asyncio.sleep(0.1)
