"""Streams go on only at servers with the software version that began them."""

import asyncio
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import RelayTestbed, make_config, make_route

EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5))


class VersionsCase(unittest.IsolatedAsyncioTestCase):
    """Two nodes, and engines of two versions; the first two engines are ``v1``."""

    n_nodes = 2

    async def asyncSetUp(self):
        self.world = RelayTestbed(n_nodes=self.n_nodes)
        self.routes = [
            make_route("stream", "streaming", "engine", Resumable=True),
            # A stream of this route is not continued within its answer.
            make_route(
                "short-stream", "streaming", "engine", Resumable=True, MaxAttempts=1
            ),
        ]
        await self.world.start(Routes=self.routes)
        self.engines = [self.world.backends["e1"], self.world.backends["e2"]]

    async def asyncTearDown(self):
        await self.world.close()

    async def add_engines(self, version, *names):
        for name in names:
            engine = Backend(name, "engine", slots=8, version=version)
            self.engines.append(await self.world.add_backend(engine))
        async with asyncio.timeout(5):
            for node in self.world.nodes:
                while len(node.cluster_state.servers) < len(self.world.backends):
                    await asyncio.sleep(0.01)

    def list_versions(self, *request_ids):
        """Return the versions of the engines that ran one of the requests."""
        return {
            engine.version
            for engine in self.engines
            if any(engine.runs[request_id] for request_id in request_ids)
        }

    def break_streams(self, engines):
        """Let engines cut new streams inside the third event, but no resumed ones."""
        for engine in engines:
            engine.behaviour = lambda req: (
                "ok" if req.headers.get("last-event-id") else "cut:3"
            )

    async def begin_and_break(self, *, node=0):
        """Begin a stream that ends after two events; return its request id."""
        request_id = self.world.make_request_id()
        reply = await self.world.call(
            "/short-stream/x", node=node, request_id=request_id
        )
        self.assertEqual(reply.status, 200)
        self.assertFalse(reply.complete)
        return request_id

    async def resume(self, request_id, *, node=0):
        """Take a stream up after its second event; return the reply and its id."""
        resumed_id = self.world.make_request_id()
        reply = await self.world.call(
            "/short-stream/x",
            node=node,
            request_id=resumed_id,
            Last_Event_Id="2",
            Resumes=request_id,
        )
        return reply, resumed_id


class SameAnswerTest(VersionsCase):
    async def test_broken_stream_does_not_go_on_at_another_version(self):
        await self.add_engines("v2", "e3", "e4")
        self.break_streams(self.engines)
        for _ in range(12):
            request_id = self.world.make_request_id()
            reply = await self.world.call("/stream/x", request_id=request_id)
            self.assertEqual(len(self.list_versions(request_id)), 1)
            self.assertTrue(reply.complete)
            self.assertEqual(reply.body, EVENTS)


class ResumedByCallerTest(VersionsCase):
    async def begin_all(self, n_streams):
        self.break_streams(self.engines)
        return [await self.begin_and_break() for _ in range(n_streams)]

    async def assert_resumed(self, request_ids, *, node, n_served):
        served = 0
        for request_id in request_ids:
            reply, resumed_id = await self.resume(request_id, node=node)
            versions = self.list_versions(request_id, resumed_id)
            self.assertEqual(len(versions), 1)
            self.assertIn(reply.status, (200, 503))
            served += reply.complete and reply.body == EVENTS[len(EVENTS) // 2 :]
        self.assertGreaterEqual(served, n_served)

    async def test_stream_taken_up_at_another_node_keeps_its_version(self):
        await self.add_engines("v2", "e3", "e4")
        request_ids = await self.begin_all(12)
        await self.assert_resumed(request_ids, node=1, n_served=12)

    async def test_stream_of_a_node_that_is_gone_keeps_its_version(self):
        await self.add_engines("v2", "e3", "e4")
        request_ids = await self.begin_all(12)
        await self.world.nodes[0].close()
        await self.assert_resumed(request_ids, node=1, n_served=12)

    async def test_stream_begun_before_the_second_version_keeps_its_version(self):
        request_ids = await self.begin_all(12)
        await self.add_engines("v2", "e3", "e4")
        await self.world.nodes[0].close()
        await self.assert_resumed(request_ids, node=1, n_served=12)

    async def test_stream_keeps_its_version_after_all_nodes_stopped(self):
        await self.add_engines("v2", "e3", "e4")
        request_ids = await self.begin_all(12)
        await asyncio.sleep(0.5)
        for node in self.world.nodes:
            await node.close()
        await self.world.add_node("n3")
        await self.assert_resumed(request_ids, node=2, n_served=12)

    async def test_stream_of_unknown_version_is_refused_as_not_run(self):
        await self.add_engines("v2", "e3", "e4")
        reply, resumed_id = await self.resume("unknown")
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.list_versions(resumed_id), set())

    async def test_stream_of_unknown_version_goes_on_if_there_is_only_one(self):
        reply, _ = await self.resume("unknown")
        self.assertTrue(reply.complete)

    async def test_stream_whose_version_is_gone_is_refused_as_not_run(self):
        await self.add_engines("v2", "e3", "e4")
        request_ids = await self.begin_all(4)
        for engine in self.engines[:2]:
            self.world.unregister(engine)
        await asyncio.sleep(0.3)
        await self.assert_resumed(request_ids, node=1, n_served=0)


class OutOfStepTest(VersionsCase):
    """A node hears nothing of others while servers of a new version join."""

    def isolate(self, node):
        """Let a node miss all messages of the others and its watches of the store."""

        async def hang(*_):
            await asyncio.sleep(60.0)

        node.watcher.store.poll = hang
        node.fleet.table.observe_status = lambda status: None
        node.fleet.messenger._on_status = lambda status: None
        node.origins.merge = lambda rows: None
        # As on a node that has run for a minute.
        node.origins._has_read_store = True
        # Ends the watches that are under way.
        self.world.put_config(make_config(2, Routes=self.routes))
        self.world.register(self.world.backends["p1"])

    async def begin_at_new_version(self):
        """Begin streams at servers that the second node does not know."""
        await asyncio.sleep(0.3)
        self.isolate(self.world.nodes[1])
        await asyncio.sleep(0.2)
        for name in ("e3", "e4"):
            engine = Backend(name, "engine", slots=8, version="v2")
            self.engines.append(await self.world.add_backend(engine))
        async with asyncio.timeout(5):
            while "e4" not in self.world.nodes[0].cluster_state.servers:
                await asyncio.sleep(0.01)
        self.break_streams(self.engines)
        return [await self.begin_and_break() for _ in range(8)]

    async def test_stream_of_a_version_that_the_node_does_not_know_is_not_mixed(self):
        self.world.cut_off_from_store(self.world.nodes[1])
        for request_id in await self.begin_at_new_version():
            reply, resumed_id = await self.resume(request_id, node=1)
            self.assertEqual(reply.status, 503)
            self.assertEqual(self.list_versions(resumed_id), set())

    async def test_node_that_reaches_the_store_learns_of_the_version(self):
        for request_id in await self.begin_at_new_version():
            _, resumed_id = await self.resume(request_id, node=1)
            self.assertEqual(len(self.list_versions(request_id, resumed_id)), 1)
        self.assertIn("e4", self.world.nodes[1].cluster_state.servers)

    async def test_node_in_touch_asks_neither_store_nor_peers(self):
        await asyncio.sleep(1.0)
        node = self.world.nodes[1]
        # Otherwise a node that started lately reads which versions served before.
        node.origins._has_read_store = True
        n_calls = sum(node.watcher.store.n_calls.values())
        reply, _ = await self.resume("unknown", node=1)
        self.assertTrue(reply.complete)
        self.assertLess(reply.elapsed, 0.2)
        self.assertLessEqual(sum(node.watcher.store.n_calls.values()) - n_calls, 1)


class TakenUpShareTest(VersionsCase):
    """Two of four nodes stop while two servers of the streams' version serve."""

    n_nodes = 4

    async def test_streams_taken_up_go_on_half_as_often_as_new_ones_begin(self):
        await self.add_engines("v2", "e3", "e4", "e5", "e6")
        self.break_streams(self.engines)
        begun = [await self.begin_and_break(node=number % 2) for number in range(16)]
        for node in self.world.nodes[:2]:
            await node.close()
        replies = await asyncio.gather(
            *(self.resume(it, node=2 + number % 2) for number, it in enumerate(begun))
        )
        for engine in self.engines:
            engine.behaviour = lambda _: "ok"
        new = await asyncio.gather(
            *(self.world.call("/stream/x", node=2 + number % 2) for number in range(16))
        )
        n_resumed = sum(reply.complete and reply.status == 200 for reply, _ in replies)
        n_new = sum(reply.complete and reply.status == 200 for reply in new)
        self.assertEqual(n_new, 16)
        self.assertGreaterEqual(n_resumed, n_new / 2)


if __name__ == "__main__":
    unittest.main()
