"""Requests and responses of the simulated backend server as bytes on a connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

SEAL = "seal"
ERROR_TEXT = b'{"error":"foreign failure"}\n\n'
ENDLESS_PART = b"endless " * 2048


@dataclass(frozen=True)
class ReceivedRequest:
    """Request as received by the server.

    Attributes
    ----------
    method, target : str
        Method and target of the request line.
    headers : dict of str to str
        Request headers, with names in lower case.
    body : bytes
        Complete request body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Request id, from the ``Attempt-Id`` header; empty if there is none."""
        return self.headers.get("attempt-id", "")


# Behaviours that send a complete stream which is not the requested one.
OTHER_STREAMS = frozenset(
    {
        "backwards",
        "empty",
        "empty-length",
        "error-data",
        "error-event",
        "huge-id",
        "restart",
        "restart-end",
        "skip",
        "unnamed",
        "unsealed",
    }
)


def parse_token_usage(req: ReceivedRequest) -> tuple[int, int]:
    """Return the tokens of a request's prompt, and of its answer at most."""
    n_prompt, _, n_output = req.headers.get("token-usage", "").partition(",")
    return int(n_prompt or 0), int(n_output or 0)


def make_wrong_response(
    req: ReceivedRequest, kind: str, status: int, first_event: int, n_events: int
) -> bytes:
    """Return a complete response that is not the rest of the requested stream."""
    seal = f"Response-Seal: {SEAL}\r\n"
    event_type = "Content-Type: text/event-stream\r\n"
    if kind.startswith("answer"):
        extra = ""
        if kind == "answer-events":
            extra = event_type + seal
        elif kind == "answer-json":
            extra = "Content-Type: application/json\r\n" + seal
        if kind in ("answer-chunked", "answer-events"):
            body = encode_chunk(ERROR_TEXT) + b"0\r\n\r\n"
            return encode_head(req, status, -1, extra) + body
        length = None if kind == "answer-unframed" else len(ERROR_TEXT)
        head = encode_head(req, status, length, extra)
        if kind == "answer-interim":
            head = b"HTTP/1.1 102 X\r\n\r\n" * 2 + head
        return head + ERROR_TEXT
    numbers = list(range(first_event, n_events + 1))
    if kind == "restart":
        numbers = list(range(1, n_events + 1))
    elif kind == "restart-end":
        numbers = list(range(1, first_event))
    elif kind == "skip":
        del numbers[0]
    elif kind == "backwards":
        numbers.reverse()
    events = [b"id: %d\ndata: %d\n\n" % (number, number) for number in numbers]
    if kind.startswith("empty"):
        events = []
    elif kind == "unnamed":
        events = [b"data: %d\n\n" % number for number in numbers]
    elif kind == "huge-id":
        events[0] = b"id: " + b"9" * 6000 + b"\ndata: 1\n\n"
    elif kind == "error-event":
        events = [b"event: error\ndata: " + ERROR_TEXT]
    elif kind == "error-data":
        events = [b"data: " + ERROR_TEXT]
    extra = event_type + ("" if kind == "unsealed" else seal)
    body = b"".join(events)
    if kind == "empty-length":
        return encode_head(req, 200, 0, extra)
    chunks = (encode_chunk(body) if body else b"") + b"0\r\n\r\n"
    return encode_head(req, 200, -1, extra) + chunks


def make_endless_response(
    req: ReceivedRequest, kind: str
) -> tuple[bytes, bytes, float]:
    """Return the head, the repeated part and the pause of an endless response."""
    seal = f"Response-Seal: {SEAL}\r\n"
    if kind == "endless-head":
        return b"HTTP/1.1 200 X\r\nX-Endless: ", ENDLESS_PART, 0.0
    if kind == "endless-interim":
        return b"", b"HTTP/1.1 102 X\r\n\r\n" * 1024, 0.0
    if kind == "endless-tail":
        return encode_head(req, 200, 2, seal) + b"ok", ENDLESS_PART, 0.0
    if kind.endswith("-refusal"):
        head = encode_head(req, 503, None, "Not-Executed: 1\r\n")
    else:
        head = encode_head(req, 200, None, seal)
    if kind.startswith("trickle"):
        return head, b"x", 0.05
    return head, ENDLESS_PART, 0.0


def encode_chunk(data: bytes) -> bytes:
    """Return data as a chunk of a body without a length."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_head(
    req: ReceivedRequest, status: int, length: int | None, extra: str
) -> bytes:
    """Return the head of a response; a length of -1 announces chunks, None nothing."""
    framing = "" if length is None else f"Content-Length: {length}\r\n"
    if length == -1:
        framing = "Transfer-Encoding: chunked\r\n"
    text = (
        f"HTTP/1.1 {status} X\r\nAttempt-Id: {req.request_id}\r\n{extra}{framing}\r\n"
    )
    return text.encode()


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    """Read one request; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(method, target, headers, body)
