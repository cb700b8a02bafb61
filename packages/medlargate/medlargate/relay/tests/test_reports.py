"""Tests that guard against the reports listed in docs/incidents/reports.md."""

import asyncio
import os
import socket
import time
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import make_request, read_reply

from medlargate.platform import FencingCredentials, OrdersClient
from medlargate.policy import Verdict
from medlargate.routing import IngressLimits
from medlargate.transport import IngressServer

from .test_partitioned_nodes import PartitionCase, cut_off
from .test_relay import RelayCase
from .test_stream_versions import VersionsCase


class LateCopyTest(RelayCase):
    """Report 1."""

    async def test_late_copy_without_a_request_id_does_not_reach_the_next_caller(self):
        self.world.unregister(self.world.backends["p2"])
        await asyncio.sleep(0.2)
        self.assertEqual((await self.world.call("/read/x")).status, 200)
        self.set_behaviour("plain", lambda _: "strange-unnamed")
        reply = await self.world.call("/book/x")
        self.assertNotIn(b"not yours", reply.body)
        self.assertEqual(reply.status, 502)


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """Report 2."""

    async def test_connections_in_the_queue_of_the_listener_are_answered(self):
        async def answer(_, responder):
            await responder.send(200, [], b"ok")

        server = IngressServer(answer, IngressLimits)
        port = await server.start("127.0.0.1", 0)
        loop = asyncio.get_running_loop()

        def send_requests():
            # Blocks the event loop meanwhile, as load does.
            socks = []
            for number in range(20):
                sock = socket.create_connection(("127.0.0.1", port))
                sock.sendall(make_request("GET", "/x", f"r{number}"))
                sock.setblocking(False)
                socks.append(sock)
            return socks

        socks = send_requests()
        await server.stop_listening()
        end = loop.time() + 1.0
        while loop.time() < end:
            server.close_idle()
            if not any(it.awaits_request for it in server.connections):
                break
            await asyncio.sleep(0.01)
        await server.close()
        n_answered = 0
        for sock in socks:
            reader, writer = await asyncio.open_connection(sock=sock)
            n_answered += (await read_reply(reader)).status == 200
            writer.close()
        self.assertEqual(n_answered, 20)

    async def test_request_of_an_idle_connection_is_read_before_the_stop(self):
        async def answer(_, responder):
            await responder.send(200, [], b"ok")

        server = IngressServer(answer, IngressLimits)
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(make_request("GET", "/x", "r1"))
        await read_reply(reader)
        sock = writer.get_extra_info("socket")
        os.write(sock.fileno(), make_request("GET", "/x", "r2"))
        server.close_idle()
        self.assertEqual((await read_reply(reader)).status, 200)
        server.close_idle()
        self.assertEqual(await reader.read(1), b"")
        writer.close()
        await server.close()


class StalledStreamTest(RelayCase):
    """Reports 3, 5 and 6."""

    async def test_bytes_now_and_then_do_not_keep_a_stalled_stream_alive(self):
        kinds = iter(("drip:2", "ok", "ok"))
        self.set_behaviour("engine", lambda _: next(kinds))
        reply = await self.world.call("/resume-stream/x", Deadline_Ms="2900")
        self.assertTrue(reply.complete)
        self.assertLess(reply.elapsed, 2.5)

    async def test_limit_of_the_route_ends_a_stalled_stream(self):
        self.set_behaviour("engine", lambda _: "drip:2")
        reply = await self.world.call("/once-stream/x", Deadline_Ms="1500")
        self.assertFalse(reply.complete)
        self.assertLess(reply.elapsed, 2.0)

    async def test_slow_but_healthy_stream_is_not_cut_off(self):
        for backend in self.world.backends.values():
            backend.pause = 0.6
        reply = await self.world.call("/resume-stream/x", Deadline_Ms="2900")
        self.assertTrue(reply.complete)
        self.assertEqual(len(self.list_received("engine")), 1)

    async def test_pause_of_the_node_does_not_give_up_a_stream(self):
        await self.world.add_backend(Backend("e3", "engine", slots=8))
        for backend in self.world.backends.values():
            backend.pause = 0.3
        call = asyncio.create_task(
            self.world.call("/resume-stream/x", Deadline_Ms="2900")
        )
        await asyncio.sleep(0.4)
        # The servers run in this process too: their next events come after the pause.
        time.sleep(1.8)
        self.assertTrue((await call).complete)
        self.assertEqual(len(self.list_received("engine")), 1)


class PausedNodeTest(RelayCase):
    """Report 6."""

    async def test_request_is_not_sent_after_a_pause_beyond_its_deadline(self):
        acquire = self.node.pool.acquire

        async def acquire_and_pause(*args, **kwargs):
            conn = await acquire(*args, **kwargs)
            time.sleep(0.5)
            return conn

        self.node.pool.acquire = acquire_and_pause
        request_id = self.world.make_request_id()
        reply = await self.world.call(
            "/book/x", request_id=request_id, Deadline_Ms="300"
        )
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.n_runs(request_id), 0)

    async def test_lease_is_checked_after_a_pause_and_before_the_write(self):
        answers = iter((True, False))
        call = FencingCredentials("n1", 1, lambda: next(answers))
        client = OrdersClient(f"http://127.0.0.1:{self.world.platform_port}")
        connect = client._calls._connect

        async def connect_and_pause(**kwargs):
            conn = await connect(**kwargs)
            call.guard()  # still held before the pause
            return conn

        client._calls._connect = connect_and_pause
        result = await client.send_usage(1, {"alpha": 1}, call)
        self.assertEqual(result.failure().verdict, Verdict.NOT_RUN)
        self.assertNotIn(1, self.world.platform.usage)
        await client.close()


class TruthOfRefusalsTest(RelayCase):
    async def test_timeout_of_a_request_that_may_have_run_does_not_deny_it(self):
        self.set_behaviour("plain", lambda _: "silent")
        reply = await self.world.call("/book/x", Deadline_Ms="400")
        self.assertEqual(reply.status, 504)
        self.assertIn(b'"run":"may_have_run"', reply.body)


class ForwardedTimeoutTest(PartitionCase):
    async def test_request_that_may_have_run_is_not_forwarded_again(self):
        cut_off(self.world.nodes[0])
        for backend in self.world.backends.values():
            backend.behaviour = lambda _: "silent"
        request_id = self.world.make_request_id()
        reply = await self.world.call("/book/x", request_id=request_id)
        self.assertIn(reply.status, (502, 504))
        self.assertIn(b'"run":"may_have_run"', reply.body)
        self.assertEqual(self.n_runs(request_id), 1)


class ForwardedHalfAnswerTest(PartitionCase):
    """Report 4."""

    async def test_half_answers_through_another_node_are_visibly_incomplete(self):
        cut_off(self.world.nodes[0])
        for backend in self.world.backends.values():
            backend.behaviour = lambda _: "cut:3"
        reply = await self.world.call("/once-stream/x")
        self.assertFalse(reply.complete)
        for backend in self.world.backends.values():
            backend.behaviour = lambda _: "half"
        reply = await self.world.call("/book/x")
        self.assertEqual(reply.status, 502)


class AllNodesKilledTest(VersionsCase):
    """Report 7: all nodes are killed at once while the version changes."""

    async def kill_all(self):
        """Stop all nodes at once without any last write or message."""
        for node in self.world.nodes:
            for task in node._tasks:
                task.cancel()
        for node in self.world.nodes:
            await node.close()

    def replace_version(self, old, *names, version="v2"):
        for engine in old:
            self.world.unregister(engine)
        return [Backend(name, "engine", slots=8, version=version) for name in names]

    async def begin(self, n_streams=3):
        self.break_streams(self.engines)
        return [await self.begin_and_break() for _ in range(n_streams)]

    async def assert_not_mixed(self, request_ids, *, node):
        for request_id in request_ids:
            reply, resumed_id = await self.resume(request_id, node=node)
            self.assertIn(reply.status, (200, 503))
            versions = self.list_versions(request_id, resumed_id)
            self.assertEqual(len(versions), 1, versions)

    async def restart_with(self, engines):
        for engine in engines:
            self.engines.append(await self.world.add_backend(engine))
        for name in [it for it in self.world.backends if it in ("e1", "e2")]:
            del self.world.backends[name]
        await self.world.add_node(f"m{len(self.world.nodes)}")
        return len(self.world.nodes) - 1

    async def test_old_version_has_left_while_the_nodes_were_down(self):
        await asyncio.sleep(0.8)
        request_ids = await self.begin()
        await self.kill_all()
        new = self.replace_version(self.engines, "e3", "e4")
        node = await self.restart_with(new)
        await self.assert_not_mixed(request_ids, node=node)

    async def test_streams_of_the_last_moments_before_the_kill(self):
        await self.add_engines("v2", "e3", "e4")
        request_ids = await self.begin()
        await self.kill_all()
        self.replace_version(self.engines[:2])
        node = await self.restart_with([])
        await self.assert_not_mixed(request_ids, node=node)

    async def test_store_is_unavailable_after_the_restart(self):
        await asyncio.sleep(0.8)
        request_ids = await self.begin()
        await self.kill_all()
        new = self.replace_version(self.engines, "e3", "e4")
        node = await self.restart_with(new)
        self.world.platform.down_until = float("inf")
        await self.assert_not_mixed(request_ids, node=node)
        self.world.platform.down_until = 0.0

    async def test_two_version_changes_during_a_stream(self):
        await asyncio.sleep(0.8)
        request_ids = await self.begin()
        await self.add_engines("v2", "e3", "e4")
        for name in ("e1", "e2"):
            self.world.unregister(self.world.backends[name])
        await asyncio.sleep(0.8)
        await self.kill_all()
        new = self.replace_version(self.engines, "e5", version="v3")
        del self.world.backends["e3"], self.world.backends["e4"]
        node = await self.restart_with(new)
        await self.assert_not_mixed(request_ids, node=node)

    async def test_stream_taken_up_twice_keeps_its_version(self):
        await self.add_engines("v2", "e3", "e4")
        for engine in self.engines:
            engine.behaviour = lambda req: (
                f"cut:{int(req.headers.get('last-event-id') or 0) + 2}"
            )
        request_id = await self.begin_and_break_after_one()
        reply, second_id = await self.resume_after(request_id, 1)
        self.assertEqual((reply.status, reply.complete), (200, False))
        reply, third_id = await self.resume_after(second_id, 2)
        self.assertEqual(reply.status, 200)
        versions = self.list_versions(request_id, second_id, third_id)
        self.assertEqual(len(versions), 1)

    async def begin_and_break_after_one(self):
        request_id = self.world.make_request_id()
        reply = await self.world.call("/short-stream/x", request_id=request_id)
        self.assertFalse(reply.complete)
        return request_id

    async def resume_after(self, request_id, last_event_id):
        resumed_id = self.world.make_request_id()
        reply = await self.world.call(
            "/short-stream/x",
            node=1,
            request_id=resumed_id,
            Last_Event_Id=str(last_event_id),
            Resumes=request_id,
        )
        return reply, resumed_id


if __name__ == "__main__":
    unittest.main()
