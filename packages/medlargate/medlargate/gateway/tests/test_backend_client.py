"""Engines that write an earlier answer once more on a kept connection."""

import asyncio
import unittest

from medlargate_standins.demo import HOST

from .._backend_client import BackendFault, make_session, open_response

REFUSAL = b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno"
ANSWER = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"


class LateCopyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.answers = [REFUSAL, ANSWER]
        self.copied = REFUSAL
        self.n_connections = 0
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://{HOST}:{port}/"
        self.session = make_session()

    async def asyncTearDown(self):
        await self.session.close()
        self.server.close()

    async def serve(self, reader, writer):
        self.n_connections += 1
        try:
            while self.answers:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.answers.pop(0))
                if self.copied:
                    await asyncio.sleep(0.01)
                    writer.write(self.copied)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call(self):
        async with open_response(
            self.session, "GET", self.url, headers={}, body=b"", header_timeout=1.0
        ) as resp:
            return resp.status, await resp.read()

    async def test_copy_on_an_idle_connection_answers_no_request(self):
        self.answers, self.copied = [ANSWER, ANSWER], REFUSAL
        self.assertEqual(await self.call(), (200, b"ok"))
        await asyncio.sleep(0.05)
        self.assertEqual(await self.call(), (200, b"ok"))
        self.assertEqual(self.n_connections, 2)

    async def test_connection_without_a_copy_is_reused(self):
        self.answers, self.copied = [ANSWER, ANSWER], b""
        self.assertEqual(await self.call(), (200, b"ok"))
        self.assertEqual(await self.call(), (200, b"ok"))
        self.assertEqual(self.n_connections, 1)


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """An engine stops in the middle of the head of its answer and closes."""

    FRAMINGS = (b"", b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n")

    async def asyncSetUp(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.url = f"http://{HOST}:{self.server.sockets[0].getsockname()[1]}/"
        self.session = make_session()

    async def asyncTearDown(self):
        await self.session.close()
        self.server.close()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.data)
        writer.close()

    async def read_cut(self, data):
        """Return the answer that ends after these bytes, or the kind of the fault."""
        self.data = data
        try:
            async with open_response(
                self.session, "GET", self.url, headers={}, body=b"", header_timeout=1.0
            ) as resp:
                return resp.status, await resp.read()
        except BackendFault as exc:
            return exc.kind

    async def test_no_part_of_a_head_is_an_answer(self):
        for framing in self.FRAMINGS:
            head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + framing
            head += b"\r\n"
            for n_bytes in range(len(head)):
                got = await self.read_cut(head[:n_bytes])
                self.assertEqual(got, "broken", (framing, n_bytes))

    async def test_whole_answers_are_read(self):
        head = b"HTTP/1.1 200 OK\r\n"
        for rest in (b"\r\nok", b"Content-Length: 2\r\n\r\nok"):
            self.assertEqual(await self.read_cut(head + rest), (200, b"ok"))


if __name__ == "__main__":
    unittest.main()
