"""Tests of several nodes: exchange of cluster state, duties and usage counts."""

import asyncio
import unittest

from medlargate_standins.relay_testbed import RelayTestbed, make_config
from medlargate_standins.unstarved_clock import ignore_starvation

from medlargate.platform import CallClient


def refuse_store(node):
    """Make all further store calls of a node fail."""
    store = node.watcher.store
    for conn in store.calls._idle:
        conn.abort()
    store.calls = CallClient("http://127.0.0.1:9")


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Base class: three nodes, by default in one failure domain."""

    domains = ("fd-a",)
    n_nodes = 3

    async def asyncSetUp(self):
        self.world = RelayTestbed(n_nodes=self.n_nodes, domains=self.domains)
        await self.world.start()

    async def asyncTearDown(self):
        await self.world.close()

    async def wait_for(self, condition, seconds=6.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)


class DutiesTest(FleetCase):
    async def test_one_node_reports_each_window_once(self):
        await self.wait_for(lambda: any(n.duties.is_holder() for n in self.world.nodes))
        for number in range(30):
            await self.world.call("/read/x", node=number % 3)

        def total():
            usage = self.world.platform.usage.values()
            return sum(reports[0].get("alpha", 0) for reports in usage)

        await self.wait_for(lambda: total() >= 30, seconds=15)
        self.assertEqual(total(), 30)
        for reports in self.world.platform.usage.values():
            self.assertEqual([reports[0]] * len(reports), reports)
        self.assertEqual(len({fence for _, fence in self.world.platform.duty_calls}), 1)

    async def test_another_node_takes_over_with_a_higher_fence(self):
        await self.wait_for(lambda: any(n.duties.is_holder() for n in self.world.nodes))
        holder = next(n for n in self.world.nodes if n.duties.is_holder())
        fence = holder.duties.lease.fence
        await holder.close()
        others = [n for n in self.world.nodes if n is not holder]
        await self.wait_for(lambda: any(n.duties.is_holder() for n in others), 12)
        successor = next(n for n in others if n.duties.is_holder())
        self.assertGreater(successor.duties.lease.fence, fence)


class UsageWithoutHolderTest(FleetCase):
    """Guards against lost usage counts when nodes stop while the store is down."""

    async def test_peers_keep_the_usage_counts_of_a_stopped_node(self):
        await self.wait_for(lambda: any(n.duties.is_holder() for n in self.world.nodes))
        for node in self.world.nodes:
            refuse_store(node)
        await self.wait_for(
            lambda: all(
                not node.duties.is_holder() and node.fleet.table.find_holder() is None
                for node in self.world.nodes
            )
        )
        for _ in range(5):
            await self.world.call("/read/x", node=0)
        stopped, *others = self.world.nodes
        await stopped.close()
        await asyncio.sleep(0.1)
        for node in others:
            windows = node.usage.snapshot(stopped.incarnation, since=0).values()
            self.assertEqual(sum(counts["alpha"] for counts in windows), 5)


class StatePullTest(FleetCase):
    async def test_node_without_the_store_gets_changes_from_peers(self):
        refused = self.world.nodes[0]
        await self.wait_for(lambda: len(refused.fleet.table.list_alive()) == 2)
        refuse_store(refused)
        await asyncio.sleep(0.1)
        self.world.put_config(make_config(7))
        self.world.unregister(self.world.backends["p1"])
        await self.wait_for(
            lambda: (
                refused.cluster_state.freshness().config_version == 7
                and "p1" not in refused.cluster_state.servers
            ),
            seconds=4,
        )


class LoadUpdateTest(FleetCase):
    async def test_long_prompt_is_announced_to_peers(self):
        for node in self.world.nodes:
            await self.wait_for(
                lambda node=node: len(node.fleet.table.list_alive()) == 2
            )
        for name in ("e1", "e2"):
            self.world.backends[name].delay = 1.0
        call = asyncio.create_task(
            self.world.call(
                "/once-stream/x",
                Token_Usage="20000,10",
                Prompt_Prefix="aa:15000,bb:5000",
            )
        )
        await asyncio.sleep(0.1)
        for node in self.world.nodes[1:]:
            views = node.loads.views
            now = asyncio.get_running_loop().time()
            busy = [
                name for name, view in views.items() if view.total_prefill_time(now) > 0
            ]
            self.assertEqual(len(busy), 1)
            self.assertIn("aa", views[busy[0]].cached_parts)
        self.assertEqual((await call).status, 200)


class DomainsCase(FleetCase):
    """Six nodes in three failure domains, which exchange aggregated status messages."""

    domains = ("fd-a", "fd-b", "fd-c")
    n_nodes = 6

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.wait_for(
            lambda: all(
                len(node.fleet.domains.list_other_domains()) == 2
                and node.fleet.count_nodes() == 6
                for node in self.world.nodes
            )
        )


class DomainsTest(DomainsCase):
    def find_busy(self, node):
        now = asyncio.get_running_loop().time()
        views = node.loads.views
        return [
            name for name, view in views.items() if view.total_prefill_time(now) > 0
        ]

    async def test_each_domain_has_one_representative(self):
        def representatives():
            return [
                n
                for n in self.world.nodes
                if n.fleet.domains.is_domain_representative()
            ]

        await self.wait_for(lambda: len(representatives()) == 3)
        zones = {node.settings.node.failure_domain for node in representatives()}
        self.assertEqual(zones, set(self.domains))

    async def test_all_nodes_know_the_prefill_work_and_cache_of_an_engine(self):
        for name in ("e1", "e2"):
            self.world.backends[name].delay = 1.5
        call = asyncio.create_task(
            self.world.call(
                "/once-stream/x",
                Token_Usage="40000,10",
                Prompt_Prefix="aa:35000,bb:5000",
            )
        )
        await self.wait_for(
            lambda: all(len(self.find_busy(node)) == 1 for node in self.world.nodes),
            seconds=1.5,
        )
        for node in self.world.nodes:
            self.assertIn("aa", node.loads.views[self.find_busy(node)[0]].cached_parts)
        self.assertEqual((await call).status, 200)

    async def test_domain_without_the_store_gets_changes_from_others(self):
        refused = [
            node
            for node in self.world.nodes
            if node.settings.node.failure_domain == "fd-b"
        ]
        for node in refused:
            refuse_store(node)
        await asyncio.sleep(0.1)
        self.world.put_config(make_config(7))
        self.world.unregister(self.world.backends["p1"])
        await self.wait_for(
            lambda: all(
                node.cluster_state.freshness().config_version == 7
                and "p1" not in node.cluster_state.servers
                for node in refused
            ),
            seconds=2.5,
        )

    async def test_demand_of_all_domains_is_summed(self):
        for number in range(6):
            await self.world.call("/once-stream/x", node=number, Token_Usage="8000,10")
        totals = [
            sum(n._get_demand_rates().get("engine", 0.0) for n in self.world.nodes)
        ]
        self.assertGreater(totals[0], 0.0)
        await asyncio.sleep(0.8)
        reported = [node.fleet.sum_demand("engine") for node in self.world.nodes]
        self.assertGreater(min(reported), 0.4 * totals[0])


class LostLeaseTest(DomainsCase):
    async def asyncSetUp(self):
        # On a busy machine the holder would lose the lease by itself and take it again.
        clock = ignore_starvation("medlargate.relay._node.read_boot_clock")
        self.enterContext(clock)
        await super().asyncSetUp()

    def find_known_holder(self):
        """Return the holder of the duties once all other nodes know it."""
        for node in self.world.nodes:
            others = [it.fleet.table for it in self.world.nodes if it is not node]
            known = [table.find_holder() for table in others]
            if node.duties.is_holder() and all(
                peer is not None and peer.name == node.fleet.table.name
                for peer in known
            ):
                return node, others
        return None

    async def test_loss_of_the_lease_is_broadcast_immediately(self):
        # The store refuses the lease holder while the report of a usage window is due.
        await self.wait_for(lambda: self.find_known_holder() is not None)
        holder, others = self.find_known_holder()
        refuse_store(holder)
        await self.wait_for(lambda: not holder.duties.is_holder())
        await asyncio.sleep(0.1)
        self.assertFalse(holder.duties.is_holder())
        known = [table.find_holder() for table in others]
        name = holder.fleet.table.name
        self.assertNotIn(name, [peer.name for peer in known if peer is not None])


class SingleNodeDomainsTest(FleetCase):
    """Three nodes, each the only one in its failure domain."""

    domains = ("fd-a", "fd-b", "fd-c")

    async def test_all_domains_receive_status_messages(self):
        await self.wait_for(
            lambda: all(
                len(node.fleet.domains.status_ages()) == 2 for node in self.world.nodes
            )
        )


class ChangeBroadcastTest(FleetCase):
    """Guards against a broadcast by every node when many registrations change."""

    async def test_burst_of_changes_is_broadcast_once_by_some_nodes(self):
        for node in self.world.nodes:
            await self.wait_for(
                lambda node=node: len(node.fleet.table.list_alive()) == 2
            )
        n_broadcasts = dict.fromkeys(range(3), 0)
        for number, node in enumerate(self.world.nodes):

            def count(*, same_domain, all_peers=False, number=number):
                n_broadcasts[number] += all_peers

            node.fleet.messenger.send_status = count
        for node in self.world.nodes:
            for name in ("s1", "s2", "s3", "s4"):
                node.fleet._schedule_broadcast(name)
        await asyncio.sleep(0.1)
        self.assertEqual(n_broadcasts, {0: 1, 1: 0, 2: 1})
