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
    """

    status = "200"
    reads_whole = False

    async def _serve(self, reader, writer):
        try:
            raw = await reader.readuntil(b"\r\n\r\n")
            headers = dict(
                line.lower().split(": ", 1)
                for line in raw.decode().split("\r\n")[1:]
                if line
            )
            if self.reads_whole:
                await reader.readexactly(int(headers["content-length"]))
            head = f"HTTP/1.1 {self.status} X\r\nAttempt-Id: {headers['attempt-id']}"
            head += "\r\nResponse-Seal: seal\r\n\r\n"
            writer.write(head.encode() + bytes(N_ANSWER_BYTES))
            await writer.drain()
            writer.write_eof()
            await asyncio.sleep(0.05)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


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
