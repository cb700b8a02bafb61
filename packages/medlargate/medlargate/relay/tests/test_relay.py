"""Tests of a relay node with backend servers that violate the protocol."""

import asyncio
import time
import unittest

from medlargate_standins.backend import SEAL, Backend
from medlargate_standins.demo import HOST
from medlargate_standins.relay_testbed import (
    KEY,
    RelayTestbed,
    make_config,
    make_request,
    read_reply,
)
from medlargate_standins.unstarved_clock import ignore_starvation

from medlargate.transport import IncomingRequest


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """Base class: one node, two plain servers and two engines."""

    config = {}

    async def asyncSetUp(self):
        self.world = RelayTestbed()
        await self.world.start(**self.config)
        self.node = self.world.nodes[0]

    async def asyncTearDown(self):
        await self.world.close()

    def set_behaviour(self, service, behaviour):
        for backend in self.world.backends.values():
            if backend.service == service:
                backend.behaviour = behaviour

    def list_received(self, service):
        return [
            req
            for backend in self.world.backends.values()
            if backend.service == service
            for req in backend.received_requests
        ]

    def n_runs(self, request_id):
        return sum(it.runs[request_id] for it in self.world.backends.values())


class HeadersTest(RelayCase):
    async def test_answer_of_the_server_is_relayed_unchanged(self):
        reply = await self.world.call("/read/x", method="GET", request_id="r1")
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.headers["response-seal"], SEAL)
        self.assertTrue(reply.body.endswith(b"ran r1"))

    async def test_router_replaces_its_own_request_headers(self):
        await self.world.call(
            "/book/x?q=1",
            body=b"hello",
            Tenant="forged",
            Expect_Instance="forged",
            Request_Priority="0",
            Kv_From="1.2.3.4:5/x",
            X_Other="kept",
            Connection="x-hop, attempt-id",
            X_Hop="dropped",
        )
        (req,) = self.list_received("plain")
        self.assertEqual((req.method, req.target), ("POST", "/book/x?q=1"))
        self.assertEqual(req.body, b"hello")
        self.assertEqual(req.headers["tenant"], "alpha")
        self.assertIn(req.headers["expect-instance"], self.world.backends)
        self.assertLessEqual(int(req.headers["deadline-ms"]), 2000)
        self.assertEqual(req.headers["x-other"], "kept")
        self.assertTrue(req.request_id)
        for name in ("key", "kv-from", "request-priority", "x-hop"):
            self.assertNotIn(name, req.headers)

    async def test_deadline_is_limited_to_the_route_timeout(self):
        await self.world.call("/book/x", Deadline_Ms="60000")
        (req,) = self.list_received("plain")
        self.assertLessEqual(int(req.headers["deadline-ms"]), 3000)


class ConfigTest(RelayCase):
    async def test_unknown_route_returns_404(self):
        self.assertEqual((await self.world.call("/none/x")).status, 404)

    async def test_unknown_key_returns_401_and_is_not_run(self):
        reply = await self.world.call("/read/x", Key="unknown")
        self.assertEqual(reply.status, 401)
        self.assertEqual(self.list_received("plain"), [])

    async def test_recently_added_key_is_accepted(self):
        tenants = [{"Name": "beta", "ApiKeys": ["key-beta"]}]
        self.world.put_config(make_config(2, Tenants=tenants))
        self.node.cluster_state.config_confirmed_at = float("-inf")
        reply = await self.world.call("/read/x", Key="key-beta")
        self.assertEqual(reply.status, 200)

    async def test_unconfirmed_refusal_returns_503(self):
        self.world.platform.down_until = float("inf")
        self.node.cluster_state.config_confirmed_at = float("-inf")
        reply = await self.world.call("/read/x", Key="unknown")
        self.assertEqual(reply.status, 503)
        self.assertIn("retry-after", reply.headers)

    async def test_invalid_configuration_keeps_the_last_valid_one(self):
        self.world.put_config({"Version": 9, "Routes": [{"Name": "broken"}]})
        await asyncio.sleep(0.2)
        self.assertEqual((await self.world.call("/read/x")).status, 200)

    async def test_lower_version_is_ignored(self):
        self.world.put_config(make_config(5))
        await asyncio.sleep(0.2)
        self.world.put_config(make_config(4, Tenants=[]))
        await asyncio.sleep(0.2)
        self.assertEqual((await self.world.call("/read/x", Key=KEY)).status, 200)

    async def test_new_version_takes_effect_within_the_bound(self):
        self.world.put_config(make_config(2, Routes=[]))
        async with asyncio.timeout(2.0):
            while (await self.world.call("/read/x")).status != 404:
                await asyncio.sleep(0.05)

    async def test_invalid_registration_does_not_affect_others(self):
        from medlargate.platform import Put

        puts = [Put("servers/bad1", b"\xff\x00"), Put("servers/bad2", b'{"Slots":"x"}')]
        self.world.platform.store.write([], puts)
        await asyncio.sleep(0.2)
        self.assertEqual((await self.world.call("/read/x")).status, 200)


class VerdictTest(RelayCase):
    async def test_non_repeatable_request_is_not_retried(self):
        self.set_behaviour("plain", lambda _: "reset")
        reply = await self.world.call("/book/x", request_id="r1")
        self.assertEqual(reply.status, 502)
        self.assertEqual(self.n_runs("r1"), 1)

    async def test_idempotent_request_is_retried_on_another_server(self):
        self.world.backends["p1"].behaviour = lambda _: "reset"
        for number in range(8):
            reply = await self.world.call("/read/x", request_id=f"r{number}")
            self.assertEqual(reply.status, 200)

    async def test_request_refused_by_servers_is_reported_as_not_run(self):
        self.set_behaviour("plain", lambda _: "refuse")
        reply = await self.world.call("/book/x", request_id="r1")
        self.assertEqual(reply.status, 503)
        self.assertIn("retry-after", reply.headers)
        self.assertEqual(self.n_runs("r1"), 0)
        self.assertLess(reply.elapsed, 0.5)

    async def test_attempts_are_limited_by_the_route(self):
        self.set_behaviour("plain", lambda _: "refuse")
        await self.world.call("/read/x", request_id="r1")
        self.assertEqual(len(self.list_received("plain")), 2)

    async def test_server_error_is_relayed_unchanged(self):
        self.set_behaviour("plain", lambda _: "error")
        reply = await self.world.call("/book/x")
        self.assertEqual((reply.status, reply.headers["response-seal"]), (500, SEAL))

    async def test_server_error_is_retried_on_another_server(self):
        self.world.backends["p1"].behaviour = lambda _: "error"
        for _ in range(8):
            self.assertEqual((await self.world.call("/read/x")).status, 200)

    async def test_truncated_answer_is_a_failure(self):
        self.set_behaviour("plain", lambda _: "half")
        reply = await self.world.call("/book/x")
        self.assertEqual(reply.status, 502)

    async def test_answer_without_length_ends_when_the_connection_closes(self):
        self.set_behaviour("plain", lambda _: "unframed")
        reply = await self.world.call("/book/x", request_id="r1")
        self.assertEqual(reply.status, 200)
        self.assertTrue(reply.body.endswith(b"ran r1"))

    async def test_answer_to_another_request_is_skipped(self):
        self.set_behaviour("plain", lambda _: "strange")
        reply = await self.world.call("/book/x", request_id="r1")
        self.assertEqual(reply.status, 200)
        self.assertTrue(reply.body.endswith(b"ran r1"))

    async def test_unsolicited_second_answer_is_discarded(self):
        self.set_behaviour("plain", lambda _: "extra")
        for number in range(6):
            reply = await self.world.call("/book/x", request_id=f"r{number}")
            self.assertTrue(reply.body.endswith(f"ran r{number}".encode()))

    async def test_request_is_not_run_when_an_address_is_reused(self):
        old = self.world.backends["p1"]
        self.world.unregister(self.world.backends["p2"])
        old.server_id = "p9"
        await asyncio.sleep(0.2)
        reply = await self.world.call("/book/x", request_id="r1")
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.n_runs("r1"), 0)

    async def test_unreachable_server_does_not_count_as_an_attempt(self):
        await self.world.backends["p1"].close()
        for number in range(6):
            reply = await self.world.call("/book/x", request_id=f"r{number}")
            self.assertEqual(reply.status, 200)

    async def test_idempotent_request_is_retried_after_a_silent_server(self):
        self.world.backends["p1"].behaviour = lambda _: "silent"
        self.world.unregister(self.world.backends["p2"])
        await asyncio.sleep(0.1)
        task = asyncio.create_task(self.world.call("/read/x", Deadline_Ms="2900"))
        await asyncio.sleep(0.2)
        self.world.register(self.world.backends["p2"])
        self.assertEqual((await task).status, 200)


class CrashTest(RelayCase):
    async def test_request_that_crashes_servers_is_eventually_refused(self):
        for number in range(6):
            backend = Backend(f"c{number}", "plain", behaviour=lambda _: "crash")
            await self.world.add_backend(backend)
        for name in ("p1", "p2"):
            self.world.unregister(self.world.backends[name])
        await asyncio.sleep(0.2)
        statuses = []
        for number in range(6):
            reply = await self.world.call(
                "/book/x", body=b"deadly", request_id=f"r{number}"
            )
            statuses.append(reply.status)
            await asyncio.sleep(0.3)
        n_runs = sum(self.n_runs(f"r{number}") for number in range(6))
        self.assertEqual(n_runs, 3)
        self.assertEqual(statuses, [502, 502, 502, 503, 503, 503])
        reply = await self.world.call("/book/x", body=b"harmless", request_id="r9")
        self.assertEqual(reply.status, 502)  # it runs, on a server that crashes too

    async def test_request_that_was_answered_is_not_blocked_when_servers_fail(self):
        # Equal requests run on several servers that are lost at the same time.
        reply = await self.world.call("/book/x", body=b"same", request_id="first")
        self.assertEqual(reply.status, 200)
        for number in range(4):
            backend = Backend(f"c{number}", "plain", behaviour=lambda _: "crash")
            await self.world.add_backend(backend)
        for name in ("p1", "p2"):
            self.world.unregister(self.world.backends[name])
        await asyncio.sleep(0.2)
        for number in range(4):
            await self.world.call("/book/x", body=b"same", request_id=f"r{number}")
            await asyncio.sleep(0.3)
        for name in ("p1", "p2"):
            self.world.register(self.world.backends[name])
        await asyncio.sleep(0.5)
        reply = await self.world.call("/book/x", body=b"same", request_id="last")
        self.assertEqual(reply.status, 200)

    async def test_lost_answers_do_not_count_as_crashes(self):
        self.set_behaviour("plain", lambda _: "reset")
        for number in range(6):
            await self.world.call("/book/x", body=b"same", request_id=f"r{number}")
            await asyncio.sleep(0.15)
        self.assertEqual(sum(self.n_runs(f"r{number}") for number in range(6)), 6)


class TimeTest(RelayCase):
    async def test_request_times_out_at_its_deadline(self):
        self.set_behaviour("plain", lambda _: "silent")
        reply = await self.world.call("/book/x", Deadline_Ms="700")
        self.assertEqual(reply.status, 504)
        self.assertLess(reply.elapsed, 1.0)

    async def test_caller_disconnect_cancels_the_request(self):
        self.set_behaviour("plain", lambda _: "silent")
        _, writer = await self.world.open()
        writer.write(make_request("GET", "/read/x", "r1"))
        await asyncio.sleep(0.1)
        writer.close()
        async with asyncio.timeout(0.5):
            while not sum(it.n_disconnects for it in self.world.backends.values()):
                await asyncio.sleep(0.01)

    async def test_waiting_call_of_a_caller_that_has_left_is_not_run(self):
        self.set_behaviour("plain", lambda _: "ok")
        for backend in self.world.backends.values():
            backend.delay = 0.6
        running = [
            asyncio.create_task(self.world.call("/book/x", request_id=f"r{number}"))
            for number in range(12)
        ]
        await asyncio.sleep(0.2)
        _, writer = await self.world.open()
        writer.write(make_request("POST", "/book/x", "left"))
        await asyncio.sleep(0.1)
        self.assertEqual(self.node.request_queue.count_waiting()["plain"], 1)
        writer.close()
        await asyncio.gather(*running)
        await asyncio.sleep(0.3)
        self.assertEqual(self.n_runs("left"), 0)

    async def test_caller_disconnect_during_placement_leaves_no_load(self):
        for backend in self.world.backends.values():
            backend.delay = 0.02
        writers = []
        for number in range(60):
            _, writer = await self.world.open()
            writer.write(make_request("GET", "/read/x", f"r{number}"))
            writers.append(writer)
        await asyncio.sleep(0.05)
        for writer in writers:
            writer.close()
        await asyncio.sleep(0.3)
        self.assertEqual(self.node.loads.list_own_loads(), {})

    async def test_cancellation_after_placement_releases_the_server(self):
        queue, node = self.node.request_queue, self.node
        server = next(iter(queue.list_usable_servers("plain")))
        exch = await node.request_handler._acceptor.accept(_make_incoming(), None)
        node.request_queue.list_usable_servers = lambda _: []
        task = asyncio.create_task(queue.acquire(exch))
        await asyncio.sleep(0)
        node.request_queue.list_usable_servers = lambda _: [server]
        queue.observe_change()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(node.loads.list_own_loads(), {})

    async def test_request_without_servers_is_refused_quickly(self):
        for name in ("p1", "p2"):
            self.world.unregister(self.world.backends[name])
        await asyncio.sleep(0.2)
        reply = await self.world.call("/book/x", Deadline_Ms="5000")
        self.assertEqual(reply.status, 503)
        self.assertLess(reply.elapsed, 1.5)


class UnregistrationTest(RelayCase):
    async def test_draining_server_gets_no_requests(self):
        backend = self.world.backends["p1"]
        self.world.register(backend, state="draining")
        await asyncio.sleep(0.2)
        before = len(backend.received_requests)
        for _ in range(6):
            self.assertEqual((await self.world.call("/read/x")).status, 200)
        self.assertEqual(len(backend.received_requests), before)

    async def test_unregistered_server_gets_no_requests(self):
        backend = self.world.backends["p1"]
        self.world.unregister(backend)
        await asyncio.sleep(0.2)
        for _ in range(6):
            self.assertEqual((await self.world.call("/read/x")).status, 200)
        self.assertEqual(len(backend.received_requests), 0)

    async def test_server_unregistered_before_a_compaction_gets_no_requests(self):
        backend = self.world.backends["p1"]
        self.world.unregister(backend)
        self.world.platform.store.compact()
        await asyncio.sleep(0.3)
        for _ in range(6):
            self.assertEqual((await self.world.call("/read/x")).status, 200)
        self.assertEqual(len(backend.received_requests), 0)


class StreamTest(RelayCase):
    EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5))

    async def test_stream_is_relayed_completely(self):
        reply = await self.world.call("/once-stream/x")
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, self.EVENTS)

    async def test_interrupted_stream_is_visibly_incomplete(self):
        self.set_behaviour("engine", lambda _: "cut:3")
        reply = await self.world.call("/once-stream/x", request_id="r1")
        self.assertFalse(reply.complete)
        self.assertEqual(reply.body, b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
        self.assertEqual(self.n_runs("r1"), 1)

    async def test_resumable_stream_continues_on_another_server(self):
        failed = []

        def cut_once(req):
            if failed:
                return "ok"
            failed.append(req)
            return "cut:3"

        self.set_behaviour("engine", cut_once)
        reply = await self.world.call("/resume-stream/x", request_id="r1")
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, self.EVENTS)
        # Either engine may have received the first attempt.
        offsets = [
            req.headers.get("last-event-id") for req in self.list_received("engine")
        ]
        self.assertCountEqual(offsets, [None, "2"])

    async def test_stream_interrupted_before_the_first_event_returns_502(self):
        self.set_behaviour("engine", lambda _: "reset")
        reply = await self.world.call("/once-stream/x")
        self.assertEqual(reply.status, 502)


def _make_incoming():
    rows = {b"host": b"site.example", b"attempt-id": b"r1", b"key": KEY.encode()}
    return IncomingRequest("GET", "/read/x", tuple(rows.items()), b"", 0.0)


class IngressTest(RelayCase):
    async def send(self, raw):
        reader, writer = await self.world.open()
        writer.write(raw)
        async with asyncio.timeout(3):
            reply = await read_reply(reader)
        writer.close()
        return reply

    async def test_conflicting_body_framings_are_refused(self):
        raw = (
            b"POST /book/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: r1\r\n"
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        self.assertEqual((await self.send(raw)).status, 400)
        self.assertEqual(self.list_received("plain"), [])

    async def test_oversized_headers_are_refused(self):
        reply = await self.world.call("/book/x", X_Long="y" * 4000)
        self.assertEqual(reply.status, 431)

    async def test_oversized_body_is_refused(self):
        reply = await self.world.call("/book/x", body=b"y" * 30_000)
        self.assertEqual(reply.status, 413)

    async def test_slow_headers_are_refused(self):
        reply = await self.send(b"POST /book/x HTTP/1.1\r\nHost:")
        self.assertEqual(reply.status, 408)

    async def test_invalid_request_line_is_refused(self):
        self.assertEqual(
            (await self.send(b"\x16\x03\x01 nonsense\r\n\r\n")).status, 400
        )

    async def test_chunked_body_is_relayed_completely(self):
        raw = make_request("POST", "/book/x", "r1", Content_Length="")
        raw = (
            raw[:-2]
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual((await self.send(raw)).status, 200)
        self.assertEqual(self.list_received("plain")[0].body, b"abcde")

    async def test_keep_alive_connection_serves_several_requests(self):
        reader, writer = await self.world.open()
        for number in range(5):
            writer.write(make_request("GET", "/read/x", f"r{number}"))
            reply = await read_reply(reader)
            self.assertTrue(reply.body.endswith(f"ran r{number}".encode()))
        writer.close()


class StopTest(RelayCase):
    async def test_stop_completes_running_requests_and_closes_idle_connections(self):
        for backend in self.world.backends.values():
            backend.delay = 0.5
        running = asyncio.create_task(self.world.call("/book/x"))
        kept_reader, kept = await self.world.open()
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(self.node.stop())
        await asyncio.sleep(0.1)
        self.assertFalse(self.node.is_ready)
        kept.write(make_request("GET", "/read/x", "r2"))
        reply = await read_reply(kept_reader)
        self.assertEqual(reply.headers["connection"], "close")
        self.assertEqual((await running).status, 200)
        idle_reader, idle = await self.world.open()
        await stop
        self.assertEqual(await idle_reader.read(1), b"")
        idle.close()
        kept.close()


class BusyServiceTest(RelayCase):
    async def asyncSetUp(self):
        # On a busy machine the requests would reach their deadline.
        clock = ignore_starvation("medlargate.relay._node.read_boot_clock")
        self.enterContext(clock)
        await super().asyncSetUp()

    async def test_requests_to_a_busy_service_are_queued_and_served(self):
        for backend in self.world.backends.values():
            backend.delay = 0.05
        calls = [self.world.call("/read/x") for _ in range(40)]
        replies = await asyncio.gather(*calls)
        self.assertEqual({reply.status for reply in replies}, {200})

    async def test_stalled_process_is_measured_by_its_own_time(self):
        def stall():
            time.sleep(0.1)
            self.stalling = asyncio.get_running_loop().call_later(0.01, stall)

        stall()
        try:
            await self.test_requests_to_a_busy_service_are_queued_and_served()
        finally:
            self.stalling.cancel()


class ConnectionsTest(RelayCase):
    async def test_backend_connections_are_reused(self):
        for _ in range(10):
            await self.world.call("/read/x", method="GET")
        n_opened = sum(it.n_connections for it in self.world.backends.values())
        self.assertLessEqual(n_opened, 2)

    async def test_pause_of_the_node_causes_no_refusals(self):
        # Guards against refusals of queued requests after the process was paused: all
        # answers of a plain service are overdue then, although its servers are fine.
        node = self.world.nodes[0]
        for name in ("p1", "p2"):
            self.world.backends[name].delay = 0.2
        calls = [
            asyncio.create_task(self.world.call("/read/x", Deadline_Ms="3000"))
            for _ in range(24)
        ]
        async with asyncio.timeout(2.0):
            while node.request_queue.count_waiting().get("plain", 0) < 6:
                await asyncio.sleep(0.005)
        time.sleep(0.6)
        for name in ("p1", "p2"):
            node.loads.get_view(name).slowness = 8.0
        # The node processes its queue before it reads the answers that have arrived.
        node.request_queue.observe_change()
        replies = await asyncio.gather(*calls)
        self.assertEqual({reply.status for reply in replies}, {200})

    async def test_new_server_gets_requests(self):
        backend = await self.world.add_backend(Backend("p3", "plain", slots=50))
        self.assertEqual(backend.registration(HOST)[:1], b"{")
        await asyncio.sleep(0.2)
        for name in ("p1", "p2"):
            self.world.unregister(self.world.backends[name])
        await asyncio.sleep(0.2)
        await self.world.call("/read/x")
        self.assertEqual(len(backend.received_requests), 1)
