"""Nodes that reach no server serve their callers through other nodes."""

import asyncio
import unittest

from medlargate_standins.backend import SEAL, Backend
from medlargate_standins.relay_testbed import RelayTestbed, make_route

from medlargate.transport import ConnectFaultError

EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5))


def cut_off(node):
    """Partition a node from all servers; other nodes and the store reach it."""

    async def refuse(*args, **kwargs):
        await asyncio.sleep(0.05)
        raise ConnectFaultError("no connection within 0.05 s")

    async def is_reached(_):
        await asyncio.sleep(0.05)
        return False

    node.pool.acquire = refuse
    node.request_handler._can_reach = is_reached
    node.reach._can_reach = is_reached


class PartitionCase(unittest.IsolatedAsyncioTestCase):
    """Two nodes in ``fd-a`` and one in ``fd-b``; the first nodes may be cut off."""

    async def asyncSetUp(self):
        self.world = RelayTestbed(n_nodes=3, domains=("fd-a", "fd-a", "fd-b"))
        routes = [
            make_route("read", "idempotent", "plain"),
            make_route("book", "non_idempotent", "plain", MaxAttempts=1),
            make_route("stream", "streaming", "engine", Resumable=True),
            make_route("once-stream", "streaming", "engine", MaxAttempts=1),
        ]
        await self.world.start(Routes=routes)
        async with asyncio.timeout(5):
            while any(len(it.fleet.table.list_alive()) < 2 for it in self.world.nodes):
                await asyncio.sleep(0.01)

    async def asyncTearDown(self):
        await self.world.close()

    def n_runs(self, request_id):
        return sum(it.runs[request_id] for it in self.world.backends.values())


class FirstAttemptsTest(PartitionCase):
    async def assert_served(self):
        for path in ("/read/x", "/book/x", "/stream/x", "/once-stream/x") * 5:
            request_id = self.world.make_request_id()
            reply = await self.world.call(path, request_id=request_id, body=b"hello")
            self.assertEqual(reply.status, 200)
            self.assertTrue(reply.complete)
            self.assertEqual(reply.headers["response-seal"], SEAL)
            self.assertEqual(self.n_runs(request_id), 1)

    async def test_node_without_a_link_to_the_servers_serves_first_attempts(self):
        cut_off(self.world.nodes[0])
        await self.assert_served()

    async def test_domain_without_a_link_to_the_servers_serves_first_attempts(self):
        cut_off(self.world.nodes[0])
        cut_off(self.world.nodes[1])
        await self.assert_served()

    async def test_request_is_refused_as_not_run_if_no_node_reaches_a_server(self):
        for node in self.world.nodes:
            cut_off(node)
        for path in ("/read/x", "/book/x", "/stream/x"):
            reply = await self.world.call(path)
            self.assertEqual(reply.status, 503)
            self.assertIn("retry-after", reply.headers)


class ForwardedRequestsTest(PartitionCase):
    async def test_servers_get_the_request_as_the_caller_sent_it(self):
        cut_off(self.world.nodes[0])
        reply = await self.world.call(
            "/book/x?q=1",
            body=b"hello",
            X_Other="kept",
            Connection="x-hop, key",
            X_Hop="dropped",
        )
        self.assertEqual(reply.status, 200)
        names = {name for name in reply.headers if name.startswith("medlargate")}
        self.assertEqual(names, set())
        (req,) = [
            req for it in self.world.backends.values() for req in it.received_requests
        ]
        self.assertEqual((req.method, req.target), ("POST", "/book/x?q=1"))
        self.assertEqual((req.body, req.headers["x-other"]), (b"hello", "kept"))
        self.assertEqual(req.headers["tenant"], "alpha")
        self.assertLessEqual(int(req.headers["deadline-ms"]), 2000)
        self.assertNotIn("x-hop", req.headers)
        names = {name for name in req.headers if name == "key" or "medlargate" in name}
        self.assertEqual(names, set())

    async def test_usage_is_counted_once(self):
        cut_off(self.world.nodes[0])
        await self.world.call("/book/x")
        total = 0
        for node in self.world.nodes:
            rows = node.usage.snapshot(node.incarnation, since=0)
            total += sum(row.get("alpha", 0) for row in rows.values())
        self.assertEqual(total, 1)

    async def test_server_stops_work_after_the_caller_has_left(self):
        cut_off(self.world.nodes[0])
        for backend in self.world.backends.values():
            backend.behaviour = lambda _: "silent"
        call = asyncio.create_task(self.world.call("/stream/x"))
        async with asyncio.timeout(5):
            while not any(it.runs for it in self.world.backends.values()):
                await asyncio.sleep(0.01)
            call.cancel()
            while not any(it.n_disconnects for it in self.world.backends.values()):
                await asyncio.sleep(0.01)

    async def test_failed_booking_at_the_other_node_is_not_repeated(self):
        cut_off(self.world.nodes[0])
        for backend in self.world.backends.values():
            backend.behaviour = lambda _: "reset"
        request_id = self.world.make_request_id()
        reply = await self.world.call("/book/x", request_id=request_id)
        self.assertEqual(reply.status, 502)
        self.assertEqual(self.n_runs(request_id), 1)


class RunningStreamsTest(PartitionCase):
    async def test_stream_goes_on_through_another_node_at_its_version(self):
        names = ("e3", "e4")
        for name in names:
            await self.world.add_backend(Backend(name, "engine", slots=8, version="v2"))
        async with asyncio.timeout(5):
            for node in self.world.nodes:
                while len(node.cluster_state.servers) < len(self.world.backends):
                    await asyncio.sleep(0.01)

        def cut_stream_and_node(req):
            if req.headers.get("last-event-id"):
                return "ok"
            cut_off(self.world.nodes[0])
            return "cut:3"

        for backend in self.world.backends.values():
            backend.behaviour = cut_stream_and_node
        request_id = self.world.make_request_id()
        reply = await self.world.call("/stream/x", request_id=request_id)
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, EVENTS)
        versions = {it.version for it in self.world.backends.values() if it.runs}
        self.assertEqual(len(versions), 1)

    async def hang(self, path):
        """Send a request whose server is silent because the node is cut off."""

        def hang_and_cut(req):
            if req.headers.get("hung") and not self.hung:
                self.hung = True
                cut_off(self.world.nodes[0])
                return "silent"
            return "ok"

        self.hung = False
        for backend in self.world.backends.values():
            backend.behaviour = hang_and_cut
        return await self.world.call(path, Hung="1", Deadline_Ms="3000")

    async def test_hung_request_goes_on_through_another_node(self):
        reply = await self.hang("/read/x")
        self.assertTrue(reply.complete)
        self.assertLess(reply.elapsed, 1.8)

    async def test_hung_stream_goes_on_through_another_node(self):
        reply = await self.hang("/stream/x")
        self.assertTrue(reply.complete)
        self.assertLess(reply.elapsed, 1.8)

    async def test_silent_server_of_a_reached_service_keeps_its_request(self):
        for backend in self.world.backends.values():
            backend.delay = 1.5
        reply = await self.world.call("/once-stream/x", Deadline_Ms="3000")
        self.assertTrue(reply.complete)
        self.assertEqual(self.world.nodes[0].reach.list_unreachable(), [])

    async def test_partition_is_no_crash_of_a_server(self):
        node = self.world.nodes[0]

        def break_and_cut(_):
            cut_off(node)
            return "begun"

        for backend in self.world.backends.values():
            backend.behaviour = break_and_cut
        await self.world.call("/once-stream/x", Prompt_Prefix="p1:10,r1:5")
        await asyncio.sleep(0.5)
        self.assertEqual(list(node.crash_guard.observed), [])


if __name__ == "__main__":
    unittest.main()
