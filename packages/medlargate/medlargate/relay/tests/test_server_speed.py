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


class SpeedTestCase(unittest.IsolatedAsyncioTestCase):
    """Several nodes, and servers that report the speed of their machine."""

    async def start(self, n_nodes, *, service, n_servers=N_SERVERS, **fields):
        # The debug mode of unittest's loop takes most of the time of a call.
        asyncio.get_running_loop().set_debug(False)
        self.world = RelayTestbed(n_nodes=n_nodes)
        self.addAsyncCleanup(self.world.close)
        await self.world.start()
        for backend in list(self.world.backends.values()):
            self.world.unregister(backend)
        self.servers = [
            Backend(f"s{number}", service, speed_text="100", **fields)
            for number in range(n_servers)
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

    async def send(self, path, *, rate, seconds, move=lambda _: None):
        """Send requests at a rate; count those that go to slow servers."""
        rng = random.Random(7)
        loop = asyncio.get_running_loop()
        calls, start, moved = [], loop.time(), -1
        before = self.count_received()
        while (now := loop.time() - start) < seconds:
            if int(now / MOVE_INTERVAL) != moved:
                moved = int(now / MOVE_INTERVAL)
                self.count_slow(before)
                before = self.count_received()
                move(moved)
            node = rng.randrange(len(self.world.nodes))
            calls.append(asyncio.create_task(self.call(path, node)))
            await asyncio.sleep(rng.expovariate(rate))
        self.count_slow(before)
        await asyncio.gather(*calls)
        # A call that met a slow server with a queue may end at its deadline.
        self.assertGreaterEqual(self.statuses[200], 0.99 * len(self.elapsed))

    def count_received(self):
        return {it.server_id: len(it.received_requests) for it in self.servers}

    def count_slow(self, before):
        after = self.count_received()
        for server in self.servers:
            n_received = after[server.server_id] - before[server.server_id]
            self.n_sent += n_received
            self.n_slow += n_received * (server.slowness > 1.0)

    def move(self, number):
        first = 3 * number % N_SERVERS
        for index, server in enumerate(self.servers):
            is_slow = first <= index < first + 3
            server.slowness = SLOWNESS if is_slow else 1.0
            server.speed_text = "300" if is_slow else "100"


class SharedMachinesTest(SpeedTestCase):
    """Load: three of nine servers at a time take three times as long, others later.

    Guards against requests to servers that are reported to be slow.
    """

    async def check(self, path, **fields):
        await self.start(6, **fields)
        await self.send(path, rate=45, seconds=24, move=self.move)
        p90 = sorted(self.elapsed)[int(0.9 * len(self.elapsed))]
        figures = f"share {self.n_slow / self.n_sent:.3f}, p90 {p90:.2f}"
        self.assertLessEqual(self.n_slow / self.n_sent, 0.08, figures)
        self.assertLessEqual(p90, 0.6, figures)

    async def test_streams_avoid_slow_engines(self):
        await self.check(
            "/resume-stream/x", service="engine", delay=0.2, pause=0.05, slots=8
        )

    async def test_calls_avoid_slow_plain_servers(self):
        await self.check("/read/x", service="plain", delay=0.4, slots=6)


class IncorrectSpeedTest(SpeedTestCase):
    """Guards against lost requests because of speeds that are invalid or wrong."""

    async def test_values_of_any_form(self):
        texts = ["", "-5", "0", "nan", "inf", "1e400", "9" * 400, "fast", "5,5", "1"]

        def change(number):
            for index, server in enumerate(self.servers):
                server.speed_text = texts[(index + number) % len(texts)]

        await self.start(12, service="plain", delay=0.1, slots=6)
        await self.send("/read/x", rate=45, seconds=9, move=change)

    async def test_slow_servers_that_report_100_and_a_fast_one_that_reports_300(self):
        def change(number):
            self.move(number)
            for server in self.servers:
                server.speed_text = "100"
            self.servers[8].speed_text = "300"

        await self.start(12, service="plain", delay=0.1, slots=6)
        await self.send("/read/x", rate=45, seconds=9, move=change)


class PlainServersTest(SpeedTestCase):
    async def test_servers_of_equal_speed_get_equal_shares(self):
        # Guards against services of which two of three servers get 94% of the requests.
        await self.start(6, service="plain", n_servers=3, delay=0.1, slots=6)
        await self.send("/read/x", rate=40, seconds=9)
        shares = [it / self.n_sent for it in self.count_received().values()]
        self.assertGreaterEqual(min(shares), 0.25, shares)
        self.assertLessEqual(max(shares), 0.42, shares)


if __name__ == "__main__":
    unittest.main()
