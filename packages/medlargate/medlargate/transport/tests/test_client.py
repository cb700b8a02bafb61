"""Bytes that a server sends when no answer is due on the connection."""

import asyncio
import unittest
from unittest import mock

from .. import (
    BackendConnection,
    ConnectFaultError,
    ExchangeFaultError,
    open_connection,
)
from .._client import MAX_BUFFERED_BYTES
from .test_fuzz_bytes import FakeTransport

ANSWER = b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno"


class LeftoverBytesTest(unittest.IsolatedAsyncioTestCase):
    """Every split of a second copy, which arrives before the next request is sent."""

    async def exchange(self, first, rest):
        """Receive one part before the end of the exchange, one part after it."""
        conn, transport = BackendConnection(), FakeTransport()
        conn.connection_made(transport)
        conn.send("GET", "/", [(b"Host", b"x")], b"")
        conn.data_received(ANSWER + first)
        await conn.read_head()
        self.assertEqual([it async for it in conn.read_body()], [b"no"])
        is_reusable = conn.finish(0.0)
        if rest and not transport.closed:
            conn.data_received(rest)
        return conn, transport, is_reusable

    async def test_no_request_is_sent_after_leftover_bytes(self):
        for size in range(len(ANSWER) + 1):
            with self.subTest(size=size):
                conn, transport, is_reusable = await self.exchange(
                    ANSWER[:size], ANSWER[size:]
                )
                self.assertEqual(is_reusable, size == 0)
                self.assertTrue(transport.closed)
                self.assertFalse(conn.is_usable(0.0, max_idle_fraction=1.0))
                with self.assertRaises(ConnectFaultError):
                    conn.send("GET", "/", [(b"Host", b"x")], b"")
                self.assertEqual(transport.written.count(b"GET"), 1)


class PausedReadingTest(unittest.IsolatedAsyncioTestCase):
    async def test_kept_connection_is_read_after_a_large_answer(self):
        # While the reader waits for a slow caller, reading the socket is paused.
        conn, transport = BackendConnection(), FakeTransport()
        transport.pause_reading = mock.Mock()
        transport.resume_reading = mock.Mock()
        conn.connection_made(transport)
        conn.send("GET", "/", [(b"Host", b"x")], b"")
        n_bytes = 2 * MAX_BUFFERED_BYTES
        conn.data_received(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % n_bytes)
        conn.data_received(bytes(n_bytes))
        transport.pause_reading.assert_called_once()
        await conn.read_head()
        self.assertEqual(sum([len(it) async for it in conn.read_body()]), n_bytes)
        self.assertTrue(conn.finish(0.0))
        transport.resume_reading.assert_called()


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """A server stops in the middle of the head of its answer and closes."""

    FRAMINGS = (b"", b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n")

    async def read_cut(self, data):
        """Return what a reader makes of an answer that ends after these bytes."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        try:
            port = server.sockets[0].getsockname()[1]
            conn = await open_connection("127.0.0.1", port)
            conn.send("GET", "/", [(b"Host", b"h")], b"")
            try:
                head = await conn.read_head()
                body = b"".join([part async for part in conn.read_body()])
            except ExchangeFaultError as exc:
                return exc.kind
            finally:
                conn.abort()
            return head.status, body
        finally:
            server.close()

    async def test_no_part_of_a_head_is_an_answer(self):
        for framing in self.FRAMINGS:
            head = b"HTTP/1.1 200 OK\r\nResponse-Seal: x\r\n" + framing + b"\r\n"
            for n_bytes in range(len(head)):
                got = await self.read_cut(head[:n_bytes])
                self.assertEqual(got, "closed", (framing, n_bytes))

    async def test_no_part_of_a_head_after_an_interim_response_is_an_answer(self):
        interim = b"HTTP/1.1 103 X\r\n\r\n"
        head = b"HTTP/1.1 200 OK\r\nResponse-Seal: x\r\n\r\n"
        for n_bytes in range(len(head)):
            got = await self.read_cut(interim + head[:n_bytes])
            self.assertEqual(got, "closed", n_bytes)

    async def test_whole_answers_are_read(self):
        head = b"HTTP/1.1 200 OK\r\n"
        for rest in (b"\r\nok", b"Content-Length: 2\r\n\r\nok"):
            self.assertEqual(await self.read_cut(head + rest), (200, b"ok"))


if __name__ == "__main__":
    unittest.main()
