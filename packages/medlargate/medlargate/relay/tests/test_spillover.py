"""Spillover of requests between nodes and engines of two failure domains."""

import asyncio
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import RelayTestbed

from medlargate.platform import ServerLoad


class SpilloverCase(unittest.IsolatedAsyncioTestCase):
    """A node and two engines in domain fd-a, a node and an engine in fd-b."""

    mode = "on"

    async def asyncSetUp(self):
        self.world = RelayTestbed(
            n_nodes=2,
            domains=("fd-a", "fd-b"),
            settings={"spill": {"mode": self.mode}},
        )
        await self.world.start()
        self.far = await self.world.add_backend(
            Backend("e3", "engine", zone="fd-b", slots=8)
        )
        self.node = self.world.nodes[0]
        async with asyncio.timeout(5):
            while (
                "e3" not in self.node.cluster_state.servers
                or not self.node.fleet.domains.list_reports()
            ):
                await asyncio.sleep(0.02)

    async def asyncTearDown(self):
        await self.world.close()

    async def call(self, n_calls):
        for _ in range(n_calls):
            reply = await self.world.call("/resume-stream/x", Token_Usage="100,4")
            self.assertEqual(reply.status, 200)
        return len(self.far.received_requests)

    def fill_own_engines(self):
        # A peer of the same domain reports that it uses all slots.
        loads = {"e1": (8, 0.0), "e2": (8, 0.0)}
        self.node.loads.observe_peer_loads("n9", loads)


class SpilloverTest(SpilloverCase):
    async def test_requests_leave_only_a_full_domain(self):
        self.assertEqual(await self.call(10), 0)
        self.fill_own_engines()
        await asyncio.sleep(0.3)  # until the next decision
        self.assertEqual(await self.call(10), 10)
        plan = self.node.request_queue.spillover.get_plan("engine")
        self.assertGreater(plan.by_domain["fd-b"], 0.0)
        self.assertIn("full", plan.reason)
        surpluses = self.node.fleet.get_surpluses()
        self.assertGreater(surpluses["engine"], 0)

    async def test_evacuated_domain_is_no_destination(self):
        await self.call(1)
        self.node.request_queue.spillover.get_excluded = lambda: {"fd-b"}
        self.fill_own_engines()
        await asyncio.sleep(0.3)
        await self.world.call("/resume-stream/x", Token_Usage="100,4")
        self.assertEqual(len(self.far.received_requests), 0)


class SwitchTest(SpilloverCase):
    mode = "shared_machines"

    async def test_constant_holds_until_a_server_reports_its_speed(self):
        spillover = self.node.request_queue.spillover
        await self.call(1)
        self.assertFalse(spillover.applies_to("engine"))
        self.node.loads.observe_report("e1", ServerLoad(1, 0, 8, slowness=1.0))
        await self.call(1)
        self.assertTrue(spillover.applies_to("engine"))
        self.assertFalse(spillover.applies_to("plain"))
