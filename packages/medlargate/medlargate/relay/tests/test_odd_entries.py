"""Guards against entries of another writer among the registrations."""

import asyncio
import logging
import unittest

import orjson
from medlargate_standins.relay_testbed import KEY, RelayTestbed, make_config

from medlargate.platform import Delete, Put

NESTED = b"[" * 1010 + b"]" * 1010
ROUTES = ("read", "book", "once-stream", "resume-stream")


def enable_logs(case):
    """Let a test see the log lines, which the runner of all tests disables."""
    case.addCleanup(logging.disable, logging.root.manager.disable)
    logging.disable(logging.NOTSET)


def make_entry(**fields):
    """Encode a registration with odd fields; bytes are put in as they are."""
    row = {
        "Service": "plain",
        "Address": "127.0.0.1:9",
        "Zone": "fd-a",
        "Version": "1",
        "Slots": 8,
        "State": "ready",
    }
    plain = {k: v for k, v in fields.items() if not isinstance(v, bytes)}
    data = orjson.dumps({**row, **plain})
    for name, value in fields.items():
        if isinstance(value, bytes):
            data = data[:-1] + b',"%s":%s}' % (name.encode(), value)
    return data


ODD_ENTRIES = {
    "servers/port": make_entry(Address="127.0.0.1:70000"),
    "servers/port0": make_entry(Address="127.0.0.1:0"),
    "servers/engine-port": make_entry(Service="engine", Address="127.0.0.1:99999"),
    "servers/address": make_entry(Address="999.0.0.1:80"),
    "servers/no-address": make_entry(Address="0.0.0.0:80"),
    "servers/short": make_entry(Address="1.2:80"),
    "servers/nested": make_entry(Address=NESTED),
    "servers/nested-slots": make_entry(Slots=NESTED),
    "servers/nested-foreign": make_entry(Service=7, Foreign=NESTED),
    "servers/deep": b"[" * 200_000,
    "servers/slots": make_entry(Slots=1e308),
    "servers/digits": make_entry(Slots=b"9" * 6000),
    "servers/infinite": make_entry(ColdLeftMs=b"1e999"),
    "servers/cold": make_entry(ColdLeftMs=1e308),
    "servers/cold-text": make_entry(ColdLeftMs="inf"),
    "servers/leaves": make_entry(leaves_ms="nan"),
    "servers/born": make_entry(born=1e300),
    "servers/negative": make_entry(Slots=-1),
    "servers/state": make_entry(State="lost"),
    "servers/text": make_entry(Slots="8"),
    "servers/version": make_entry(Version="1\r\nX-Odd: 1"),
    "servers/service": make_entry(Service="plain\n"),
    "servers/a\r\nb": make_entry(),
    "servers/x/p1": make_entry(),
    "servers/": make_entry(),
}


class OddEntriesCase(unittest.IsolatedAsyncioTestCase):
    n_nodes = 2

    async def asyncSetUp(self):
        enable_logs(self)
        self.world = RelayTestbed(n_nodes=self.n_nodes)
        await self.world.start()

    async def asyncTearDown(self):
        await self.world.close()

    def put_odd(self, entries=ODD_ENTRIES):
        puts = [Put(key, data) for key, data in entries.items()]
        self.world.platform.store.write([], puts)

    async def assert_served(self, *, n_calls=6, **headers):
        replies = await asyncio.gather(
            *(
                self.world.call(f"/{route}/x", node=node, **headers)
                for node in range(len(self.world.nodes))
                for route in ROUTES
                for _ in range(n_calls)
            )
        )
        got = [(it.status, it.complete) for it in replies]
        self.assertEqual(got, [(200, True)] * len(replies))

    def assert_followed(self):
        for node in self.world.nodes:
            self.assertEqual(set(node.cluster_state.servers), set(self.world.backends))


class OddEntriesTest(OddEntriesCase):
    async def test_each_odd_entry_names_no_server(self):
        with self.assertNoLogs("medlargate", "ERROR"):
            for key, data in ODD_ENTRIES.items():
                self.put_odd({key: data})
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
        self.assert_followed()
        await self.assert_served()

    async def test_changes_in_the_same_batch_take_effect(self):
        self.put_odd()
        self.world.platform.store.write(
            [], [Put("servers/p2", make_entry(State="draining"))]
        )
        await asyncio.sleep(0.5)
        for node in self.world.nodes:
            self.assertTrue(node.cluster_state.servers["p2"].draining)

    async def test_new_key_is_served_beside_odd_entries(self):
        self.put_odd()
        tenants = [{"Name": "alpha", "ApiKeys": [KEY, "new-key"]}]
        self.world.put_config(make_config(2, Tenants=tenants))
        await asyncio.sleep(1.0)
        await self.assert_served(n_calls=2, Key="new-key")

    async def test_node_that_starts_on_odd_entries_serves(self):
        self.put_odd()
        await self.world.add_node("late")
        await self.assert_served(n_calls=2)
        self.assert_followed()

    async def test_deletion_of_an_odd_entry_removes_no_other_server(self):
        self.put_odd({"servers/x/p1": make_entry()})
        await asyncio.sleep(0.5)
        self.world.platform.store.write([], [Delete("servers/x/p1")])
        await asyncio.sleep(0.5)
        self.assert_followed()

    async def test_entry_that_stays_odd_is_logged_once(self):
        key = "servers/port"
        with self.assertLogs("medlargate.fleet", "WARNING") as logs:
            for slots in range(1, 6):
                data = make_entry(Address="127.0.0.1:70000", Slots=slots)
                self.put_odd({key: data})
                await asyncio.sleep(0.3)
        lines = [it for it in logs.output if "not decodable" in it]
        self.assertEqual(len(lines), len(self.world.nodes))


if __name__ == "__main__":
    unittest.main()
