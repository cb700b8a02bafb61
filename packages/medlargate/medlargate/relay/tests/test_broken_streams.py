"""Streams that began and broke off, and whose next server answers wrongly."""

import asyncio
import re
import unittest
from unittest import mock

from medlargate_standins.backend import ERROR_TEXT, Backend
from medlargate_standins.relay_testbed import (
    RelayTestbed,
    make_request,
    make_route,
)

from medlargate.policy import Refusal, Verdict
from medlargate.relay._exchange import Outcome
from medlargate.relay._forwarding import make_refusal_notice

from .test_partitioned_nodes import cut_off

EVENTS = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5)]
CHUNK = re.compile(rb"([0-9a-f]+)\r\n")

BREAKS = ("cut:3", "end:2", "reset-after:2")
ERRORS = (
    *(f"answer:{it}" for it in (400, 404, 408, 429, 500, 502, 503)),
    *(f"answer-chunked:{it}" for it in (404, 500, 503)),
    *(f"answer-unframed:{it}" for it in (404, 500, 503)),
    *(f"answer-events:{it}" for it in (200, 404, 500)),
    *(f"answer-interim:{it}" for it in (404, 500)),
    "answer:200",
    "answer-json:200",
)
WRONG_STREAMS = ("unsealed", "skip", "backwards", "unnamed", "huge-id")
ERROR_EVENTS = ("error-event", "error-data")
EMPTY_STREAMS = ("empty", "empty-length", "unframed-empty", "restart-end")
LATE_ERRORS = ("head-after:3", "raw-head-after:3", "unframed-head-after:3")
WRONG_ANSWERS = ERRORS + WRONG_STREAMS + ERROR_EVENTS + EMPTY_STREAMS + LATE_ERRORS


def parse_stream(raw):
    """Return the body of the only response in raw bytes and whether it is complete."""
    head, _, rest = raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), raw
    assert b"transfer-encoding: chunked" in head.lower(), raw
    body = b""
    while rest:
        found = CHUNK.match(rest)
        assert found is not None, raw
        size = int(found[1], 16)
        assert len(rest) >= found.end() + size + 2, raw
        data, rest = rest[found.end() :][:size], rest[found.end() + size + 2 :]
        if not size:
            assert not rest, raw
            return body, True
        body += data
    return body, False


async def read_to_end(reader):
    raw = b""
    try:
        while data := await reader.read(65_536):
            raw += data
    except ConnectionError:
        pass
    return raw


def make_peer_refusal(status, verdict):
    """Return an answer by which a node refuses a forwarded request."""
    refusal = Refusal(status, "other", "", verdict)

    async def refuse(responder, headers):
        await responder.send(status, [*headers, *make_refusal_notice(refusal)], b"{}")

    return refuse


def make_peer_answer(status):
    """Return an error of a server that a node relays."""

    async def answer(responder, headers):
        await responder.send(status, headers, ERROR_TEXT)

    return answer


def make_peer_stream(first, last, rest=b"", *, is_complete=True):
    """Return a stream of the events between two, with other bytes at the end."""

    async def stream(responder, headers):
        await responder.start(200, headers)
        for data in [*EVENTS[first - 1 : last], rest]:
            await responder.write(data)
        if is_complete:
            await responder.finish()
        else:
            responder.abort()

    return stream


PEER_BREAK = make_peer_stream(1, 2, is_complete=False)
PEER_ANSWERS = {
    "404": make_peer_answer(404),
    "500": make_peer_answer(500),
    "503": make_peer_answer(503),
    "error event": make_peer_stream(3, 2, b"event: error\ndata: " + ERROR_TEXT),
    "error text": make_peer_stream(3, 2, ERROR_TEXT),
    "skip": make_peer_stream(4, 4),
    "empty": make_peer_stream(3, 2),
    "events again": make_peer_stream(1, 2),
}


class BrokenStreamsCase(unittest.IsolatedAsyncioTestCase):
    """Servers answer the attempts of a request as its header ``Script`` says."""

    testbed = {}

    async def asyncSetUp(self):
        self.world = RelayTestbed(**self.testbed)
        self.n_answers = {}
        routes = [
            make_route("stream", "streaming", "engine", Resumable=True, TimeoutMs=9000),
            make_route(
                "long-stream",
                "streaming",
                "engine",
                Resumable=True,
                MaxAttempts=3,
                TimeoutMs=9000,
            ),
        ]
        await self.world.start(Routes=routes)
        for name in ("e3", "e4"):
            await self.world.add_backend(Backend(name, "engine", slots=8))
        async with asyncio.timeout(5):
            for node in self.world.nodes:
                while len(node.cluster_state.servers) < len(self.world.backends):
                    await asyncio.sleep(0.01)
        for backend in self.world.backends.values():
            backend.behaviour = self.behave
        for node in self.world.nodes:
            node._get_retry_budget("engine").slack = 10_000.0

    async def asyncTearDown(self):
        await self.world.close()

    def behave(self, req):
        script = req.headers["script"].split(" ")
        number = self.n_answers.get(req.request_id, 0)
        self.n_answers[req.request_id] = number + 1
        return script[number] if number < len(script) else "ok"

    async def call(self, path, *script, **headers):
        """Return all bytes that the caller of a stream receives."""
        reader, writer = await self.world.open()
        request = make_request(
            "POST",
            path,
            self.world.make_request_id(),
            Script=" ".join(script),
            Connection="close",
            **headers,
        )
        writer.write(request)
        async with asyncio.timeout(10):
            raw = await read_to_end(reader)
        writer.close()
        return raw

    def assert_broken_off(self, raw, *n_events):
        body, complete = parse_stream(raw)
        self.assertIn(body, [b"".join(EVENTS[:number]) for number in n_events])
        self.assertFalse(complete)

    def assert_complete(self, raw):
        self.assertEqual(parse_stream(raw), (b"".join(EVENTS), True))


class LastAttemptTest(BrokenStreamsCase):
    async def test_wrong_answer_to_the_rest_does_not_reach_the_caller(self):
        for broken in BREAKS:
            for wrong in WRONG_ANSWERS:
                with self.subTest(broken=broken, wrong=wrong):
                    raw = await self.call("/stream/x", broken, wrong)
                    # An event may be dropped with the error that arrived with it.
                    self.assert_broken_off(raw, 2, *[3] * (wrong in LATE_ERRORS))

    async def test_refusal_does_not_reach_the_caller(self):
        raw = await self.call("/stream/x", "cut:3", *["refuse"] * 8)
        self.assert_broken_off(raw, 2)

    async def test_misdirected_rest_does_not_reach_the_caller(self):
        raw = await self.call("/stream/x", "cut:3", *["misdirect"] * 8)
        self.assert_broken_off(raw, 2)

    async def test_events_that_the_caller_has_are_not_repeated(self):
        for broken in BREAKS:
            self.assert_complete(await self.call("/stream/x", broken, "restart"))


class CompleteRestTest(BrokenStreamsCase):
    """The caller has the four events that the request's maximum output allows."""

    async def test_empty_rest_after_the_last_event_completes_the_stream(self):
        for empty in EMPTY_STREAMS:
            for broken in ("end:4", "reset-after:4"):
                raw = await self.call("/stream/x", broken, empty, Token_Usage="9,4")
                self.assert_complete(raw)

    async def test_empty_rest_after_an_earlier_event_does_not(self):
        for empty in EMPTY_STREAMS:
            raw = await self.call("/stream/x", "end:3", empty, Token_Usage="9,4")
            self.assert_broken_off(raw, 3)

    async def test_caller_who_takes_a_complete_stream_up_gets_its_end(self):
        for empty in EMPTY_STREAMS:
            headers = {"Last_Event_Id": "4", "Resumes": "a0", "Token_Usage": "9,4"}
            raw = await self.call("/stream/x", empty, **headers)
            self.assertEqual(parse_stream(raw), (b"", True))
            headers["Last_Event_Id"] = "3"
            raw = await self.call("/stream/x", empty, empty, **headers)
            self.assertRegex(raw, rb"^HTTP/1\.1 502")


class ThirdServerTest(BrokenStreamsCase):
    async def test_stream_goes_on_after_a_wrong_answer(self):
        for broken in BREAKS:
            for wrong in WRONG_ANSWERS:
                with self.subTest(broken=broken, wrong=wrong):
                    self.assert_complete(
                        await self.call("/long-stream/x", broken, wrong)
                    )

    async def test_stream_goes_on_after_a_refusal(self):
        for wrong in ("refuse", "misdirect"):
            self.assert_complete(await self.call("/long-stream/x", "cut:3", wrong))

    async def test_end_of_a_broken_stream_is_recorded(self):
        recorder = self.world.nodes[0].request_handler._recorder
        with mock.patch.object(recorder, "observe_end") as observe_end:
            for wrong in ("answer:404", "answer:500"):
                await self.call("/stream/x", "cut:3", wrong)
        outcomes = [call.args[1] for call in observe_end.call_args_list]
        self.assertEqual(outcomes, [Outcome(0, "broken_off:failed:failed")] * 2)


class SilentServerTest(BrokenStreamsCase):
    async def test_wrong_answer_after_a_silence_does_not_reach_the_caller(self):
        wrong = ("answer:404", "answer-events:500", "empty", "error-event", "refuse")
        raws = await asyncio.gather(
            *(
                self.call("/stream/x", "silent-after:2", *[it] * 8, Deadline_Ms="2900")
                for it in wrong
            )
        )
        for raw in raws:
            self.assert_broken_off(raw, 2)

    async def test_stream_is_broken_off_at_the_deadline(self):
        for script in (("silent-after:2",), ("cut:3", "silent")):
            raw = await self.call("/stream/x", *script, Deadline_Ms="600")
            self.assert_broken_off(raw, 2)


class StoppedNodeTest(BrokenStreamsCase):
    testbed = {"grace": 4.5}

    async def test_stream_of_a_node_that_stops_is_broken_off(self):
        call = asyncio.create_task(
            self.call("/stream/x", "cut:3", "silent", Deadline_Ms="9000")
        )
        await asyncio.sleep(0.2)
        await self.world.nodes[0].stop()
        self.assert_broken_off(await call, 2)

    async def test_wrong_answer_while_the_node_stops(self):
        for backend in self.world.backends.values():
            backend.delay = 0.1
        calls = [
            asyncio.create_task(self.call("/stream/x", "cut:3", *[it] * 8))
            for it in ("answer:404", "answer-chunked:500", "empty", "misdirect")
        ]
        await asyncio.sleep(0.15)
        await self.world.nodes[0].stop()
        for call in calls:
            self.assert_broken_off(await call, 2)


class ForwardingNodeTest(BrokenStreamsCase):
    """Other nodes answer a node that reaches no server."""

    testbed = {"n_nodes": 4}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        async with asyncio.timeout(5):
            while any(len(it.fleet.table.list_alive()) < 3 for it in self.world.nodes):
                await asyncio.sleep(0.01)
        cut_off(self.world.nodes[0])

    def let_others_answer(self, *answers):
        """Let the other nodes answer so, one after another; then serve the request."""
        left = list(answers)
        for node in self.world.nodes[1:]:
            node.request_handler.handle = self.make_handler(node, left)

    def make_handler(self, node, left):
        serve = type(node.request_handler).handle

        async def handle(req, responder, *, forwarded):
            if not left:
                await serve(node.request_handler, req, responder, forwarded=forwarded)
                return
            headers = [(b"Attempt-Id", req.get("attempt-id").encode())]
            await left.pop(0)(responder, [*headers, (b"Response-Seal", b"s")])

        return handle

    async def test_wrong_answer_to_the_rest_does_not_reach_the_caller(self):
        for name, wrong in PEER_ANSWERS.items():
            with self.subTest(name):
                self.let_others_answer(PEER_BREAK, wrong, wrong)
                self.assert_broken_off(await self.call("/stream/x", "ok"), 2)

    async def test_refusal_of_the_rest_does_not_reach_the_caller(self):
        for status in (503, 502, 504):
            for verdict in Verdict:
                with self.subTest(status=status, verdict=verdict):
                    wrong = make_peer_refusal(status, verdict)
                    self.let_others_answer(PEER_BREAK, wrong, wrong)
                    self.assert_broken_off(await self.call("/stream/x", "ok"), 2)

    async def test_stream_goes_on_through_a_third_node(self):
        not_run = make_peer_refusal(503, Verdict.NOT_RUN)
        for name, wrong in {**PEER_ANSWERS, "refusal": not_run}.items():
            with self.subTest(name):
                self.let_others_answer(PEER_BREAK, wrong)
                self.assert_complete(await self.call("/long-stream/x", "ok"))

    async def test_wrong_answer_of_a_server_to_another_node(self):
        for wrong in WRONG_ANSWERS:
            with self.subTest(wrong):
                self.let_others_answer(PEER_BREAK)
                raw = await self.call("/stream/x", wrong, wrong)
                self.assert_broken_off(raw, 2, *[3] * (wrong in LATE_ERRORS))


class TakenUpByCallerTest(BrokenStreamsCase):
    async def test_wrong_answer_is_no_complete_stream(self):
        for wrong in WRONG_ANSWERS:
            with self.subTest(wrong):
                raw = await self.call(
                    "/stream/x", wrong, wrong, Last_Event_Id="2", Resumes="a0"
                )
                if raw.startswith(b"HTTP/1.1 200 ") and wrong in LATE_ERRORS:
                    self.assertEqual(parse_stream(raw), (b"".join(EVENTS[2:]), True))
                else:
                    self.assertRegex(raw, rb"^HTTP/1\.1 [45]")
                    self.assertEqual(raw.count(b"HTTP/1.1"), 1)


if __name__ == "__main__":
    unittest.main()
