"""Nodes together: relayed beliefs, duties, usage."""

import asyncio
import unittest

from medlargate_standins.relay_world import RelayWorld, make_config

from medlargate.platform import CallClient


def refuse_store(node):
    """Let no further call of a node reach the store."""
    store = node.watcher.store
    for conn in store.calls._idle:
        conn.abort()
    store.calls = CallClient("http://127.0.0.1:9")


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Three nodes, of one failure domain unless a case says otherwise."""

    domains = ("fd-a",)
    n_nodes = 3

    async def asyncSetUp(self):
        self.world = RelayWorld(n_nodes=self.n_nodes, domains=self.domains)
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
    """The load: nodes are stopped in turn while the store is away."""

    async def test_what_a_stopped_node_counted_is_kept_by_the_others(self):
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


class RelayedBeliefsTest(FleetCase):
    async def test_a_node_that_the_store_refuses_learns_from_its_peers(self):
        refused = self.world.nodes[0]
        await self.wait_for(lambda: len(refused.fleet.table.list_alive()) == 2)
        refuse_store(refused)
        await asyncio.sleep(0.1)
        self.world.put_config(make_config(7))
        self.world.unregister(self.world.backends["p1"])
        await self.wait_for(
            lambda: (
                refused.beliefs.freshness().config_version == 7
                and "p1" not in refused.beliefs.servers
            ),
            seconds=4,
        )


class LoadNotesTest(FleetCase):
    async def test_peers_know_where_a_long_prompt_is_read(self):
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
            busy = [name for name, view in views.items() if view.sum_reading(now) > 0]
            self.assertEqual(len(busy), 1)
            self.assertIn("aa", views[busy[0]].parts)
        self.assertEqual((await call).status, 200)


class DomainsTest(FleetCase):
    """Six nodes of three failure domains, which hear of each other in sums."""

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

    def find_busy(self, node):
        now = asyncio.get_running_loop().time()
        views = node.loads.views
        return [name for name, view in views.items() if view.sum_reading(now) > 0]

    async def test_one_node_speaks_for_each_domain(self):
        def speakers():
            return [
                n
                for n in self.world.nodes
                if n.fleet.domains.is_domain_representative()
            ]

        await self.wait_for(lambda: len(speakers()) == 3)
        zones = {node.settings.node.failure_domain for node in speakers()}
        self.assertEqual(zones, set(self.domains))

    async def test_every_node_knows_what_an_engine_reads_and_holds(self):
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
            self.assertIn("aa", node.loads.views[self.find_busy(node)[0]].parts)
        self.assertEqual((await call).status, 200)

    async def test_a_domain_that_the_store_refuses_learns_from_the_others(self):
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
                node.beliefs.freshness().config_version == 7
                and "p1" not in node.beliefs.servers
                for node in refused
            ),
            seconds=2.5,
        )

    async def test_every_node_hears_at_once_that_the_duty_was_lost(self):
        # The load: the store refuses the holder; a window's report is due meanwhile.
        def find():
            return next((n for n in self.world.nodes if n.duties.is_holder()), None)

        await self.wait_for(lambda: find() is not None)
        holder = find()
        others = [node for node in self.world.nodes if node is not holder]
        await self.wait_for(
            lambda: all(node.fleet.table.find_holder() for node in others)
        )
        refuse_store(holder)
        await self.wait_for(lambda: not holder.duties.is_holder())
        await asyncio.sleep(0.1)
        name = holder.fleet.table.name
        known = [node.fleet.table.find_holder() for node in others]
        self.assertNotIn(name, [peer.name for peer in known if peer is not None])

    async def test_work_of_all_domains_is_summed(self):
        for number in range(6):
            await self.world.call("/once-stream/x", node=number, Token_Usage="8000,10")
        totals = [
            sum(n._snapshot_demand().get("engine", 0.0) for n in self.world.nodes)
        ]
        self.assertGreater(totals[0], 0.0)
        await asyncio.sleep(0.8)
        told = [node.fleet.sum_demand("engine") for node in self.world.nodes]
        self.assertGreater(min(told), 0.4 * totals[0])


class LoneNodesTest(FleetCase):
    """Three nodes, each alone in its failure domain."""

    domains = ("fd-a", "fd-b", "fd-c")

    async def test_each_is_heard_by_the_others(self):
        await self.wait_for(
            lambda: all(
                len(node.fleet.domains.status_ages()) == 2 for node in self.world.nodes
            )
        )


class NewsTest(FleetCase):
    """The load: many registrations change at once, and every node hears of it."""

    async def test_a_burst_is_told_once_and_not_by_every_node(self):
        for node in self.world.nodes:
            await self.wait_for(
                lambda node=node: len(node.fleet.table.list_alive()) == 2
            )
        told = dict.fromkeys(range(3), 0)
        for number, node in enumerate(self.world.nodes):

            def count(*, same_domain, all_peers=False, number=number):
                told[number] += all_peers

            node.fleet.talk.send_status = count
        for node in self.world.nodes:
            for name in ("s1", "s2", "s3", "s4"):
                node.fleet._observe_news(name)
        await asyncio.sleep(0.1)
        self.assertEqual(told, {0: 1, 1: 0, 2: 1})
