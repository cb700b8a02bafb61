"""Fuzz tests: streams in any pieces, from several servers, with any ending."""

import re
import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from medlargate_standins.backend import ERROR_TEXT
from medlargate_standins.fuzzing import make_fuzz_settings

from medlargate.policy import RequestStates
from medlargate.transport import ExchangeFaultError, ResponseHead

from .._answer_buffers import AnswerBuffers
from .._event_relay import relay_events
from .._exchange import Exchange
from .._sender import OpenAnswer

SETTINGS = make_fuzz_settings(n_long=20_000, n_ci=1_000)
N_EVENTS = 6
EVENTS = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, N_EVENTS + 1)]
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
WHOLE_EVENTS = re.compile(rb"\A(id: \d+\ndata: \d+\n\n)*\s*\Z")

fragments = st.sampled_from(
    [
        ERROR_TEXT,
        b"event: error\ndata: " + ERROR_TEXT,
        b"data: " + ERROR_TEXT,
        b"HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nfail",
        b"\n\n",
        b"id: \n\n",
        b"id: -1\n\n",
        b"id: " + b"7" * 5000 + b"\n\n",
    ]
)
bytes_without_id = st.binary(max_size=12).filter(lambda data: b"id" not in data)
numbers = st.integers(1, N_EVENTS)


@st.composite
def draw_answers(draw):
    """Draw the answers of servers: events, other bytes, a cut, and the framing."""
    rows = []
    for _ in range(draw(st.integers(1, 4))):
        goes_on = draw(st.booleans())
        ids = None if goes_on else draw(st.lists(numbers, max_size=N_EVENTS))
        end = draw(st.sampled_from(["complete", "complete", "closed", "reset"]))
        n_lost = draw(st.sampled_from([0, 0, 0, 1, 2, 3, 5, 8, 13, 21, 34, 55]))
        is_framed = draw(st.booleans())
        other = draw(st.one_of(st.just(b""), fragments, fragments, bytes_without_id))
        rows.append((ids, other, n_lost, end, is_framed))
    return rows


class FakeResponder:
    """Responder that collects the body."""

    def __init__(self):
        self.started, self.body = False, bytearray()

    async def start(self, status, headers):
        assert not self.started
        self.started = True

    async def write(self, data):
        self.body += data


class FakeConnection:
    """Connection that delivers a body in pieces, then ends as told."""

    def __init__(self, pieces, end):
        self.pieces, self.end = pieces, end

    async def read_body(self):
        for piece in self.pieces:
            yield piece
        if self.end != "complete":
            raise ExchangeFaultError(self.end, "the connection ended")


def make_exchange(max_output):
    return Exchange(
        req=None,
        responder=FakeResponder(),
        facts=SimpleNamespace(max_output_tokens=max_output),
        rule=None,
        service=SimpleNamespace(engine=SimpleNamespace(n_tokens_per_event=1)),
        customer=None,
        config_version=1,
        arrived_at=0.0,
        deadline=1.0,
        write_record=lambda *_: None,
        states=RequestStates(),
    )


def relay(exch, pieces, end, *, is_framed):
    """Relay one answer; return whether it completes the stream."""
    headers = ((b"transfer-encoding", b"chunked"),) if is_framed else ()
    answer = OpenAnswer(
        FakeConnection(pieces, end),
        ResponseHead(200, headers),
        SimpleNamespace(status=200),
        AnswerBuffers(),
    )
    limit = SimpleNamespace(
        stop_waiting=lambda: None,
        start_waiting=lambda: None,
        resume_waiting=lambda: None,
    )
    run = relay_events(
        exch, answer, limit, on_first_event=lambda: None, clock=lambda: 0.0
    )
    try:
        run.send(None)  # nothing that it awaits suspends it
    except ExchangeFaultError:
        return False
    except StopIteration:
        return True
    raise AssertionError("the relay waits")


class BrokenStreamsTest(unittest.TestCase):
    @SETTINGS
    @given(draw_answers(), st.sampled_from([None, N_EVENTS]), st.data())
    def test_caller_gets_a_prefix_of_the_events_and_no_early_end(
        self, answers, max_output, data
    ):
        exch = make_exchange(max_output)
        for ids, other, n_lost, end, is_framed in answers:
            n_held = exch.last_event_id or 0
            rest = range(n_held + 1, N_EVENTS + 1) if ids is None else ids
            events = b"".join(EVENTS[number - 1] for number in rest) + other
            sent = events[: len(events) - n_lost]
            cuts = sorted(data.draw(st.lists(st.integers(0, len(sent)), max_size=5)))
            ends = zip([0, *cuts], [*cuts, len(sent)], strict=True)
            pieces = [sent[a:b] for a, b in ends]
            is_complete = relay(exch, pieces, end, is_framed=is_framed)
            got = [int(number) for number in EVENT_ID.findall(exch.responder.body)]
            first = got[0] if got else 1
            expected = EVENTS[first - 1 : first - 1 + len(got)]
            self.assertEqual(bytes(exch.responder.body), b"".join(expected))
            n_now = exch.last_event_id or 0
            if is_complete:
                self.assertEqual(end, "complete")
                self.assertRegex(sent, WHOLE_EVENTS)
                self.assertTrue(n_now > n_held or (max_output and n_now == N_EVENTS))
                return
            if sent and sent == b"".join(EVENTS[n_held:]):
                self.assertNotEqual(end, "complete")


if __name__ == "__main__":
    unittest.main()
