"""Bytes that a server sends when no answer is due on the connection."""

import unittest
from unittest import mock

from .. import BackendConnection, ConnectFaultError
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


if __name__ == "__main__":
    unittest.main()
