"""Servers that fall over if they have to turn too many requests away."""

import asyncio
import time
import unittest

from medlargate_standins.relay_testbed import RelayTestbed, make_route

MAX_REJECTIONS = 3
N_NODES = 3


class BrittleServersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = RelayTestbed(n_nodes=N_NODES, domains=("fd-a", "fd-b"))
        routes = [make_route("read", "idempotent", "plain", MaxAttempts=3)]
        await self.world.start(Routes=routes)
        async with asyncio.timeout(5):
            while any(len(it.fleet.table.list_alive()) < 2 for it in self.world.nodes):
                await asyncio.sleep(0.01)
        self.rejected_at = {}
        self.servers = [self.world.backends[name] for name in ("p1", "p2")]
        for server in self.servers:
            server.extra_headers = {"Server-Brittle": str(MAX_REJECTIONS)}
        # Each node learns from an answer of each server that it is brittle.
        for node in range(N_NODES):
            await asyncio.gather(*(self.call(node) for _ in range(12)))

    async def asyncTearDown(self):
        await self.world.close()

    async def call(self, node):
        return await self.world.call("/read/x", node=node)

    def fill(self):
        for server in self.servers:
            times = self.rejected_at[server.server_id] = []

            def reject(_, times=times):
                times.append(time.monotonic())
                return "refuse"

            server.behaviour = reject

    def count_most_rejections(self):
        """Return the largest number of requests that one server rejects in a second."""
        return max(
            sum(start <= at < start + 1.0 for at in times)
            for times in self.rejected_at.values()
            for start in times
        )

    async def test_full_server_rejects_few_requests_of_all_nodes(self):
        self.fill()
        calls = []
        for _ in range(30):
            calls += [asyncio.create_task(self.call(node)) for node in range(N_NODES)]
            await asyncio.sleep(0.1)
        replies = await asyncio.gather(*calls)
        self.assertEqual({reply.status for reply in replies}, {503})
        self.assertLessEqual(self.count_most_rejections(), MAX_REJECTIONS)

    async def test_server_with_room_again_is_used_again(self):
        self.fill()
        await asyncio.gather(*(self.call(node) for node in range(N_NODES)))
        for server in self.servers:
            server.behaviour = lambda _: "ok"
        await asyncio.sleep(2.2)
        replies = await asyncio.gather(*(self.call(0) for _ in range(10)))
        self.assertEqual({reply.status for reply in replies}, {200})


if __name__ == "__main__":
    unittest.main()
