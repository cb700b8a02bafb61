"""Servers on shared machines that report their speed, with several nodes."""

import asyncio
import random
import unittest
from collections import Counter

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import RelayTestbed

SLOWNESS = 3.0
MOVE_INTERVAL = 4.0  # seconds after which other servers are slow
N_SERVERS = 9


class SharedMachinesTest(unittest.IsolatedAsyncioTestCase):
    """Load: three of nine servers at a time take three times as long, others later."""

    async def start(self, n_nodes, *, service, speed_text="100", **fields):
        self.world = RelayTestbed(n_nodes=n_nodes)
        self.addAsyncCleanup(self.world.close)
        await self.world.start()
        for backend in list(self.world.backends.values()):
            self.world.unregister(backend)
        self.servers = [
            Backend(f"s{number}", service, speed_text=speed_text, **fields)
            for number in range(N_SERVERS)
        ]
        for server in self.servers:
            await self.world.add_backend(server)
        names = {it.server_id for it in self.servers}
        async with asyncio.timeout(5):
            while any(
                set(it.cluster_state.servers) != names for it in self.world.nodes
            ):
                await asyncio.sleep(0.01)
        self.n_slow = self.n_sent = 0
        self.elapsed, self.statuses = [], Counter()

    async def call(self, path, node):
        reply = await self.world.call(path, node=node)
        self.statuses[reply.status if reply.complete else 0] += 1
        self.elapsed.append(reply.elapsed)

    def make_slow(self, names, *, report=True):
        for server in self.servers:
            is_slow = server.server_id in names
            server.slowness = SLOWNESS if is_slow else 1.0
            if report:
                server.speed_text = "300" if is_slow else "100"

    async def send(self, path, *, rate, seconds, n_warm=0, each_move=None):
        """Send requests at a rate; count those that go to slow servers."""
        rng = random.Random(7)
        loop = asyncio.get_running_loop()
        calls, start = [], loop.time()
        moved = -1
        counted = Counter()

        def count():
            return {it.server_id: len(it.received_requests) for it in self.servers}

        before = count()
        while (now := loop.time() - start) < seconds:
            if each_move is not None and int(now / MOVE_INTERVAL) != moved:
                moved = int(now / MOVE_INTERVAL)
                self.count_slow(before, count())
                before = count()
                each_move(moved)
            node = rng.randrange(len(self.world.nodes))
            calls.append(asyncio.create_task(self.call(path, node)))
            await asyncio.sleep(rng.expovariate(rate))
        self.count_slow(before, count())
        await asyncio.gather(*calls)
        return counted

    def count_slow(self, before, after):
        for server in self.servers:
            n_received = after[server.server_id] - before[server.server_id]
            self.n_sent += n_received
            self.n_slow += n_received * (server.slowness > 1.0)

    def move(self, number):
        first = 3 * number % N_SERVERS
        self.make_slow({f"s{it}" for it in range(first, first + 3)})

    def get_p90(self):
        return sorted(self.elapsed)[int(0.9 * len(self.elapsed))]

    async def check(self, n_nodes, path, **fields):
        await self.start(n_nodes, **fields)
        await self.send(path, rate=45, seconds=24, each_move=self.move)
        share, p90 = self.n_slow / self.n_sent, self.get_p90()
        print(f"slow share {share:.3f}, p90 {p90:.2f}", dict(self.statuses))
        self.assertEqual(set(self.statuses), {200})
        self.assertLessEqual(share, 0.08)
        self.assertLessEqual(p90, 0.6)

    async def test_streams_avoid_slow_engines(self):
        await self.check(
            6, "/resume-stream/x", service="engine", delay=0.2, pause=0.05, slots=8
        )

    async def test_calls_avoid_slow_plain_servers(self):
        await self.check(6, "/read/x", service="plain", delay=0.4, slots=6)


if __name__ == "__main__":
    unittest.main()
