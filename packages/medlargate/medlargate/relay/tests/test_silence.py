"""Tests of requests whose backend servers fall silent or send bytes without end."""

import asyncio
import time
import tracemalloc
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.unstarved_clock import ignore_starvation

from .._events import MAX_EVENT_BYTES, EventOrderError, EventSplitter
from .test_relay import RelayCase


class SilenceCase(RelayCase):
    def slow_down(self, service, *, delay=0.0, pause=0.0, n_events=2):
        for backend in self.world.backends.values():
            if backend.service == service:
                backend.delay, backend.pause = delay, pause
                backend.n_events = n_events


class SilentSecondTest(SilenceCase):
    """A server that is silent for a second is waited for."""

    async def asyncSetUp(self):
        # A stream with two silences leaves 0.4 s of the time of its request.
        clock = ignore_starvation("medlargate.relay._node.read_boot_clock")
        self.enterContext(clock)
        await super().asyncSetUp()

    async def assert_served_by_one_server(self, path, service):
        started_at = time.monotonic()
        reply = await self.world.call(path, Deadline_Ms="2900")
        self.assertTrue(reply.complete)
        self.assertGreater(time.monotonic() - started_at, 1.2)
        self.assertEqual(len(self.list_received(service)), 1)

    async def test_plain_request_waits_for_a_server_that_is_silent_for_a_second(self):
        self.slow_down("plain", delay=1.25)
        await self.assert_served_by_one_server("/read/x", "plain")

    async def test_stream_waits_for_a_server_that_is_silent_for_a_second(self):
        self.slow_down("engine", pause=1.25)
        await self.assert_served_by_one_server("/resume-stream/x", "engine")


class SilenceTest(SilenceCase):
    """A silent attempt is given up only for another attempt."""

    async def test_last_attempt_of_a_stream_is_not_given_up(self):
        await self.world.add_backend(Backend("e3", "engine", slots=8))
        self.slow_down("engine", pause=1.2)
        reply = await self.world.call("/resume-stream/x", Deadline_Ms="2900")
        self.assertTrue(reply.complete)

    async def test_last_attempt_of_a_plain_request_is_not_given_up(self):
        self.slow_down("plain", delay=1.2)
        reply = await self.world.call("/read/x", Deadline_Ms="2900")
        self.assertEqual(reply.status, 200)

    async def test_slow_first_event_is_not_given_up(self):
        self.set_behaviour("engine", lambda _: "late:1.5")
        reply = await self.world.call("/resume-stream/x", Deadline_Ms="2900")
        self.assertTrue(reply.complete)
        self.assertEqual(len(self.list_received("engine")), 1)

    async def test_only_server_of_a_stream_is_not_given_up(self):
        self.slow_down("engine", pause=1.2)
        self.world.unregister(self.world.backends["e2"])
        await asyncio.sleep(0.2)
        reply = await self.world.call("/resume-stream/x", Deadline_Ms="2900")
        self.assertTrue(reply.complete)

    async def test_stream_is_not_given_up_without_retry_budget(self):
        budget = self.node._get_retry_budget("engine")
        budget.ratio = budget.slack = 0.0
        self.slow_down("engine", pause=1.2)
        reply = await self.world.call("/resume-stream/x", Deadline_Ms="2900")
        self.assertTrue(reply.complete)

    async def test_stop_of_the_node_does_not_end_a_silent_stream(self):
        self.slow_down("engine", pause=1.2)
        call = asyncio.create_task(
            self.world.call("/resume-stream/x", Deadline_Ms="2900")
        )
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(self.node.stop())
        self.assertTrue((await call).complete)
        await stop


class PauseTest(RelayCase):
    """A pause of the whole process, as on an overloaded machine."""

    async def call_beside_pause(self, pause):
        call = asyncio.create_task(self.world.call("/read/x", Deadline_Ms="2900"))
        await asyncio.sleep(1.4)
        time.sleep(pause)
        return await call

    async def test_silent_server_is_given_up_soon_after_a_pause(self):
        # Guards against retries that a short pause delays by the whole limit.
        servers = []

        def behave(req):
            servers.append(req.request_id)
            return "silent" if len(servers) == 1 else "ok"

        self.set_behaviour("plain", behave)
        reply = await self.call_beside_pause(0.4)
        self.assertEqual(reply.status, 200)
        self.assertLess(reply.elapsed, 2.5)

    async def test_answer_that_comes_in_a_pause_is_read_first(self):
        for backend in self.world.backends.values():
            backend.delay = 1.45
        reply = await self.call_beside_pause(0.4)
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(self.list_received("plain")), 1)


class EndlessEventTest(unittest.TestCase):
    """An event without end, which arrives in small pieces."""

    def test_each_byte_is_searched_once(self):
        splitter, started_at = EventSplitter(), time.process_time()
        for _ in range(MAX_EVENT_BYTES // 256):
            splitter.feed(b"endless " * 32)
        self.assertLess(time.process_time() - started_at, 1.0)
        with self.assertRaises(EventOrderError):
            splitter.feed(b"endless ")

    def test_end_of_an_event_is_found_in_pieces_of_one_byte(self):
        splitter = EventSplitter()
        stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\n\r\n"
        events = [it for byte in stream for it in splitter.feed(bytes([byte]))]
        self.assertEqual([it.event_id for it in events], [1, 2, 3])
        self.assertEqual(b"".join(it.data for it in events), stream)


class EndlessBytesTest(RelayCase):
    """Bytes that are no answer end an attempt, and use little memory."""

    MAX_RECEIVED = 6_000_000  # bytes that a node may take from one connection
    # Of the smallest VM of 150 MB, nodes use about 60 MB without load.
    MAX_MEMORY = 80_000_000  # bytes, those of the simulated server included

    async def call_with(self, service, behaviour, path, **headers):
        self.set_behaviour(service, lambda _: behaviour)
        reply = await self.world.call(path, **headers)
        sent = [it.n_endless_bytes for it in self.world.backends.values()]
        self.assertGreater(max(sent), 0)
        self.assertLess(max(sent), self.MAX_RECEIVED)
        return reply

    async def test_endless_head_interim_responses_or_body_are_a_failure(self):
        for kind in ("head", "interim", "body"):
            with self.subTest(kind):
                reply = await self.call_with("plain", f"endless-{kind}", "/book/x")
                self.assertEqual(reply.status, 502)

    async def test_endless_body_of_a_refusal_does_not_hide_it(self):
        for kind in ("endless", "trickle"):
            reply = await self.call_with("plain", f"{kind}-refusal", "/book/x")
            self.assertEqual(reply.status, 503)
            self.assertIn(b"not_run:refused", reply.body)
            self.assertLess(reply.elapsed, 1.0)

    async def test_endless_bytes_in_a_stream_are_not_relayed(self):
        reply = await self.call_with("engine", "endless-body", "/once-stream/x")
        self.assertNotEqual(reply.status, 200)
        self.assertFalse(b"endless" in reply.body)

    async def test_endless_bytes_after_an_answer_end_the_connection(self):
        reply = await self.call_with("plain", "endless-tail", "/book/x")
        self.assertEqual(reply.status, 200)
        await asyncio.sleep(0.3)
        n_disconnects = sum(it.n_disconnects for it in self.world.backends.values())
        self.assertEqual(n_disconnects, 1)

    async def measure_memory(self, service, path, n_calls=40):
        """Return the memory that many answers at the same time take, in bytes."""
        server = Backend("many", service, slots=n_calls)
        server.behaviour = lambda _: "endless-body"
        for name in [it.server_id for it in self.world.backends.values()]:
            await self.world.remove_backend(name)
        await self.world.add_backend(server)
        await asyncio.sleep(0.3)
        # Debug mode, the default of this class, keeps the origin of each coroutine.
        asyncio.get_running_loop().set_debug(False)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        calls = [self.world.call(path) for _ in range(n_calls)]
        replies = await asyncio.gather(*calls)
        self.assertFalse(any(it.complete and it.status == 200 for it in replies))
        self.assertGreater(server.n_connections, n_calls // 6)
        self.assertGreater(server.n_endless_bytes, 0)
        return tracemalloc.get_traced_memory()[1]

    async def test_many_endless_bodies_use_little_memory(self):
        peak = await self.measure_memory("plain", "/book/x")
        self.assertLess(peak, self.MAX_MEMORY)

    async def test_many_endless_events_use_little_memory(self):
        peak = await self.measure_memory("engine", "/once-stream/x")
        self.assertLess(peak, self.MAX_MEMORY)

    async def test_slow_endless_body_is_retried_on_another_server(self):
        self.world.backends["p1"].behaviour = lambda _: "trickle"
        self.world.backends["p2"].behaviour = lambda _: "ok"
        replies = await asyncio.gather(
            *(self.world.call("/read/x", Deadline_Ms="2900") for _ in range(6))
        )
        self.assertEqual({it.status for it in replies}, {200})
