"""Nodes behind links that accept connections and deliver nothing or reset them."""

import asyncio
import time
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.linked_testbed import LinkedTestbed
from medlargate_standins.relay_testbed import make_route

CONTACT_TIME = 3.0  # seconds; the bound within which nodes learn of a change
CUT_TIME = 7.0  # seconds
PAUSE = 0.2  # seconds between the requests of a node's callers
PATHS = ("/read/x", "/stream/x", "/book/x", "/once-stream/x")


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """Six nodes in three failure domains, each with links of its own to the servers."""

    async def asyncSetUp(self):
        # The debug mode of unittest's event loop makes this loop, which runs all nodes
        # and servers, too slow to tell silence from its own delays.
        asyncio.get_running_loop().set_debug(False)
        self.world = LinkedTestbed(n_nodes=6, domains=("fd-a", "fd-b", "fd-c"))
        routes = [
            make_route("read", "idempotent", "plain"),
            make_route("book", "non_idempotent", "plain", MaxAttempts=1),
            make_route("stream", "streaming", "engine", Resumable=True),
            make_route("once-stream", "streaming", "engine", MaxAttempts=1),
        ]
        await self.world.start(Routes=routes)
        for name in ("p3", "e3", "e4", "e5", "e6"):
            service = "plain" if name == "p3" else "engine"
            await self.world.add_backend(Backend(name, service, slots=8))
        for backend in self.world.backends.values():
            backend.delay = 0.05
        await self.world.add_links()
        async with asyncio.timeout(5):
            while any(len(it.fleet.table.list_alive()) < 5 for it in self.world.nodes):
                await asyncio.sleep(0.01)
        # The metrics library is imported after the start and blocks the event loop.
        await asyncio.sleep(1.5)

    async def asyncTearDown(self):
        await self.world.close()

    async def run_callers(self, seconds):
        """Call each node at a fixed rate; return rows of node, start time, success."""
        rows, tasks = [], []
        started_at = time.monotonic()

        async def call(node, path, at):
            reply = await self.world.call(path, node=node, Deadline_Ms="2500")
            rows.append((node, at, reply.status == 200 and reply.complete))

        n_rounds = int(seconds / PAUSE)
        for number in range(n_rounds):
            at = time.monotonic() - started_at
            for node in range(len(self.world.nodes)):
                path = PATHS[(number + node) % len(PATHS)]
                tasks.append(asyncio.create_task(call(node, path, at)))
            left = started_at + (number + 1) * PAUSE - time.monotonic()
            await asyncio.sleep(max(0.0, left))
        await asyncio.gather(*tasks)
        return rows

    def compute_share(self, rows, cut, *, since):
        """Return how often callers of cut nodes are served, relative to the others."""

        def mean(is_cut):
            served = [
                ok for node, at, ok in rows if (node in cut) is is_cut and at >= since
            ]
            return sum(served) / len(served)

        self.assertGreaterEqual(mean(False), 0.98)
        return mean(True) / mean(False)

    async def cut(self, nodes, mode):
        """Cut nodes off, then restore the links; return the shares served."""
        await self.run_callers(1.0)
        for node in nodes:
            self.world.set_link_mode(node, mode)
        rows = await self.run_callers(CUT_TIME)
        total = self.compute_share(rows, nodes, since=0.0)
        share = self.compute_share(rows, nodes, since=CONTACT_TIME)
        print(f"{mode} at {len(nodes)} of 6 nodes: {total:.2f}, after 3 s {share:.2f}")
        return total, share


class CutNodesTest(LinkCase):
    async def assert_recovers(self, nodes):
        for node in nodes:
            self.world.set_link_mode(node, "ok")
        async with asyncio.timeout(CONTACT_TIME):
            while any(self.world.nodes[it].reach.list_unreachable() for it in nodes):
                await asyncio.sleep(0.05)

    async def test_reset_after_accept(self):
        total, _ = await self.cut((0, 1), "reset")
        self.assertGreaterEqual(total, 0.95)
        await self.assert_recovers((0, 1))

    async def test_hang_after_accept(self):
        _, share = await self.cut((0, 1), "silent")
        self.assertGreaterEqual(share, 0.95)
        await self.assert_recovers((0, 1))

    async def test_only_new_connections_are_reset(self):
        total, _ = await self.cut((0, 1), "refuse")
        self.assertGreaterEqual(total, 0.95)
        await self.assert_recovers((0, 1))

    async def test_only_new_connections_hang(self):
        _, share = await self.cut((0, 1), "hang-new")
        self.assertGreaterEqual(share, 0.95)
        await self.assert_recovers((0, 1))

    async def test_four_of_six_nodes_hang(self):
        _, share = await self.cut((0, 1, 2, 3), "silent")
        self.assertGreaterEqual(share, 0.95)
        await self.assert_recovers((0, 1, 2, 3))


class SoundServiceTest(LinkCase):
    async def test_single_silent_server_is_not_unreachable_and_is_probed_seldom(self):
        for links in self.world.links:
            links["e1"].set_mode("silent")
        rows = await self.run_callers(4.0)
        self.assertGreaterEqual(sum(ok for *_, ok in rows) / len(rows), 0.9)
        for node in self.world.nodes:
            self.assertEqual(node.reach.list_unreachable(), [])
        n_probes = sum(it.n_probes for it in self.world.backends.values())
        print(f"{n_probes} probes in 4 s of {len(rows)} requests")
        self.assertLessEqual(n_probes, 2 * 6 * 4)


if __name__ == "__main__":
    unittest.main()
