"""Requests that reach servers after the store has deleted their registration."""

import asyncio
import itertools
import random
import time
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import RelayTestbed
from returns.result import Failure

from medlargate.platform import PlatformCallError
from medlargate.policy import Verdict

from .test_relay import RelayCase

DRAIN_BOUND = 2.0  # seconds, the default of drain_bound_ms
N_NODES, N_SERVERS = 9, 8
DURATION = 12.0  # seconds
REMOVAL_INTERVAL = 0.4  # seconds
REQUEST_INTERVAL = 0.01  # seconds


class FailedCallsCase(unittest.IsolatedAsyncioTestCase):
    """A fifth of the calls to the store get 503, and the others are answered."""

    failed_share = 0.2
    n_failing = N_NODES

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.random_state = random.Random(1)
        self.names = (f"r{number}" for number in itertools.count())
        self.removed_at = {}
        self.tasks = []
        domains = ("fd-a", "fd-b", "fd-c")
        self.world = RelayTestbed(n_nodes=N_NODES, domains=domains)
        self.addAsyncCleanup(self.world.close)
        await self.world.start()
        for name in ("p1", "p2"):
            await self.world.remove_backend(name)
        self.servers = [await self.add_server() for _ in range(N_SERVERS)]
        for node in self.world.nodes[: self.n_failing]:
            self.let_calls_fail(node)

    async def add_server(self):
        return await self.world.add_backend(Backend(next(self.names), "plain"))

    def let_calls_fail(self, node):
        call = node.watcher.store._call

        async def call_or_fail(*args, **options):
            if self.random_state.random() < self.failed_share:
                return Failure(PlatformCallError(Verdict.NOT_RUN, "status 503"))
            return await call(*args, **options)

        node.watcher.store._call = call_or_fail

    async def replace_servers(self, end):
        """Delete registrations in turn; the servers serve on."""
        while time.monotonic() < end:
            self.servers.append(await self.add_server())
            server = self.servers.pop(0)
            self.world.unregister(server)
            self.removed_at[server.server_id] = time.monotonic()
            await asyncio.sleep(REMOVAL_INTERVAL)

    async def send_requests(self, end):
        for number in itertools.count():
            if time.monotonic() >= end:
                return
            call = self.world.call("/read/x", node=number % N_NODES)
            self.tasks.append(asyncio.create_task(call))
            await asyncio.sleep(REQUEST_INTERVAL)


class FailedStoreCallsTest(FailedCallsCase):
    async def test_server_deleted_beside_failed_calls_gets_no_late_requests(self):
        end = time.monotonic() + DURATION
        await asyncio.gather(
            self.replace_servers(end), self.send_requests(end + DRAIN_BOUND)
        )
        replies = await asyncio.gather(*self.tasks)
        lags = [
            run.began_at - removed_at
            for name, removed_at in self.removed_at.items()
            for run in self.world.backends[name].executions
        ]
        self.assertGreater(sum(it.status == 200 for it in replies), 0.9 * len(replies))
        late = sorted(it for it in lags if it > DRAIN_BOUND)
        self.assertEqual(late, [], f"latest {max(lags):.2f} s, {len(late)} late")


class CutOffNodesTest(FailedStoreCallsTest):
    """All calls of four nodes fail, and the others are answered."""

    failed_share = 1.0
    n_failing = 4


class StoreOutageTest(FailedCallsCase):
    """All registrations expire in an outage, and are renewed after its end."""

    failed_share = 0.0

    async def test_servers_whose_entries_expire_in_an_outage_are_used_on(self):
        end = time.monotonic() + 7.0
        sends = asyncio.create_task(self.send_requests(end))
        await asyncio.sleep(1.0)
        self.failed_share = 1.0
        await asyncio.sleep(2.5)
        for server in self.servers:
            self.world.unregister(server)
        self.failed_share = 0.0
        await asyncio.sleep(1.2)
        for server in self.servers:
            self.world.register(server)
        await sends
        replies = await asyncio.gather(*self.tasks)
        self.assertEqual({it.status for it in replies}, {200})


class RemovalDuringConnectTest(RelayCase):
    """A server is removed after the placement of a request and before its sending."""

    async def test_request_is_sent_to_another_server(self):
        for path in ("/book/x", "/once-stream/x"):
            with self.subTest(path):
                server = await self.remove_while_connecting(path)
                self.assertEqual(server.received_requests, [])

    async def remove_while_connecting(self, path):
        removed, acquire = [], self.node.pool.acquire

        async def acquire_late(server_id, *args, **options):
            conn = await acquire(server_id, *args, **options)
            if not removed:
                removed.append(self.world.backends[server_id])
                self.world.unregister(removed[0])
                async with asyncio.timeout(2.0):
                    while server_id in self.node.cluster_state.servers:
                        await asyncio.sleep(0.01)
            return conn

        self.node.pool.acquire = acquire_late
        reply = await self.world.call(path)
        self.node.pool.acquire = acquire
        self.assertEqual(reply.status, 200)
        return removed[0]
