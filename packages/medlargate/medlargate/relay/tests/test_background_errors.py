"""Guards against nodes that stop following the store or their peers after an error."""

import asyncio
import random
import socket
import unittest
from unittest import mock

import orjson

from medlargate.fleet import DomainStatus, PeerStatus
from medlargate.platform import Put

from .test_odd_entries import NESTED, OddEntriesCase, make_entry

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


if __name__ == "__main__":
    unittest.main()
