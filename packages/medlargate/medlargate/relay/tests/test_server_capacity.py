"""Servers that crash when their memory overflows or when they reject too much."""

import asyncio
import time
import unittest

import orjson
from medlargate_standins.backend import Backend
from medlargate_standins.limited_backend import run_brittle_load, run_memory_load
from medlargate_standins.relay_testbed import RelayTestbed, make_config

N_NODES = 6
# The load runs for a few seconds instead of 25, in which the queues fill first, and all
# nodes share one core. In 25 s, 25 requests a second are required.
MIN_RATE = 18.0
N_EVENT_BYTES = 16_384
MAX_UNREAD_BYTES = 24_000_000  # of 64 MB; the rest is in the sockets' buffers


class LoadTest(unittest.IsolatedAsyncioTestCase):
    async def test_nodes_do_not_crash_engines_by_their_memory(self):
        # Before: all engines crashed, and the prompt part that all requests share was
        # blocked, so that hardly a request was served.
        result = await run_memory_load(duration=6.0, n_nodes=N_NODES)
        self.assertLessEqual(result.n_failures, 4)
        self.assertGreater(result.rate, MIN_RATE)
        self.assertGreater(result.large_served, 0.2)
        bodies = b"".join(it.body for it in result.replies if it.status == 503)
        self.assertNotIn(b"crashes_servers", bodies)

    async def test_invalid_hints_crash_no_engines(self):
        hints = ("many", "-1", "1000000", "1", "0")
        result = await run_memory_load(
            duration=4.0,
            n_nodes=3,
            domains=("fd-a", "fd-b", "fd-c"),
            headers=lambda number: {"Length_Hint": hints[number % len(hints)]},
        )
        self.assertLessEqual(result.n_failures, 4)
        self.assertGreater(result.rate, MIN_RATE)

    async def test_brittle_servers_with_fewer_slots_than_registered_do_not_fail(self):
        # Before: 13 failures in 10 s.
        result = await run_brittle_load(duration=6.0, n_nodes=N_NODES)
        self.assertLessEqual(result.n_failures, 2)
        self.assertGreater(result.rate, MIN_RATE)


class EndlessStreamBackend(Backend):
    """Engine whose stream is longer than any buffer; counts the bytes written."""

    async def _send_event_stream(self, req, writer, kind, event_number, work):
        del kind, event_number, work
        head = (
            f"HTTP/1.1 200 X\r\nAttempt-Id: {req.request_id}\r\nResponse-Seal: s\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, 64_000_000 // N_EVENT_BYTES):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * N_EVENT_BYTES)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.n_endless_bytes += len(event)
        return False


class OneNodeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = RelayTestbed()
        services = make_config()["Services"]
        services[1]["Backend"]["KvCapacity"] = 4000
        await self.world.start(Services=services)

    async def asyncTearDown(self):
        await self.world.close()

    async def test_request_larger_than_the_memory_is_rejected_at_once(self):
        for tokens, status in (("4000,10", 503), ("3950,500", 200)):
            reply = await self.world.call("/once-stream/x", Token_Usage=tokens)
            self.assertEqual(reply.status, status)
            self.assertLess(reply.elapsed, 0.5)
            if status == 503:
                code = orjson.loads(reply.body)["error"]["code"]
                self.assertEqual(code, "too_large")
                self.assertNotIn("retry-after", reply.headers)
                n_runs = sum(
                    sum(it.runs.values()) for it in self.world.backends.values()
                )
                self.assertEqual(n_runs, 0)

    async def crash(self, tokens):
        """Run requests with a shared part until their engine crashes."""
        server = self.world.backends["e1"]
        await self.world.remove_backend("e2")
        await asyncio.sleep(0.2)
        server.delay = 0.4
        server.behaviour = lambda _: "crash-begun"
        calls = [
            self.world.call(
                "/once-stream/x",
                body=b"%d" % number,
                Token_Usage=tokens,
                Prompt_Prefix=f"part:100,own{number}:9",
            )
            for number in range(4)
        ]
        await asyncio.gather(*calls)
        await asyncio.sleep(0.4)
        return self.world.nodes[0].crash_guard.parts

    async def test_crash_of_a_full_engine_counts_against_no_part(self):
        # One crash beside a full memory shows nothing; two count as one.
        parts = await self.crash("900,40")
        self.assertIn("part", parts.records)
        for part in parts.records:
            self.assertEqual(parts.describe(part)["n_separate"], 0)
        self.assertEqual(parts.compute_suspicion(parts.records), 0.0)

    async def test_crash_of_an_engine_with_free_memory_blames_the_part(self):
        node = self.world.nodes[0]
        node.reach.reaches_any_server = _reaches_always
        parts = await self.crash("80,3")
        own = {f"own{number}" for number in range(4)}
        self.assertEqual(set(parts.records), {"part", *own})
        for part in parts.records:
            self.assertEqual(parts.describe(part)["n_separate"], 1)

    async def test_large_request_is_not_starved_by_small_ones(self):
        for backend in self.world.backends.values():
            backend.pause = 0.05
        stop_at = time.monotonic() + 3.0

        async def send_small():
            while time.monotonic() < stop_at:
                await self.world.call("/once-stream/x", Token_Usage="1200,80")

        small = [asyncio.create_task(send_small()) for _ in range(12)]
        await asyncio.sleep(0.5)
        reply = await self.world.call(
            "/once-stream/x", Token_Usage="3200,80", Deadline_Ms="3000"
        )
        await asyncio.gather(*small)
        self.assertEqual(reply.status, 200)
        self.assertLess(reply.elapsed, 2.0)

    async def test_slow_reader_holds_back_the_server(self):
        # Bytes that a node buffers for callers that read slowly once could exceed its
        # memory.
        for name in ("e1", "e2"):
            await self.world.remove_backend(name)
        engine = await self.world.add_backend(EndlessStreamBackend("e3", "engine"))
        await asyncio.sleep(0.3)
        reader, writer = await asyncio.open_connection(
            *self.world.nodes[0].ingress.frontend_address, limit=1024
        )
        writer.write(
            b"POST /once-stream/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: s1\r\n"
            b"Deadline-Ms: 3000\r\nKey: key-alpha\r\nContent-Length: 0\r\n\r\n"
        )
        await asyncio.sleep(1.5)
        n_bytes = engine.n_endless_bytes
        self.assertGreater(n_bytes, 0)
        self.assertLess(n_bytes, MAX_UNREAD_BYTES)
        buffered = [
            conn._transport.get_write_buffer_size()
            for conn in self.world.nodes[0].ingress_server.connections
            if conn._transport is not None
        ]
        self.assertLess(max(buffered), 65_536 + 2 * N_EVENT_BYTES)
        await asyncio.sleep(0.3)
        self.assertLess(engine.n_endless_bytes - n_bytes, N_EVENT_BYTES)
        writer.close()
        del reader


async def _reaches_always(service):
    del service
    return True


if __name__ == "__main__":
    unittest.main()
