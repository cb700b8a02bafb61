"""Requests answered with 421 because a server restarted under a new id."""

import asyncio
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import RelayTestbed


class RestartedServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = RelayTestbed()
        await self.world.start()

    async def asyncTearDown(self):
        await self.world.close()

    def restart(self, *names):
        """Let servers answer under ids that differ from the registered ones."""
        for name in names:
            self.world.backends[name].server_id = f"{name}-new"

    async def test_route_of_one_attempt_is_retried_at_once(self):
        # Guards against 503 not_run:misdirected after the only attempt of the route.
        self.restart("p1")
        for _ in range(8):
            reply = await self.world.call("/book/x")
            self.assertEqual(reply.status, 200)
            self.assertLess(reply.elapsed, 0.4)
        runs = [it.runs for it in self.world.backends.values() if it.service == "plain"]
        self.assertEqual(sum(max(it.values(), default=0) > 1 for it in runs), 0)
        # Later requests avoid the stale id.
        self.assertLessEqual(len(self.world.backends["p1"].received_requests), 1)

    async def test_request_meets_few_restarted_servers_and_none_twice(self):
        names = [f"p{number}" for number in range(1, 7)]
        for name in names[2:]:
            await self.world.add_backend(Backend(name, "plain"))
        async with asyncio.timeout(5):
            while len(self.world.nodes[0].cluster_state.servers) < 8:
                await asyncio.sleep(0.01)
        self.restart(*names)
        reply = await self.world.call("/book/x")
        self.assertEqual(reply.status, 503)
        received = [len(self.world.backends[it].received_requests) for it in names]
        self.assertEqual((max(received), sum(received)), (1, 4))

    async def test_new_registrations_are_used(self):
        self.restart("p1", "p2")
        for name in ("p1", "p2"):
            self.world.register(self.world.backends[name])
        reply = await self.world.call("/book/x")
        self.assertEqual(reply.status, 200)


if __name__ == "__main__":
    unittest.main()
