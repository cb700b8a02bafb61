"""Callers that reuse a connection until the node closes it or a call fails."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from ..demo import HOST
from ..relay_testbed import Reply, make_request, read_reply, send_request
from ._fleet import CRASHING_PART, SHARED_PART, Fleet, NodeProcess

KINDS = ("read", "book", "once-stream", "resume-stream")
CALL_TIMEOUT = 6.0  # seconds, twice the timeout of the route
CALL_INTERVAL = 0.05  # mean seconds between two requests of a caller


@dataclass(frozen=True, slots=True)
class Call:
    """Request and the response that its caller received.

    Attributes
    ----------
    request_id, kind, node : str
        Request id, name of the route, and name of the node.
    sent_at, ended_at : float
        Start and end of the call, in seconds on the monotonic clock.
    reply : Reply
        Response, possibly incomplete. Its status is 0 if none was received.
    is_interrupted : bool
        Whether the soak ended during the call.
    crashes : bool
        Whether the request has the prompt part on which engines crash.
    n_held : int
        Events that the caller had from an earlier request for the same stream.
    """

    request_id: str
    kind: str
    node: str
    sent_at: float
    ended_at: float
    reply: Reply
    is_interrupted: bool = False
    crashes: bool = False
    n_held: int = 0


class Caller:
    """Client that sends one request after the other to one node.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose API keys the caller uses.
    node : NodeProcess
        Node that receives the requests.
    name : str
        Prefix of the request ids.
    random_state : random.Random
        Source of the route and the key of each request, and of the pauses.
    """

    def __init__(
        self, fleet: Fleet, node: NodeProcess, name: str, random_state: random.Random
    ) -> None:
        self._fleet = fleet
        self._node = node
        self._name = name
        self._random = random_state
        self._sequence = itertools.count(1)
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = (
            None
        )
        self.calls: list[Call] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self._call_once()
            await asyncio.sleep(CALL_INTERVAL * self._random.uniform(0.5, 1.5))

    async def _call_once(self) -> None:
        kind = self._random.choice(KINDS)
        request_id = f"{self._name}-{next(self._sequence)}"
        key = self._random.choice(self._fleet.keys)
        crashes = (
            kind.endswith("stream") and self._random.random() < self._fleet.crash_rate
        )
        parts = [SHARED_PART, *([CRASHING_PART] if crashes else []), request_id]
        prefix = ",".join(f"{part}:10" for part in parts)
        sent_at = time.monotonic()
        reply = Reply()
        is_interrupted = True
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                reader, writer = await self._connect()
                path, body = f"/{kind}/x", request_id.encode()
                request = make_request(
                    "POST", path, request_id, body, Key=key, Prompt_Prefix=prefix
                )
                writer.write(request)
                reply = await read_reply(reader)
            is_interrupted = False
        except (OSError, TimeoutError):
            # The call is still checked, with an empty response. Its connection is
            # closed.
            is_interrupted = False
            self._close_connection()
        finally:
            now, node = time.monotonic(), self._node.name
            call = Call(
                request_id, kind, node, sent_at, now, reply, is_interrupted, crashes
            )
            self.calls.append(call)
        if not reply.complete or reply.headers.get("connection") == "close":
            self._close_connection()
        n_events = reply.body.count(b"\n\n")
        if kind == "resume-stream" and n_events and not reply.complete:
            await self._take_up(request_id, n_events, key)

    async def _take_up(self, stream_id: str, n_events: int, key: str) -> None:
        """Take a broken stream up at any node."""
        node = self._random.choice(self._fleet.nodes)
        request_id = f"{node.name}c-{stream_id}"
        sent_at, reply = time.monotonic(), Reply()
        headers = {"Last-Event-Id": str(n_events), "Resumes": stream_id, "Key": key}
        request = make_request("POST", "/resume-stream/x", request_id, **headers)
        is_interrupted = True
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                reply = await send_request(HOST, node.port, request)
            is_interrupted = False
        except (OSError, TimeoutError):
            is_interrupted = False
        finally:
            call = Call(
                request_id,
                "resume-stream",
                node.name,
                sent_at,
                time.monotonic(),
                reply,
                is_interrupted,
                n_held=n_events,
            )
            self.calls.append(call)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._connection is None:
            self._connection = await asyncio.open_connection(HOST, self._node.port)
        return self._connection

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None
