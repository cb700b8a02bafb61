"""Answers that servers give before they have the whole request."""

import asyncio
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import RelayTestbed

LIMITS = {
    "MaxHeaderBytes": 2048,
    "MaxBodyBytes": 4_194_304,
    "HeaderTimeoutMs": 300,
    "IdleTimeoutMs": 2000,
}
UPLOAD = bytes(3_500_000)
N_ANSWER_BYTES = 5_000


class _EarlyBackend(Backend):
    """Server that answers as soon as it has the head of a request.

    Attributes
    ----------
    status : str
        Status of the answer.
    reads_whole : bool
        Whether it reads the request to its end before.
    states_length : bool
        Whether the answer has a length; the rest of the request is read after it.
    body : bytes
        Body of the answer.
    received : bytes
        What was read after such answers.
    """

    status = "200"
    reads_whole = False
    states_length = False
    body = bytes(N_ANSWER_BYTES)
    received = b""

    async def _serve(self, reader, writer):
        try:
            while await self._answer(reader, writer):
                pass
            writer.write_eof()
            await asyncio.sleep(0.05)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, reader, writer):
        """Answer one request; return whether the connection is kept."""
        raw = await reader.readuntil(b"\r\n\r\n")
        headers = dict(
            line.lower().split(": ", 1)
            for line in raw.decode().split("\r\n")[1:]
            if line
        )
        n_bytes = int(headers["content-length"])
        if self.reads_whole:
            await reader.readexactly(n_bytes)
        head = f"HTTP/1.1 {self.status} X\r\nAttempt-Id: {headers['attempt-id']}\r\n"
        head += "Response-Seal: seal\r\n"
        if self.states_length:
            head += f"Content-Length: {len(self.body)}\r\n"
        writer.write(head.encode() + b"\r\n" + self.body)
        await writer.drain()
        if self.states_length:
            await asyncio.sleep(0.1)
            self.received += await reader.readexactly(n_bytes)
        return self.states_length


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = RelayTestbed()
        await self.world.start(Limits=LIMITS)
        self.addAsyncCleanup(self.world.close)
        for name in ("p1", "p2"):
            await self.world.remove_backend(name)
        self.backends = [_EarlyBackend(f"x{number}", "plain") for number in range(2)]
        for backend in self.backends:
            await self.world.add_backend(backend)
        await asyncio.sleep(0.5)

    async def test_part_of_an_answer_beside_an_upload_is_no_complete_answer(self):
        for path in ("/read/x", "/book/x"):
            for size in (len(UPLOAD), 1_500_000):
                reply = await self.world.call(path, body=UPLOAD[:size])
                is_whole = reply.status == 200 and reply.complete
                self.assertFalse(is_whole, (path, size))
                self.assertEqual(reply.status, 502)

    async def test_part_of_a_stream_beside_an_upload_is_no_complete_stream(self):
        for name in ("e1", "e2"):
            await self.world.remove_backend(name)
        engine = await self.world.add_backend(_EarlyBackend("y1", "engine"))
        engine.body = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
        await asyncio.sleep(0.5)
        for path in ("/once-stream/x", "/resume-stream/x"):
            reply = await self.world.call(path, body=UPLOAD)
            self.assertFalse(reply.status == 200 and reply.complete, path)

    async def test_request_is_read_on_after_an_early_answer_with_a_length(self):
        for backend in self.backends:
            backend.states_length = True
        uploads = [bytes([number]) * len(UPLOAD) for number in range(1, 4)]
        for path in ("/read/x", "/book/x"):
            for upload in uploads:
                reply = await self.world.call(path, body=upload)
                self.assertEqual((reply.status, reply.complete), (200, True))
                self.assertEqual(len(reply.body), N_ANSWER_BYTES)
                await asyncio.sleep(0.3)
        received = b"".join(it.received for it in self.backends)
        for upload in uploads:
            self.assertEqual(received.count(upload), 2)

    async def test_answer_without_a_length_to_a_whole_request_is_complete(self):
        for backend in self.backends:
            backend.reads_whole = True
        for path in ("/read/x", "/book/x"):
            for size in (0, 1_000, len(UPLOAD)):
                reply = await self.world.call(path, body=UPLOAD[:size])
                self.assertEqual((reply.status, reply.complete), (200, True))

    async def test_status_out_of_range_is_no_answer(self):
        for status in ("000", "099", "600", "999"):
            for backend in self.backends:
                backend.reads_whole, backend.status = True, status
            for path in ("/read/x", "/book/x"):
                reply = await self.world.call(path, body=b"x")
                self.assertEqual((status, reply.status), (status, 502))


if __name__ == "__main__":
    unittest.main()
