"""Limits of callers on the connections of uvicorn."""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from ..._settings import LimitsSection
from ...transport import _write_watch
from .. import _caller_protocol
from .._server import make_server, wait_started

HOST = "127.0.0.1"
TIMEOUT = 10.0  # seconds
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_000_000
SOCKET_BUFFER_BYTES = 65_536


def make_head(path, n_body_bytes, extra=""):
    fields = f"Host: x\r\nContent-Length: {n_body_bytes}\r\n{extra}"
    return f"POST {path} HTTP/1.1\r\n{fields}\r\n".encode()


class ProtocolCase(unittest.IsolatedAsyncioTestCase):
    """Server whose application returns the size of each body."""

    async def asyncSetUp(self):
        self.sizes = []
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.answer = b""
        limits = LimitsSection(
            max_header_bytes=MAX_HEADER_BYTES,
            max_body_bytes=MAX_BODY_BYTES,
            max_caller_bytes=2 * MAX_BODY_BYTES,
        )

        async def app(scope, receive, send):
            await self.handle(scope, receive, send)

        self.server = make_server(app, HOST, 0, limits=limits)
        serving = asyncio.create_task(self.server.serve())
        self.port = await wait_started(self.server)

        async def stop():
            self.server.force_exit = self.server.should_exit = True
            await serving

        self.addAsyncCleanup(stop)

    async def handle(self, scope, receive, send):
        req = Request(scope, receive, send)
        try:
            body = await req.body()
        except ClientDisconnect:
            return
        self.sizes.append(len(body))
        await self.go_on.wait()
        resp = Response(self.answer or b"%s %d" % (scope["path"].encode(), len(body)))
        await resp(scope, receive, send)

    async def open(self, data):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def read(self, reader):
        """Return the head and the body of the next answer."""
        async with asyncio.timeout(TIMEOUT):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            n_bytes = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
            return head, await reader.readexactly(n_bytes)

    async def assert_refused(self, reader, status):
        head, body = await self.read(reader)
        self.assertTrue(head.startswith(b"http/1.1 %d " % status), head)
        self.assertIn(b"medlargate-run: not_run", head)
        self.assertIn(b"connection: close", head)
        return body


class SoundRequestsTest(ProtocolCase):
    """Guards against limits that callers within the settings meet."""

    async def test_pipelined_requests_are_answered_in_order(self):
        requests = [make_head(f"/{n}", 10_000) + bytes(10_000) for n in range(100)]
        reader, _ = await self.open(b"".join(requests))
        for number in range(100):
            _, body = await self.read(reader)
            self.assertEqual(body, b"/%d 10000" % number)

    async def test_largest_body_in_calm(self):
        head = make_head("/", MAX_BODY_BYTES)
        reader, _ = await self.open(head + bytes(MAX_BODY_BYTES))
        self.assertEqual((await self.read(reader))[1], b"/ %d" % MAX_BODY_BYTES)

    async def test_largest_head(self):
        value = "x" * (MAX_HEADER_BYTES - 200)
        reader, _ = await self.open(make_head("/", 0, f"Other: {value}\r\n"))
        self.assertEqual((await self.read(reader))[1], b"/ 0")

    async def test_body_in_small_chunks(self):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        reader, _ = await self.open(head + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n")
        self.assertEqual((await self.read(reader))[1], b"/ 50000")

    async def test_head_that_follows_a_long_request(self):
        with mock.patch.object(_caller_protocol, "HEAD_TIMEOUT", 0.2):
            self.go_on.clear()
            first, second = make_head("/a", 0), make_head("/b", 0)
            reader, writer = await self.open(first + second[:9])
            await asyncio.sleep(0.5)
            self.go_on.set()
            await self.read(reader)
            writer.write(second[9:])
            self.assertEqual((await self.read(reader))[1], b"/b 0")


class RefusalsTest(ProtocolCase):
    async def test_head_over_the_limit(self):
        reader, _ = await self.open(make_head("/", 0)[:-2] + b"X: 12345678\r\n" * 4_000)
        await self.assert_refused(reader, 431)

    async def test_head_that_is_not_complete_in_time(self):
        with mock.patch.object(_caller_protocol, "HEAD_TIMEOUT", 0.2):
            reader, _ = await self.open(make_head("/", 0)[:-2])
            await self.assert_refused(reader, 408)

    async def test_chunks_that_are_mostly_extensions(self):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"1;a=" + b"x" * 9_000 + b"\r\nx\r\n"
        reader, _ = await self.open(head + chunk * 20)
        await self.assert_refused(reader, 400)
        self.assertEqual(self.sizes, [])

    async def test_bodies_that_take_too_much_together(self):
        head = make_head("/", MAX_BODY_BYTES)
        slow = [await self.open(head + bytes(MAX_BODY_BYTES - 1_000)) for _ in range(3)]
        answers = [asyncio.create_task(self.read(reader)) for reader, _ in slow]
        done, others = await asyncio.wait(
            answers, timeout=TIMEOUT, return_when=asyncio.FIRST_COMPLETED
        )
        for task in others:
            task.cancel()
        (head, _), *further = [task.result() for task in done]
        self.assertEqual(further, [])
        self.assertTrue(head.startswith(b"http/1.1 503 "), head)
        self.assertIn(b"medlargate-run: not_run", head)
        self.assertIn(b"retry-after: ", head)
        self.assertEqual(self.sizes, [])
        reader, _ = await self.open(make_head("/small", 9) + bytes(9))
        self.assertEqual((await self.read(reader))[1], b"/small 9")


class RequestInProgressTest(ProtocolCase):
    """Guards against a request that runs and is refused as not run."""

    async def test_it_is_not_denied_when_its_caller_is_given_up(self):
        self.go_on.clear()
        reader, _ = await self.open(make_head("/", 0))
        async with asyncio.timeout(TIMEOUT):
            while not self.sizes:
                await asyncio.sleep(0.01)
            (conn,) = self.server.server_state.connections
            conn.give_up()
            with contextlib.suppress(ConnectionError):
                self.assertEqual(await reader.read(), b"")


class UnreadAnswersTest(ProtocolCase):
    async def test_caller_that_reads_nothing_is_closed(self):
        self.answer = bytes(8_000_000)
        with mock.patch.object(_write_watch, "WRITE_STALL_TIMEOUT", 0.2):
            sock = socket.create_connection((HOST, self.port))
            self.addCleanup(sock.close)
            sock.sendall(make_head("/", 0))
            async with asyncio.timeout(TIMEOUT):
                while not self.sizes or self.server.server_state.connections:
                    await asyncio.sleep(0.05)

    async def limit_kernel_buffers(self, writer):
        """Keep the kernel from taking a whole answer that the caller does not read."""
        while not self.server.server_state.connections:
            await asyncio.sleep(0.01)
        (conn,) = self.server.server_state.connections
        for transport, option in (
            (conn.transport, socket.SO_SNDBUF),
            (writer.transport, socket.SO_RCVBUF),
        ):
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)

    async def test_body_of_the_next_request_counts_until_its_answer(self):
        self.answer = bytes(MAX_BODY_BYTES)
        n_body_bytes = MAX_BODY_BYTES * 3 // 4
        async with asyncio.timeout(TIMEOUT):
            reader, writer = await self.open(b"")
            await self.limit_kernel_buffers(writer)
            writer.write(make_head("/a", 0))
            while not self.sizes:
                await asyncio.sleep(0.01)
            self.go_on.clear()
            writer.write(make_head("/b", n_body_bytes) + bytes(n_body_bytes))
            while len(self.sizes) < 2:
                await asyncio.sleep(0.01)
            (conn,) = self.server.server_state.connections
            memory = conn._limits.memory
            self.assertGreater(memory.n_bytes, n_body_bytes)
            await self.read(reader)
            self.assertEqual(memory.n_bytes, n_body_bytes)
            self.go_on.set()
            await self.read(reader)
            self.assertEqual(memory.n_bytes, 0)


if __name__ == "__main__":
    unittest.main()
