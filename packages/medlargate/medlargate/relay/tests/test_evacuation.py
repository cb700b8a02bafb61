"""Evacuated failure domains, before a fleet of nodes in three domains."""

import asyncio
import time
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import RelayTestbed

DOMAINS = ("fd-a", "fd-b", "fd-c")
LEARNING_TIME = 1.5  # seconds; well within the 5 s that the platform allows


class EvacuationCase(unittest.IsolatedAsyncioTestCase):
    """Four nodes, and servers in all domains: p1, p2, e1 and e2 are in fd-a."""

    bound = 5000

    async def asyncSetUp(self):
        self.world = RelayTestbed(
            n_nodes=4, domains=DOMAINS, evacuate_bound_ms=self.bound
        )
        await self.world.start()
        for domain in DOMAINS[1:]:
            name = domain[-1]
            await self.world.add_backend(Backend(f"p{name}", "plain", domain))
            await self.world.add_backend(Backend(f"e{name}", "engine", domain, 8))
        self.arrivals = []
        for backend in self.world.backends.values():
            backend.behaviour = self.make_behaviour(backend)
        async with asyncio.timeout(10):
            while not all(
                len(it.fleet.table.list_alive()) == 3
                and len(it.cluster_state.servers) == len(self.world.backends)
                for it in self.world.nodes
            ):
                await asyncio.sleep(0.05)

    async def asyncTearDown(self):
        await self.world.close()

    def make_behaviour(self, backend):
        def decide(_):
            self.arrivals.append((time.monotonic(), backend.zone))
            return "ok"

        return decide

    async def wait_for(self, *domains, nodes=None, seconds=LEARNING_TIME):
        """Wait until nodes know exactly these domains as evacuated."""
        async with asyncio.timeout(seconds):
            while any(
                it.cluster_state.evacuated != set(domains)
                for it in nodes or self.world.nodes
            ):
                await asyncio.sleep(0.02)

    async def load(self, seconds, *, rate=40.0):
        """Send requests to all nodes; return the replies."""
        tasks = []
        for number in range(int(seconds * rate)):
            path = ("/read/x", "/once-stream/x")[number // 4 % 2]
            tasks.append(
                asyncio.create_task(
                    self.world.call(path, node=number % len(self.world.nodes))
                )
            )
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*tasks)

    def list_zones(self, since=0.0):
        return {zone for at, zone in self.arrivals if at >= since}


class EvacuationTest(EvacuationCase):
    async def test_evacuated_domain_gets_nothing_until_it_is_taken_back(self):
        await self.load(0.5)
        self.world.evacuate("fd-a")
        await self.wait_for("fd-a")
        since = time.monotonic()
        replies = await self.load(1.0)
        self.assertEqual({it.status for it in replies}, {200})
        self.assertEqual(self.list_zones(since), {"fd-b", "fd-c"})
        self.world.end_evacuation("fd-a")
        await self.wait_for()
        since = time.monotonic()
        await self.load(1.0)
        self.assertIn("fd-a", self.list_zones(since))

    async def test_two_domains_are_evacuated_at_once_and_one_is_taken_back(self):
        self.world.evacuate("fd-a")
        self.world.evacuate("fd-b")
        await self.wait_for("fd-a", "fd-b")
        since = time.monotonic()
        await self.load(0.5)
        self.assertEqual(self.list_zones(since), {"fd-c"})
        self.world.end_evacuation("fd-b")
        await self.wait_for("fd-a")
        since = time.monotonic()
        await self.load(0.5)
        self.assertNotIn("fd-a", self.list_zones(since))

    async def test_all_domains_evacuated_means_refused_at_once_as_not_run(self):
        for domain in DOMAINS:
            self.world.evacuate(domain)
        await self.wait_for(*DOMAINS)
        replies = await self.load(1.0)
        self.assertEqual({it.status for it in replies}, {503})
        self.assertEqual({it.headers.get("retry-after") for it in replies}, {"0.700"})
        self.assertEqual(self.arrivals, [])
        self.assertLess(max(it.elapsed for it in replies), 0.5)

    async def test_node_cut_off_from_the_store_learns_of_both_changes(self):
        for cut_off in self.world.nodes[1:3]:
            self.world.cut_off_from_store(cut_off)
        await asyncio.sleep(0.3)
        self.world.evacuate("fd-b")
        await self.wait_for("fd-b", seconds=3.0)
        self.world.end_evacuation("fd-b")
        await self.wait_for(seconds=3.0)

    async def test_node_that_starts_late_sends_nothing_there(self):
        self.world.evacuate("fd-a")
        await self.wait_for("fd-a")
        node = await self.world.add_node("late")
        since = time.monotonic()
        await self.load(0.5)
        self.assertEqual(node.cluster_state.evacuated, {"fd-a"})
        self.assertNotIn("fd-a", self.list_zones(since))

    async def test_watch_that_goes_quiet_is_noticed(self):
        self.world.platform.watches_are_quiet = True
        self.world.evacuate("fd-a")
        await self.wait_for("fd-a", seconds=3.0)
        self.world.end_evacuation("fd-a")
        await self.wait_for(seconds=3.0)

    async def test_running_stream_ends_and_a_broken_one_goes_on_elsewhere(self):
        for name in ("e1", "e2"):
            backend = self.world.backends[name]
            backend.pause, backend.n_events = 0.3, 8
            backend.behaviour = lambda req: (
                "end:6" if req.target.endswith("broken") else "ok"
            )
        self.world.evacuate("fd-b")
        self.world.evacuate("fd-c")
        await self.wait_for("fd-b", "fd-c")
        paths = (*["broken"] * 5, "whole")
        tasks = [
            asyncio.create_task(
                self.world.call(f"/resume-stream/{it}", Deadline_Ms="9000")
            )
            for it in paths
        ]
        await asyncio.sleep(0.5)
        self.world.evacuate("fd-a")
        self.world.end_evacuation("fd-c")
        await self.wait_for("fd-a", "fd-b")
        self.world.backends["ec"].n_events = 8
        replies = await asyncio.gather(*tasks)
        for reply in replies:
            self.assertTrue(reply.complete)
            self.assertEqual(reply.body.count(b"data:"), 8)
        n_received = [
            len(self.world.backends[it].received_requests) for it in ("e1", "e2", "ec")
        ]
        self.assertEqual((n_received[0] + n_received[1], n_received[2]), (6, 5))

    async def test_forwarded_requests_are_not_sent_there_either(self):
        self.world.evacuate("fd-a")
        await self.wait_for("fd-a")
        reach = self.world.nodes[0].reach
        reach._unreachable["engine"] = time.monotonic()
        since = time.monotonic()
        for _ in range(5):
            reply = await self.world.call("/once-stream/x", node=0)
            self.assertEqual(reply.status, 200)
        self.assertNotIn("fd-a", self.list_zones(since))

    async def test_refusal_after_an_attempt_that_may_have_run_does_not_deny_it(self):
        # The only server left breaks the connection and its domain is evacuated, so
        # that no server remains for the second attempt.
        for domain in DOMAINS[1:]:
            self.world.evacuate(domain)
        await self.wait_for(*DOMAINS[1:])
        for name in ("p1", "p2"):
            backend = self.world.backends[name]
            backend.delay, backend.behaviour = 1.2, lambda _: "reset"
        task = asyncio.create_task(self.world.call("/read/x", Deadline_Ms="2900"))
        await asyncio.sleep(0.2)
        self.world.evacuate("fd-a")
        self.assertEqual((await task).status, 502)


class SwitchedOffTest(EvacuationCase):
    bound = 0

    async def test_nothing_is_read_or_excluded(self):
        n_reads = self.world.platform.n_calls.get("key", 0)
        self.world.evacuate("fd-a")
        await self.load(1.0)
        self.assertIn("fd-a", self.list_zones())
        self.assertGreater(self.world.platform.n_calls["key"], n_reads)
        for node in self.world.nodes:
            self.assertEqual(node.cluster_state.evacuated, frozenset())
