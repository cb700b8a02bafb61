"""A planned stop gives each request an answer, also those that come late or wait."""

import asyncio
import time
import unittest

from medlargate_standins.relay_testbed import (
    RelayTestbed,
    make_request,
    make_route,
    read_reply,
)

from medlargate.policy import StopSchedule

GRACE = 4.5  # seconds
LATE = 3.2  # seconds after the signal; the load balancer has removed the node


class StopScheduleTest(unittest.TestCase):
    def test_late_request_is_sent_only_if_it_ends_in_time(self):
        stop = StopSchedule(admission_ends_at=3.0, answers_end_at=7.0)
        self.assertTrue(stop.may_send(deadline=12.0, now=2.9))
        self.assertFalse(stop.may_send(deadline=12.0, now=3.1))
        self.assertTrue(stop.may_send(deadline=6.9, now=3.1))


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = RelayTestbed(grace=GRACE)
        routes = [
            make_route(
                "book", "non_idempotent", "plain", TimeoutMs=20_000, MaxAttempts=1
            ),
            make_route("stream", "streaming", "engine", TimeoutMs=20_000),
        ]
        await self.world.start(Routes=routes)
        self.addAsyncCleanup(self.world.close)
        self.node = self.world.nodes[0]

    def set_delay(self, delay):
        for backend in self.world.backends.values():
            backend.delay = delay

    def count_runs(self, request_id):
        return sum(it.runs[request_id] for it in self.world.backends.values())

    def count_running(self, engines):
        return sum(run.ended_at is None for it in engines for run in it.executions)

    def stop_node(self):
        self.stopped_at = time.monotonic()
        return asyncio.create_task(self.node.stop())

    def call(self, path, request_id, deadline_ms=15_000, **headers):
        return asyncio.create_task(
            self.world.call(
                path, request_id=request_id, Deadline_Ms=str(deadline_ms), **headers
            )
        )

    async def fill_engines(self):
        """Start a stream in each slot of the engines; return their tasks."""
        engines = [it for it in self.world.backends.values() if it.service == "engine"]
        for engine in engines:
            # Streams outlast the suspension of an engine after refused connections.
            engine.pause = 3.5
        n_slots = sum(it.slots for it in engines)
        running = [self.call("/stream/x", f"r{number}") for number in range(n_slots)]
        async with asyncio.timeout(10):
            while self.count_running(engines) < n_slots:
                await asyncio.sleep(0.01)
        return running

    async def call_late(self, path, *, deadline_ms, late=LATE, stop_delay=0.0):
        """Send a request on a connection whose first answer began before the stop.

        The request is sent ``late`` seconds after the signal, which the node gets
        ``stop_delay`` seconds late.
        """
        for backend in self.world.backends.values():
            backend.pause = (late + 0.4) / backend.n_events
        reader, writer = await self.world.open()
        writer.write(make_request("POST", "/stream/x", "first", Deadline_Ms="15000"))
        await asyncio.sleep(0.3)
        signalled_at = time.monotonic()
        await asyncio.sleep(stop_delay)
        stop = self.stop_node()
        first = await read_reply(reader)
        self.assertNotIn("connection", first.headers)
        self.assertGreater(time.monotonic() - signalled_at, late - 0.1)
        writer.write(make_request("POST", path, "late", Deadline_Ms=str(deadline_ms)))
        reply = await read_reply(reader)
        self.assertTrue(reply.complete)
        writer.close()
        await stop
        return reply

    async def test_late_request_is_refused_before_it_runs(self):
        # Guards against bookings that run late in a stop and get no answer.
        reply = await self.call_late("/book/x", deadline_ms=15_000)
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.headers["connection"], "close")
        self.assertLess(float(reply.headers["retry-after"]), 0.5)
        self.assertEqual(self.count_runs("late"), 0)

    async def test_busy_node_refuses_what_is_sent_three_seconds_after_the_signal(self):
        # Guards against streams that begin so late and are cut off at the end.
        reply = await self.call_late(
            "/stream/x", deadline_ms=15_000, late=3.05, stop_delay=0.25
        )
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.count_runs("late"), 0)

    async def test_late_request_that_ends_in_time_is_served(self):
        reply = await self.call_late("/book/x", deadline_ms=300)
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.count_runs("late"), 1)

    async def test_waiting_request_is_refused_once_the_balancer_leaves_the_node(self):
        # Guards against connections of waiting requests that close without an answer.
        running = await self.fill_engines()
        waiting = self.call("/stream/x", "waits")
        await asyncio.sleep(0.2)
        stop = self.stop_node()
        reply = await waiting
        elapsed = time.monotonic() - self.stopped_at
        self.assertEqual((reply.status, reply.complete), (503, True))
        self.assertEqual(self.count_runs("waits"), 0)
        self.assertLess(elapsed, 3.3)
        await stop
        await asyncio.gather(*running)

    async def test_slow_store_does_not_delay_the_refusal_of_waiting_requests(self):
        # Guards against a stop that waits for the store before it does its work.
        running = await self.fill_engines()
        waiting = self.call("/stream/x", "waits")
        await asyncio.sleep(0.2)
        self.node.duties.release = lambda: asyncio.sleep(4.0)
        stop = self.stop_node()
        reply = await waiting
        self.assertEqual((reply.status, reply.complete), (503, True))
        self.assertLess(time.monotonic() - self.stopped_at, 3.3)
        await asyncio.sleep(self.stopped_at + 3.3 - time.monotonic())
        with self.assertRaises(OSError):
            await self.world.open()
        await stop
        await asyncio.gather(*running)

    async def test_request_that_runs_to_the_end_of_the_grace_gets_an_answer(self):
        self.set_delay(10.0)
        call = self.call("/book/x", "long")
        await asyncio.sleep(0.3)
        stop = self.stop_node()
        reply = await call
        self.assertEqual((reply.status, reply.complete), (502, True))
        self.assertLess(time.monotonic() - self.stopped_at, GRACE)
        await stop


if __name__ == "__main__":
    unittest.main()
