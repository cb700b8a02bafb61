"""Guards against nodes that stop following the store or their peers after an error."""

import asyncio
import random
import socket
import unittest
from unittest import mock

import orjson
from medlargate_standins.relay_testbed import RelayTestbed
from returns.result import Failure

from medlargate.fleet import DomainStatus, PeerStatus
from medlargate.platform import HttpStore, Put
from medlargate.policy import Verdict
from medlargate.transport import ExchangeFaultError

from ..._tasks import run_with_restarts
from .._silence import SilenceLimit
from .test_odd_entries import NESTED, OddEntriesCase, enable_logs, make_entry
from .test_relay import RelayCase

ODD_VALUES = (
    None,
    True,
    -1,
    1e308,
    2**63,
    "",
    "inf",
    "\x00",
    "9" * 6000,
    "127.0.0.1:70000",
    [],
    {},
    [[[]]],
    {"a": 1e308},
    {"p1": [1e18, -1e300]},
    {"p1": [-1, "nan"]},
    ["x", 2, None],
)


def fail(*_, **__):
    raise RuntimeError("injected")


class PeersTest(OddEntriesCase):
    """Two nodes in one failure domain."""

    def send(self, node, row):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            data = row if isinstance(row, bytes) else orjson.dumps(row)
            sock.sendto(data, ("127.0.0.1", node.ingress.fleet_port))

    async def assert_in_touch(self):
        heard = [
            {name: peer.heard_at for name, peer in node.fleet.table.peers.items()}
            for node in self.world.nodes
        ]
        await asyncio.sleep(1.0)
        for node, before in zip(self.world.nodes, heard, strict=True):
            alive = [it for it in node.fleet.table.list_alive() if it.name[0] == "n"]
            self.assertTrue(alive)
            for peer in alive:
                self.assertGreater(peer.heard_at, before.get(peer.name, 0.0))

    async def test_node_entries_with_odd_addresses_leave_the_nodes_in_touch(self):
        for name, row in (
            ("port", {"zone": "fd-a", "address": "127.0.0.1:70000"}),
            ("type", {"zone": 1, "address": 5}),
            ("text", {"zone": "fd-a", "address": "nobody"}),
            ("list", []),
        ):
            data = orjson.dumps({"incarnation": "i", **row} if row else row)
            self.world.platform.store.write([], [Put(f"medlargate/nodes/{name}", data)])
        data = b'{"zone":"fd-a","address":%b}' % NESTED
        self.world.platform.store.write([], [Put("medlargate/nodes/nested", data)])
        await self.world.add_node("n3")
        await asyncio.sleep(0.5)
        await self.assert_in_touch()

    async def test_messages_with_odd_addresses_leave_the_nodes_in_touch(self):
        await asyncio.sleep(0.5)
        address = "127.0.0.1:70000"
        status = {"name": "odd", "zone": "fd-a", "address": address, "time": 0.0}
        for node in self.world.nodes:
            node.origins.observe_begin(
                mock.Mock(facts=mock.Mock(request_id="r1")), mock.Mock()
            )
            self.send(node, {**status, "incarnation": "odd-1"})
            self.send(node, {**status, "zone": "fd-b", "n_nodes": 1})
            self.send(node, {"wanted": ["r1"], "reply_to": address})
        await asyncio.sleep(0.5)
        await self.assert_in_touch()

    async def test_odd_values_in_messages_leave_the_nodes_at_work(self):
        random_state = random.Random(38)
        node = self.world.nodes[0]
        kinds = (
            {"incarnation": "odd-1"},
            {"n_nodes": 1},
            {"sender": "odd", "server": "p1", "n_running": 1, "reading": 0.1},
            {"origins": {}},
            {"wanted": [], "reply_to": "127.0.0.1:9"},
            {"rejecting": {}},
        )
        fields = sorted(
            {*PeerStatus.model_fields, *DomainStatus.model_fields} - {"name"}
        )
        common = {"name": "odd", "zone": "fd-a", "address": "127.0.0.1:9", "time": 0.0}
        for _ in range(400):
            row = {**common, **random_state.choice(kinds)}
            for name in random_state.sample([*fields, *row], 2):
                row[name] = random_state.choice(ODD_VALUES)
            self.send(node, orjson.dumps(row))
            if random_state.random() < 0.05:
                await asyncio.sleep(0.01)
        self.send(node, b'{"name":%b}' % NESTED)
        self.send(node, b"[" * 50_000)
        await self.assert_in_touch()
        await self.assert_served(n_calls=2)
        self.assert_followed()
        self.put_odd({"servers/p2": make_entry(State="draining")})
        await asyncio.sleep(1.0)
        for node in self.world.nodes:
            self.assertTrue(node.cluster_state.servers["p2"].draining)


class ListenersTest(RelayCase):
    async def asyncSetUp(self):
        enable_logs(self)
        await super().asyncSetUp()

    async def test_failing_listener_holds_up_no_change(self):
        state = self.node.cluster_state
        state.server_listeners.insert(0, fail)
        state.config_listeners.insert(0, fail)
        before = state.servers_revision
        with self.assertLogs("medlargate", "ERROR"):
            puts = [
                Put(f"servers/{name}", make_entry(State="draining"))
                for name in ("p1", "p2")
            ]
            self.world.platform.store.write([], puts)
            await asyncio.sleep(0.4)
        self.assertTrue(all(state.servers[it].draining for it in ("p1", "p2")))
        self.assertGreater(state.servers_revision, before)


class StoreRepliesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = RelayTestbed(n_nodes=0)
        await self.world.start()
        self.store = HttpStore(f"http://127.0.0.1:{self.world.platform_port}")

    async def asyncTearDown(self):
        await self.store.close()
        await self.world.close()

    async def answer(self, body, call):
        async def reply(*_, **__):
            return mock.Mock(
                unwrap=lambda: mock.Mock(status=200, body=body), spec=["unwrap"]
            )

        with mock.patch.object(self.store, "_call", reply):
            return await call

    async def test_replies_with_odd_fields_are_failures(self):
        odd = (
            {"Entries": [{"Key": 1}], "events": [{"Key": 1}]},
            {"Entries": 7, "events": 7, "At": "x"},
            {"At": "x", "Revision": "x", "LeaseId": None, "TtlMs": "x"},
        )
        for body in odd:
            for call in (
                self.store.read("servers/", prefix=True),
                self.store.read("op/config"),
                self.store.poll("servers/", 1, 1.0),
                self.store.write([], []),
                self.store.grant(1.0),
                self.store.renew(1),
            ):
                got = await self.answer(body, call)
                self.assertIsInstance(got, Failure)
                self.assertEqual(got.failure().verdict, Verdict.MAY_HAVE_RUN)

    async def test_unreadable_data_of_one_entry_leaves_the_others(self):
        entries = [
            {"Key": "servers/a", "Revision": 3, "Data": "%%%"},
            {"Key": "servers/b", "Revision": 4, "Data": "e30="},
        ]
        call = self.store.read("servers/", prefix=True)
        got = await self.answer({"Entries": entries, "At": 4}, call)
        self.assertEqual([it.value for it in got.unwrap().entries], [b"", b"{}"])


class TasksTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        enable_logs(self)

    async def test_job_goes_on_after_the_cancellation_of_a_task_that_it_awaits(self):
        n_starts = 0

        async def job():
            nonlocal n_starts
            n_starts += 1
            if n_starts < 3:
                inner = asyncio.create_task(asyncio.sleep(10))
                inner.cancel()
                await asyncio.shield(inner)

        with self.assertLogs("medlargate", "ERROR"):
            async with asyncio.timeout(1.0):
                await run_with_restarts(job, pause=0.01)
        self.assertEqual(n_starts, 3)

    async def test_cancelled_job_ends(self):
        async def job():
            await asyncio.sleep(10)

        task = asyncio.create_task(run_with_restarts(job, pause=0.01))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task], timeout=1.0)
        self.assertTrue(task.cancelled())

    async def test_silence_limit_goes_on_after_an_error(self):
        answers = iter((fail, lambda: True))
        limit = SilenceLimit(0.05, lambda: next(answers)())
        with (
            self.assertLogs("medlargate", "ERROR"),
            self.assertRaises(ExchangeFaultError),
        ):
            async with asyncio.timeout(1.0), limit:
                await asyncio.sleep(10)
        self.assertIsNone(next(answers, None))


if __name__ == "__main__":
    unittest.main()
