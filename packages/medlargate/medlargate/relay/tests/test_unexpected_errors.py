"""Guards against requests without an answer, or with an untrue one, after a bug."""

import asyncio
import unittest
from unittest import mock

import orjson
from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import (
    KEY,
    make_config,
    make_request,
    read_reply,
)

from medlargate.transport import BackendConnection, ConnectFaultError, open_connection

from .._sender import OpenAnswer
from .test_odd_entries import enable_logs
from .test_relay import RelayCase


def fail(*_, **__):
    raise RuntimeError("injected")


async def fail_async(*_, **__):
    fail()


def fail_for(request_id, function):
    """Return a function that fails for one request only."""

    def call(exch, *args, **kwargs):
        if exch.facts.request_id == request_id:
            fail()
        return function(exch, *args, **kwargs)

    return call


class InjectedErrorsTest(RelayCase):
    async def asyncSetUp(self):
        enable_logs(self)
        await super().asyncSetUp()

    async def call_with(self, target, name, route="book", replacement=fail):
        request_id = self.world.make_request_id()
        with (
            mock.patch.object(target, name, replacement),
            self.assertLogs("medlargate", "ERROR"),
        ):
            reply = await self.world.call(f"/{route}/x", request_id=request_id)
        self.assertEqual((await self.world.call(f"/{route}/x")).status, 200)
        return reply, self.n_runs(request_id)

    def assert_not_run(self, reply, n_runs):
        self.assertEqual((reply.status, reply.complete, n_runs), (503, True, 0))
        self.assertIn("retry-after", reply.headers)
        self.assertEqual(orjson.loads(reply.body)["error"]["run"], "not_run")

    async def test_errors_before_the_write_are_answered_as_not_run(self):
        handler = self.node.request_handler
        for target, name, replacement in (
            (handler._acceptor, "accept", fail_async),
            (self.node.request_queue, "_try_place", fail),
            (self.node.request_queue, "_observe_send", fail),
            (handler._forwarder, "choose_peer", fail),
            (BackendConnection, "send", fail),
        ):
            for route in ("book", "resume-stream"):
                with self.subTest(name=name, route=route):
                    got = await self.call_with(target, name, route, replacement)
                    self.assert_not_run(*got)
        self.assertEqual(self.node.loads.list_own_loads(), {})

    async def test_errors_after_the_write_do_not_deny_the_run(self):
        for target, name, replacement in (
            (BackendConnection, "read_head", fail_async),
            (OpenAnswer, "read_whole", fail_async),
            (self.node.request_handler, "_relay_whole", fail_async),
            (self.node.request_handler, "_deliver", fail_async),
        ):
            with self.subTest(name=name):
                reply, n_runs = await self.call_with(target, name, "book", replacement)
                self.assertEqual((reply.status, n_runs), (502, 1))
                self.assertNotEqual(orjson.loads(reply.body)["error"]["run"], "not_run")

    async def test_begun_stream_is_visibly_incomplete(self):
        reply, n_runs = await self.call_with(
            self.node.request_handler, "_observe_token_time", "once-stream"
        )
        self.assertEqual((reply.status, reply.complete, n_runs), (200, False, 1))

    async def test_errors_of_the_records_leave_the_answer_as_it_is(self):
        handler = self.node.request_handler
        for target, name in (
            (handler._recorder, "observe_arrival"),
            (handler._recorder, "observe_end"),
            (handler._sender, "_observe_headers"),
            (self.node.loads, "observe_end"),
        ):
            for route in ("book", "resume-stream"):
                with self.subTest(name=name, route=route):
                    reply, _ = await self.call_with(target, name, route)
                    self.assertEqual((reply.status, reply.complete), (200, True))

    async def test_connection_is_kept_after_an_error_behind_the_answer(self):
        observe_end = self.node.loads.observe_end

        def fail_once_run(*args, **kwargs):
            # An attempt ends without a run if the process pauses while it connects.
            if self.n_runs("r1"):
                fail()
            observe_end(*args, **kwargs)

        reader, writer = await self.world.open()
        with (
            mock.patch.object(self.node.loads, "observe_end", fail_once_run),
            self.assertLogs("medlargate", "ERROR"),
        ):
            writer.write(make_request("POST", "/read/x", "r1"))
            self.assertEqual((await read_reply(reader)).status, 200)
        writer.write(make_request("POST", "/read/x", "r2"))
        self.assertEqual((await read_reply(reader)).status, 200)
        writer.close()

    async def test_error_is_counted(self):
        observed = []
        with mock.patch.object(self.node.metrics, "observe_event", observed.append):
            await self.call_with(self.node.request_queue, "_try_place")
        self.assertEqual(observed, ["internal_error"])

    async def test_waiting_requests_are_served_beside_one_that_fails(self):
        queue = self.node.request_queue
        with mock.patch.object(queue, "_try_place", lambda *_, **__: None):
            calls = [
                asyncio.create_task(self.world.call("/read/x", request_id=name))
                for name in ("odd", "w1", "w2")
            ]
            await asyncio.sleep(0.05)
        with mock.patch.object(queue, "_try_place", fail_for("odd", queue._try_place)):
            replies = await asyncio.gather(*calls)
        self.assertEqual([it.status for it in replies], [503, 200, 200])

    async def test_cancellation_is_no_error(self):
        self.set_behaviour("plain", lambda _: "silent")
        with self.assertNoLogs("medlargate", "ERROR"):
            reader, writer = await self.world.open()
            writer.write(make_request("POST", "/read/x", "r1"))
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
        self.assertEqual(self.node.request_handler.n_active, 0)
        del reader


class ConnectErrorsTest(RelayCase):
    async def test_server_that_fails_unexpectedly_costs_no_other_its_requests(self):
        loop = asyncio.get_running_loop()
        create = loop.create_connection
        port = self.world.backends["p1"].port

        async def create_or_fail(factory, *args, **kwargs):
            if factory is BackendConnection and args[1] == port:
                raise RuntimeError("injected")
            return await create(factory, *args, **kwargs)

        with mock.patch.object(loop, "create_connection", create_or_fail):
            replies = [await self.world.call("/book/x") for _ in range(20)]
        self.assertEqual({it.status for it in replies}, {200})

    async def test_addresses_that_can_not_be_used_are_connect_faults(self):
        for host, port in (("127.0.0.1", 70_000), ("a" * 300, 80), ("\0", 80)):
            with self.subTest(port=port), self.assertRaises(ConnectFaultError):
                await open_connection(host, port)


class OddHeadersTest(RelayCase):
    async def test_odd_headers_of_a_server_cost_no_answer(self):
        digits = "9" * 6000
        for name, value in (
            ("Keep-Alive", "timeout=\xb2"),
            ("Keep-Alive", f"timeout={digits}"),
            ("Server-Load", f"{digits},0,8"),
            ("Retry-After", digits),
            ("Cold-Ms", digits),
        ):
            for backend in self.world.backends.values():
                backend.extra_headers = {name: value}
            for route in ("book", "once-stream"):
                with self.subTest(name=name, route=route):
                    reply = await self.world.call(f"/{route}/x")
                    self.assertEqual((reply.status, reply.complete), (200, True))

    async def test_odd_headers_of_a_caller_are_answered(self):
        for value in ("9" * 400, "\xb2", "1e999"):
            reply = await self.world.call("/book/x", Deadline_Ms=value)
            self.assertEqual(reply.status, 200)

    async def test_customer_whose_name_no_header_can_hold_is_refused(self):
        tenants = [
            {"Name": "alpha", "ApiKeys": [KEY]},
            {"Name": "odd\nname", "ApiKeys": ["odd-key"]},
        ]
        self.world.put_config(make_config(2, Tenants=tenants))
        await asyncio.sleep(0.5)
        reply = await self.world.call("/book/x", Key="odd-key")
        self.assertEqual(reply.status, 503)
        self.assertEqual((await self.world.call("/book/x")).status, 200)


class PeersTest(RelayCase):
    async def test_pull_with_an_odd_query_is_answered(self):
        await self.world.add_backend(Backend("p3", "plain"))
        conn = await open_connection("127.0.0.1", self.node.ingress.fleet_port)
        conn.send("GET", "/beliefs?servers=x", [(b"Host", b"a")], b"")
        self.assertGreaterEqual((await conn.read_head()).status, 400)
        conn.abort()


if __name__ == "__main__":
    unittest.main()
