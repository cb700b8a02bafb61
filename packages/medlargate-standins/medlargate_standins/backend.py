"""A registered backend server's stand-in, which counts what it runs and misbehaves.

Speaks the users' page over raw connections, so that it can also break its rules.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson

SEAL = "seal"


@dataclass(frozen=True)
class SeenRequest:
    """A request as the server got it.

    Attributes
    ----------
    method, target : str
        Of the request line.
    headers : dict of str to str
        Names in lower case.
    body : bytes
        The whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The caller's id."""
        return self.headers.get("attempt-id", "")


Behaviour = Callable[[SeenRequest], str]


@dataclass
class Backend:
    """State of one server.

    Attributes
    ----------
    server_id, service, zone : str
        What it registers.
    slots : int
        What it registers.
    behaviour : callable
        Names what happens to a request: ``ok``, ``refuse``, ``error``, ``reset``,
        ``crash`` (it takes no connections afterwards), ``half``, ``strange``,
        ``extra``, ``silent``, ``unframed`` or, for streams, ``cut:N`` (ends inside
        event N) and ``end:N`` (ends after event N).
    n_events : int
        Events of a stream.
    delay, pause : float
        Seconds before an answer and between events.
    runs : Counter
        Times each request was run, by its id.
    seen : list of SeenRequest
        Everything that arrived, with what was refused.
    n_connections : int
        Accepted so far.
    n_left : int
        Requests whose caller closed before the end.
    """

    server_id: str
    service: str
    zone: str = "fd-a"
    slots: int = 4
    behaviour: Behaviour = lambda _: "ok"
    n_events: int = 4
    delay: float = 0.0
    pause: float = 0.0
    runs: Counter = field(default_factory=Counter)
    seen: list[SeenRequest] = field(default_factory=list)
    n_connections: int = 0
    n_left: int = 0
    port: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self, host: str) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def registration(self, host: str, *, state: str = "ready") -> bytes:
        """Return what the server writes to the store."""
        row = {
            "Service": self.service,
            "Address": f"{host}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
        }
        return orjson.dumps(row)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.n_connections += 1
        try:
            while (req := await _read_request(reader)) is not None:
                self.seen.append(req)
                if not await self._answer(req, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.n_left += 1
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(
        self,
        req: SeenRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; False when the connection ends."""
        if req.headers.get("expect-instance") != self.server_id:
            writer.write(_head(req, 421, 0, "Instance-Id: other\r\n"))
            await writer.drain()
            return True
        kind, _, number = self.behaviour(req).partition(":")
        if kind == "refuse":
            writer.write(_head(req, 503, 0, "Not-Executed: 1\r\n"))
            await writer.drain()
            return True
        self.runs[req.request_id] += 1
        if kind == "silent":
            await self._wait_left(reader)
            return False
        if self.delay:
            left = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait({left}, timeout=self.delay)
            left.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await left
            if done:
                self.n_left += 1
                return False
        if kind == "crash":
            assert self._server is not None
            self._server.close()
        if kind in ("reset", "crash"):
            writer.transport.abort()
            return False
        if "stream" in req.target:
            return await self._answer_stream(req, writer, kind, int(number or 0))
        return await self._answer_whole(req, writer, kind)

    async def _wait_left(self, reader: asyncio.StreamReader) -> None:
        await reader.read(1)
        self.n_left += 1

    async def _answer_whole(
        self, req: SeenRequest, writer: asyncio.StreamWriter, kind: str
    ) -> bool:
        body = f"{self.server_id} ran {req.request_id}".encode()
        status = 500 if kind == "error" else 200
        if kind == "unframed":
            head = _head(req, status, None, f"Response-Seal: {SEAL}\r\n")
            writer.write(head + body)
            await writer.drain()
            return False
        answer = _head(req, status, len(body), f"Response-Seal: {SEAL}\r\n") + body
        if kind == "half":
            writer.write(answer[:-5])
            await writer.drain()
            return False
        if kind == "strange":
            other = SeenRequest("GET", "/", {"attempt-id": "another"}, b"")
            strange = b"not yours"
            writer.write(_head(other, 200, len(strange), "") + strange)
        writer.write(answer)
        if kind == "extra":
            writer.write(answer)
        await writer.drain()
        return True

    async def _answer_stream(
        self, req: SeenRequest, writer: asyncio.StreamWriter, kind: str, number: int
    ) -> bool:
        first = int(req.headers.get("last-event-id", 0)) + 1
        extra = f"Content-Type: text/event-stream\r\nResponse-Seal: {SEAL}\r\n"
        writer.write(_head(req, 200, -1, extra))
        for event in range(first, self.n_events + 1):
            text = f"id: {event}\ndata: {event}\n\n".encode()
            if kind == "cut" and event == number:
                writer.write(_chunk(text[: len(text) // 2]))
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(_chunk(text))
            await writer.drain()
            if kind == "end" and event == number:
                return False
            if self.pause:
                await asyncio.sleep(self.pause)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _head(req: SeenRequest, status: int, length: int | None, extra: str) -> bytes:
    framing = "" if length is None else f"Content-Length: {length}\r\n"
    if length == -1:
        framing = "Transfer-Encoding: chunked\r\n"
    text = (
        f"HTTP/1.1 {status} X\r\nAttempt-Id: {req.request_id}\r\n{extra}{framing}\r\n"
    )
    return text.encode()


async def _read_request(reader: asyncio.StreamReader) -> SeenRequest | None:
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
    return SeenRequest(method, target, headers, body)
