"""Platform calls to servers that respond late, not at all, or with invalid data."""

import asyncio
import unittest

from returns.result import Failure, Success

from medlargate.policy import Verdict

from .. import CallClient, HttpStore

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class CallsCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a server that responds according to a list of actions.

    An action is the bytes of a response, ``b"silence"`` to send none, or None to close
    the connection. The server responds with ``OK`` once the list is empty.
    """

    async def asyncSetUp(self):
        self.actions = []
        self.request_heads = []
        self.n_connections = 0
        self.n_resets = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.client = self.make_client()

    def make_client(self, **more):
        return CallClient(f"http://127.0.0.1:{self.port}", timeout=0.3, **more)

    async def asyncTearDown(self):
        await self.client.close()
        self.server.close()

    async def serve(self, reader, writer):
        self.n_connections += 1
        try:
            while True:
                self.request_heads.append(await reader.readuntil(b"\r\n\r\n"))
                action = self.actions.pop(0) if self.actions else OK
                if action is None:
                    break
                if action == b"silence":
                    await reader.read()
                    break
                writer.write(action)
        except ConnectionResetError:
            self.n_resets += 1
        except asyncio.IncompleteReadError:
            pass
        writer.close()


class VerdictTest(CallsCase):
    async def test_a_response_is_decoded(self):
        got = (await self.client.call("GET", "/a", query={"k": "x/y"})).unwrap()
        self.assertEqual((got.status, got.body), (200, {}))
        self.assertTrue(self.request_heads[0].startswith(b"GET /a?k=x%2Fy HTTP/1.1"))

    async def test_a_call_without_a_connection_did_not_run(self):
        client = CallClient("http://127.0.0.1:9", timeout=0.3)
        got = await client.call("POST", "/a", body={})
        self.assertEqual(got.failure().verdict, Verdict.NOT_RUN)

    async def test_a_call_with_a_lost_response_may_have_run(self):
        self.actions = [None]
        got = await self.client.call("POST", "/a", body={})
        self.assertEqual(got.failure().verdict, Verdict.MAY_HAVE_RUN)

    async def test_a_call_that_times_out_may_have_run_and_closes_its_connection(self):
        self.actions = [b"silence"]
        got = await self.client.call("POST", "/a", body={})
        self.assertEqual(got.failure().verdict, Verdict.MAY_HAVE_RUN)
        self.assertIsInstance(await self.client.call("POST", "/a", body={}), Success)
        self.assertEqual(self.n_connections, 2)

    async def test_nothing_is_written_after_the_guard_returns_false(self):
        got = await self.client.call("POST", "/a", body={}, guard=lambda: False)
        self.assertEqual(got.failure().verdict, Verdict.NOT_RUN)
        await asyncio.sleep(0.02)
        self.assertEqual(self.request_heads, [])


class ConnectionsTest(CallsCase):
    async def test_connections_are_reused(self):
        for _ in range(3):
            await self.client.call("GET", "/a")
        self.assertEqual(self.n_connections, 1)

    async def test_a_read_on_an_ended_connection_is_retried_once(self):
        self.actions = [OK, None, OK]
        await self.client.call("GET", "/a")
        self.assertIsInstance(await self.client.call("GET", "/a"), Success)
        self.assertEqual(self.n_connections, 2)

    async def test_a_write_on_an_ended_connection_is_not_retried(self):
        self.actions = [OK, None, OK]
        await self.client.call("GET", "/a")
        self.assertIsInstance(await self.client.call("POST", "/a", body={}), Failure)
        self.assertEqual(len(self.request_heads), 2)

    async def test_the_connection_of_an_abandoned_call_is_reset(self):
        client = self.make_client(reset_abandoned=True)
        self.actions = [b"silence"]
        await client.call("POST", "/a", body={})
        await asyncio.sleep(0.05)
        self.assertEqual(self.n_resets, 1)


class StoreTest(CallsCase):
    async def test_an_invalid_response_body_is_a_failure(self):
        self.actions = [b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"]
        store = HttpStore(f"http://127.0.0.1:{self.port}", timeout=0.3)
        got = await store.read("k")
        self.assertEqual(got.failure().verdict, Verdict.MAY_HAVE_RUN)
        await store.close()

    async def test_a_refused_transaction_did_not_run(self):
        self.actions = [b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"]
        store = HttpStore(f"http://127.0.0.1:{self.port}", timeout=0.3)
        got = await store.write([], [])
        self.assertEqual(got.failure().verdict, Verdict.NOT_RUN)
        await store.close()
