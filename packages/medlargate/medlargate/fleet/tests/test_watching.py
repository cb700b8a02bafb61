"""Calls of the store by many nodes while it is away, and liveness in large domains."""

import asyncio
import random
import unittest

from medlargate_standins._memory_store import MemoryStore, MemoryStoreClient

from medlargate.platform import Delete, Put, decode_registration, decode_routing_config

from .. import ClusterState, PeerStatus, PeerTable, StoreWatcher, UsageCounts
from .._usage_reporter import UsagePartWriter


class PollsWhileStoreIsAwayTest(unittest.IsolatedAsyncioTestCase):
    """A node that does not watch loses the store, as all others do at the same time."""

    OUTAGE = 4.0  # seconds

    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        self.down = False
        self.store = MemoryStore(loop.time)
        self.store.write([], [Put("op/config", b'{"Version": 1}')])
        self.client = MemoryStoreClient(self.store, self.raise_if_down)
        self.watcher = StoreWatcher(
            self.client,
            ClusterState(decode_routing_config, decode_registration, loop.time),
            "op/config",
            "servers/",
            loop.time,
            should_watch=lambda: False,
            config_bound=4.0,
            servers_bound=4.0,
            random_state=random.Random(1),
        )
        self.task = asyncio.create_task(self.watcher.run_polls())
        await asyncio.sleep(0.5)

    async def asyncTearDown(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def raise_if_down(self, name, moment):
        if self.down:
            raise ConnectionError("the store is away")

    async def test_few_calls_are_made_and_the_return_is_noticed_in_time(self):
        n_calls = sum(self.client.n_calls.values())
        self.down = True
        await asyncio.sleep(self.OUTAGE)
        n_calls = sum(self.client.n_calls.values()) - n_calls
        # One call a second and node is what the fleet may spend on an outage.
        self.assertLessEqual(n_calls, self.OUTAGE)
        self.assertGreaterEqual(n_calls, 1)
        self.down = False
        await asyncio.sleep(0.5 * 4.0 + 0.4)
        loop = asyncio.get_running_loop()
        age = loop.time() - self.watcher.cluster_state.config_confirmed_at
        self.assertLess(age, 4.0)


class RenewalTest(unittest.IsolatedAsyncioTestCase):
    """A registration that expired in an outage is written again."""

    ENTRY = Put(
        "servers/x",
        b'{"Service":"s","Address":"10.0.0.1:80","Zone":"a","State":"ready"}',
    )

    async def test_read_after_the_grace_period_finds_the_renewed_server(self):
        # Guards against a server that is dropped just before its renewal is applied.
        now = 100.0
        store = MemoryStore(lambda: now)
        store.write([], [self.ENTRY], [])
        state = ClusterState(decode_routing_config, decode_registration, lambda: now)
        watcher = StoreWatcher(
            MemoryStoreClient(store), state, "op/config", "servers/", lambda: now
        )
        await watcher.refresh_servers()
        for _ in range(4):
            state.observe_store_failure()
            now += 0.3
        store.write([], [Delete("servers/x")], [])
        await watcher.refresh_servers()
        self.assertIn("x", state.lapsed)
        now += 2.0
        store.write([], [self.ENTRY], [])
        # It logs no server that is gone or registered.
        with self.assertNoLogs("medlargate.fleet", "INFO"):
            await watcher.refresh_servers()
        self.assertIn("x", state.servers)
        self.assertEqual(state.lapsed, {})


class LargeDomainTest(unittest.TestCase):
    """Thirty-three nodes in a domain hear each other every two and a half seconds."""

    def setUp(self):
        self.now = 100.0
        self.table = PeerTable("n00", "a", lambda: self.now)
        for number in range(1, 33):
            self.receive_status(number)

    def receive_status(self, number):
        name = f"n{number:02}"
        self.table.observe_status(
            PeerStatus(
                name=name,
                zone="a",
                address=f"{name}:1",
                time=self.now,
                incarnation=name,
            )
        )

    def test_peer_whose_status_was_lost_once_counts_as_alive(self):
        self.now += 2 * self.table.compute_intra_domain_round() - 0.1
        self.assertEqual(len(self.table.list_alive(zone="a")), 32)

    def test_silent_peer_counts_as_down_after_two_rounds(self):
        self.now += 2 * self.table.compute_intra_domain_round() + 0.1
        self.assertEqual(self.table.list_alive(zone="a"), [])

    def test_small_domain_notices_a_silent_peer_within_three_seconds(self):
        table = PeerTable("n00", "a", lambda: self.now)
        self.table = table
        self.receive_status(1)
        self.now += 3.1
        self.assertEqual(table.list_alive(zone="a"), [])


class UsagePartsTest(unittest.IsolatedAsyncioTestCase):
    """The holder of the duty is replaced; every node could write its counts."""

    async def test_nodes_wait_for_the_next_holder_before_they_write(self):
        for after_end, has_holder, n_calls in ((1.5, 0, 0), (1.5, 1, 1), (2.5, 0, 1)):
            with self.subTest(after_end=after_end, has_holder=has_holder):
                now = 1000.0 + after_end
                counts = UsageCounts(5.0)
                counts.count_request("n1", "alpha", 998.0)
                client = MemoryStoreClient(MemoryStore(lambda now=now: now))
                parts = UsagePartWriter(client, counts, "n1", lambda now=now: now)
                await parts.step(heard_by_holder=False, has_holder=bool(has_holder))
                self.assertEqual(client.n_calls.get("txn", 0), n_calls)
