"""Simulated backend server with configurable faults.

The server counts the requests that it executes. It writes HTTP to raw connections, so
that its responses can also violate the protocol between router and backend servers.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import orjson

from ._backend_messages import (
    ERROR_TEXT,
    OTHER_STREAMS,
    SEAL,
    ReceivedRequest,
    encode_chunk,
    encode_head,
    make_endless_response,
    make_wrong_response,
    read_request,
)

HEALTH_PATH = "/healthz"
# An endless response ends here, so that a test can't run forever.
MAX_ENDLESS_BYTES = 64_000_000
COPY_PIECE_INTERVAL = 0.005  # seconds

Behaviour = Callable[[ReceivedRequest], str]


@dataclass(frozen=True, slots=True)
class Work:
    """What a request costs a server.

    Attributes
    ----------
    delay : float
        Seconds before the response.
    n_events : int
        Number of events, for a stream.
    pause : float
        Seconds between two events.
    """

    delay: float = 0.0
    n_events: int = 4
    pause: float = 0.0


@dataclass(slots=True)
class Run:
    """Execution of a request.

    Attributes
    ----------
    server_id, request_id : str
        Ids of the server and the request.
    began_at : float
        Time on the monotonic clock, in seconds.
    ended_at : float or None
        End of the execution; None while it lasts.
    outcome : str
        ``"running"``; ``"finished"`` if the server has written a response as its
        behaviour asks; ``"dropped"`` if the connection ended before.
    behaviour : str
        Behaviour of the server for this request.
    """

    server_id: str
    request_id: str
    began_at: float
    ended_at: float | None = None
    outcome: str = "running"
    behaviour: str = "ok"


@dataclass
class Backend:
    """Simulated backend server.

    Attributes
    ----------
    server_id, service, zone : str
        Server id, service name and failure domain of the registration.
    slots : int
        Number of concurrent requests of the registration.
    behaviour : callable
        Returns the behaviour for a request. The request is executed in all
        behaviours except ``refuse``, ``refuse-copy`` and ``misdirect-copy``.

        For full responses and streams: ``ok`` sends a valid response; ``refuse``
        sends 503 with ``Not-Executed``; ``silent`` sends nothing; ``reset`` aborts
        the connection instead of a response; ``crash`` does the same and stops
        listening.

        For full responses only: ``error`` sends 500; ``half`` omits the end of the
        body; ``strange`` first sends a response with another request's id, and
        ``strange-unnamed`` one without an id; ``extra``
        sends the response twice; ``unframed`` sends neither a length nor chunks.

        For streams only: ``late:S`` sends the head S seconds before the first event;
        ``cut:N`` aborts the connection inside event N; ``end:N`` closes it after
        event N, without the end of the body; ``begun`` closes it after the head,
        ``crash-begun`` also stops listening; ``drip:N`` sends event N one byte every
        200 ms, without its end; ``unframed`` sends no chunks,
        ``unframed-half:N`` ends so inside event N, and ``unframed-empty`` before the
        first; ``reset-after:N`` aborts the connection after event N,
        ``crash-after:N`` aborts all connections and stops listening, and
        ``silent-after:N`` keeps it open without another byte. ``misdirect`` sends 421
        and is not executed. Complete streams that are not the requested one:
        ``unsealed``; ``empty`` has no event, with a length in ``empty-length``;
        ``restart`` begins with event 1, and ``restart-end`` ends before the first
        event that the client lacks; ``skip`` lacks that event; ``backwards`` sends
        the last event first; ``unnamed`` has no ids, and ``huge-id`` an id of 6000
        digits; ``error-event`` and ``error-data`` have one event, without an id, that
        contains ``ERROR_TEXT``.

        For streams only, errors with ``ERROR_TEXT`` as their body: ``answer:S`` with
        status S and a length; ``answer-chunked:S`` and ``answer-unframed:S`` with
        another framing, ``answer-events:S`` as an event stream with a seal,
        ``answer-interim:S`` after two informational responses; ``answer-json:S`` with
        a seal. ``head-after:N`` sends such an error, its head included, in the stream
        after event N; ``raw-head-after:N`` and ``unframed-head-after:N`` without its
        chunks.

        Endless, until the client closes: ``endless-head`` sends a head without end,
        ``endless-interim`` informational responses, ``endless-refusal`` the body of a
        503 with ``Not-Executed``, ``endless-body`` the body of a sealed 200,
        ``endless-tail`` bytes after a complete response. ``trickle`` and
        ``trickle-refusal`` send such bodies one byte every 50 ms. ``n_endless_bytes``
        counts the bytes sent.

        Contradictory: ``two-ids`` executes the request and sends a 503 with
        ``Not-Executed`` that names it and another one; ``denied`` executes it and adds
        ``Not-Executed`` to a valid 200, ``denied-500`` to a 500, ``denied-interim`` to
        an informational response before a valid one.

        Copied answers: ``refuse-copy:WHEN`` sends a 503 with ``Not-Executed``,
        ``misdirect-copy:WHEN`` a 421 and ``ok-copy:WHEN`` a valid full response, and
        each sends it once more. WHEN is ``0`` for a copy that follows the answer
        immediately, the number of seconds after the answer, ``next`` for the arrival
        of the connection's next request, or ``new`` for the first request of the
        next connection. ``-copy-unnamed`` instead of ``-copy`` leaves the request id
        out of the copy. ``edit_copy`` changes the copy.

        A behaviour of the other kind of response has the effect of ``ok``. A request
        without ``Expect-Instance``, or with another server's id in it, is answered
        with 421 whatever the behaviour, and not executed.
    edit_copy : callable
        Returns the pieces in which a copied answer is sent, 5 ms apart.
    n_copies : int
        Number of copied answers sent so far.
    choose_work : callable or None
        Returns the work of a request; None for ``n_events``, ``delay`` and ``pause``,
        the same for all requests.
    executions : list of Run
        Executions in the order in which they began.
    n_events : int
        Number of events of a complete stream.
    delay, pause : float
        Seconds before a response, and seconds between the events of a stream.
    slowness : float
        Factor by which the machine's other programs lengthen ``delay`` and ``pause``.
    speed_text : str or None
        Fourth value of the ``Server-Load`` header; None sends no such header. With a
        value, requests beyond ``slots`` wait.
    runs : Counter
        Number of executions on this server by request id. A request was executed more
        than once if its numbers on all servers add up to more than 1.
    received_requests : list of ReceivedRequest
        All requests received, refused ones included.
    n_probes : int
        Number of health checks, which are answered at once whatever the behaviour.
    n_connections : int
        Number of connections accepted so far.
    n_disconnects : int
        Number of connections that the client closed, or that failed, before the
        response was complete.
    n_body_bytes : int
        Size to which the bodies of full responses are padded, in bytes.
    extra_headers : dict of str to str
        Headers added to each response, except those with status 421.
    version : str
        Version of the software that the registration states.
    born : int
        Start time that the registration states, in milliseconds since 1970.
    cold_ms : int
        Time for which the server stays cold by its registration, in milliseconds.
    n_endless_bytes : int
        Largest number of bytes sent on one connection by an endless behaviour.
    max_waiting : int or None
        Number of requests that wait at the server, in order of arrival, while all
        slots are taken; more are answered like ``refuse``. Each response then states
        the load. None for a server that runs any number of requests at once.
    has_crashed : bool
        Whether ``crash`` was called.
    port : int
        TCP port; 0 before ``start``.
    """

    server_id: str
    service: str
    zone: str = "fd-a"
    slots: int = 4
    behaviour: Behaviour = lambda _: "ok"
    edit_copy: Callable[[bytes], Sequence[bytes]] = lambda copy: [copy]
    n_copies: int = 0
    choose_work: Callable[[ReceivedRequest], Work] | None = None
    executions: list[Run] = field(default_factory=list)
    n_events: int = 4
    delay: float = 0.0
    pause: float = 0.0
    slowness: float = 1.0
    speed_text: str | None = None
    runs: Counter = field(default_factory=Counter)
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    n_probes: int = 0
    n_connections: int = 0
    n_disconnects: int = 0
    n_body_bytes: int = 0
    extra_headers: dict[str, str] = field(default_factory=dict)
    version: str = "v1"
    born: int = 1
    cold_ms: int = 0
    n_endless_bytes: int = 0
    max_waiting: int | None = None
    has_crashed: bool = False
    port: int = 0
    _n_running: int = 0
    _waiting: deque[asyncio.Future[None]] = field(default_factory=deque)
    _server: asyncio.Server | None = None
    _n_held: int = 0
    _slots: asyncio.Semaphore | None = None
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    # Copies to send when the next request of a connection, or of a new one (None),
    # arrives.
    _due_copies: dict[asyncio.StreamWriter | None, bytes] = field(default_factory=dict)

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a TCP port of a host, by default on a free one."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse new connections, as a crashed server does; open ones stay."""
        assert self._server is not None
        self._server.close()

    def crash(self) -> None:
        """Abort all connections and stop listening."""
        self.has_crashed = True
        self.stop_listening()
        for writer in self._writers:
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def drop_copies(self) -> None:
        """Discard the copied answers that await another request."""
        self._due_copies.clear()

    def registration(self, host: str, *, state: str = "ready") -> bytes:
        """Return the server's registration as stored in the key-value store."""
        record = {
            "Service": self.service,
            "Address": f"{host}:{self.port}",
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": self.cold_ms,
            "Sequence": 1,
            "born": self.born,
        }
        return orjson.dumps(record)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        self.n_connections += 1
        is_new = True
        try:
            while (req := await read_request(reader)) is not None:
                if req.target == HEALTH_PATH:
                    self.n_probes += 1
                    writer.write(encode_head(req, 200, 0, ""))
                    await writer.drain()
                    continue
                self.received_requests.append(req)
                due = self._due_copies.pop(None if is_new else writer, None)
                is_new = False
                if due is not None:
                    await self._send_copy(writer, due)
                if not await self._respond_in_slot(req, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.n_disconnects += 1
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            self._due_copies.pop(writer, None)
            writer.close()

    async def _respond_in_slot(
        self,
        req: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to one request once a slot is free, if the server reports a load."""
        if self.speed_text is None:
            return await self._respond(req, reader, writer)
        if self._slots is None:
            self._slots = asyncio.Semaphore(self.slots)
        self._n_held += 1
        try:
            async with self._slots:
                return await self._respond(req, reader, writer)
        finally:
            self._n_held -= 1

    async def _respond(
        self,
        req: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to one request; return whether the connection stays open."""
        kind, _, event_number = self.behaviour(req).partition(":")
        is_misdirected = req.headers.get("expect-instance") != self.server_id
        if is_misdirected or kind == "misdirect":
            writer.write(encode_head(req, 421, 0, "Instance-Id: other\r\n"))
            await writer.drain()
            return True
        if "-copy" in kind:
            await self._answer_and_copy(req, writer, kind, event_number)
            return True
        if kind == "refuse" or not await self._take_slot():
            extra = "Not-Executed: 1\r\n" + self._encode_extra_headers()
            writer.write(encode_head(req, 503, 0, extra))
            await writer.drain()
            return True
        run = Run(self.server_id, req.request_id, time.monotonic(), behaviour=kind)
        self.executions.append(run)
        try:
            is_kept = await self._run(req, reader, writer, kind, event_number)
            run.outcome = "finished"
            return is_kept
        except BaseException:
            run.outcome = "dropped"
            raise
        finally:
            run.ended_at = time.monotonic()
            self._free_slot()

    def _get_work(self, req: ReceivedRequest) -> Work:
        if self.choose_work is not None:
            return self.choose_work(req)
        return Work(
            self.delay * self.slowness, self.n_events, self.pause * self.slowness
        )

    async def _answer_and_copy(
        self, req: ReceivedRequest, writer: asyncio.StreamWriter, kind: str, when: str
    ) -> None:
        if kind.startswith("ok"):
            self.runs[req.request_id] += 1
            body = f"{self.server_id} ran {req.request_id}".encode()
            status, extra = 200, f"Response-Seal: {SEAL}\r\n"
        else:
            body = b"not run"
            status = 503 if kind.startswith("refuse") else 421
            extra = "Not-Executed: 1\r\n"
        answer = copy = encode_head(req, status, len(body), extra) + body
        if kind.endswith("-unnamed"):
            copy = answer.replace(f"Attempt-Id: {req.request_id}\r\n".encode(), b"")
        writer.write(answer)
        if when in ("next", "new"):
            self._due_copies[writer if when == "next" else None] = copy
        else:
            task = asyncio.create_task(self._send_copy(writer, copy, float(when)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(0)

    async def _send_copy(
        self, writer: asyncio.StreamWriter, copy: bytes, delay: float = 0.0
    ) -> None:
        if delay:
            await asyncio.sleep(delay)
        self.n_copies += 1
        for number, piece in enumerate(self.edit_copy(copy)):
            if number:
                await asyncio.sleep(COPY_PIECE_INTERVAL)
            writer.write(piece)

    async def _take_slot(self) -> bool:
        """Wait for a slot; return False if too many requests wait already."""
        if self.max_waiting is not None and self._n_running >= self.slots:
            if len(self._waiting) >= self.max_waiting:
                return False
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        else:
            self._n_running += 1
        return True

    def _free_slot(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._n_running -= 1

    async def _run(
        self,
        req: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kind: str,
        event_number: str,
    ) -> bool:
        if not kind.endswith("-refusal"):
            self.runs[req.request_id] += 1
        if kind.startswith(("endless", "trickle")):
            head, part, pause = make_endless_response(req, kind)
            return await self._send_endless(writer, head, part, pause=pause)
        if kind == "silent":
            await self._wait_for_disconnect(reader)
            return False
        work = self._get_work(req)
        if work.delay:
            disconnect = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait({disconnect}, timeout=work.delay)
            disconnect.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await disconnect
            if done:
                raise ConnectionResetError("the client closed the connection")
        if kind == "crash":
            self.stop_listening()
        if kind in ("reset", "crash"):
            writer.transport.abort()
            return False
        if kind == "two-ids":
            extra = "Attempt-Id: another\r\nNot-Executed: 1\r\n"
            writer.write(encode_head(req, 503, 0, extra))
            await writer.drain()
            return True
        if "stream" in req.target:
            return await self._send_event_stream(
                req, writer, kind, float(event_number or 0), work
            )
        return await self._send_full_response(req, writer, kind)

    async def _send_endless(
        self,
        writer: asyncio.StreamWriter,
        head: bytes,
        part: bytes,
        *,
        pause: float = 0.0,
    ) -> bool:
        """Send a part over and over until the client closes the connection."""
        n_bytes = 0
        writer.write(head)
        while n_bytes < MAX_ENDLESS_BYTES:
            writer.write(part)
            n_bytes += len(part)
            self.n_endless_bytes = max(self.n_endless_bytes, n_bytes)
            await writer.drain()
            await asyncio.sleep(pause)
        return False

    def _encode_extra_headers(self) -> str:
        headers = dict(self.extra_headers)
        if self.speed_text is not None:
            n_running = min(self._n_held, self.slots)
            counts = f"{n_running},{self._n_held - n_running},{self.slots}"
            headers["Server-Load"] = f"{counts},{self.speed_text}"
        if self.max_waiting is not None:
            load = (self._n_running, len(self._waiting), self.slots)
            headers["Server-Load"] = ",".join(map(str, load))
        return "".join(f"{name}: {it}\r\n" for name, it in headers.items())

    async def _wait_for_disconnect(self, reader: asyncio.StreamReader) -> None:
        await reader.read(1)
        self.n_disconnects += 1

    async def _send_full_response(
        self, req: ReceivedRequest, writer: asyncio.StreamWriter, kind: str
    ) -> bool:
        body = f"{self.server_id} ran {req.request_id}".encode()
        body = body.ljust(self.n_body_bytes)
        status = 500 if kind in ("error", "denied-500") else 200
        if kind == "unframed":
            head = encode_head(req, status, None, f"Response-Seal: {SEAL}\r\n")
            writer.write(head + body)
            await writer.drain()
            return False
        extra = f"Response-Seal: {SEAL}\r\n" + self._encode_extra_headers()
        if kind in ("denied", "denied-500"):
            extra += "Not-Executed: 1\r\n"
        if kind == "denied-interim":
            writer.write(b"HTTP/1.1 103 X\r\nNot-Executed: 1\r\n\r\n")
        response = encode_head(req, status, len(body), extra) + body
        if kind == "half":
            writer.write(response[:-5])
            await writer.drain()
            return False
        if kind.startswith("strange"):
            other = ReceivedRequest("GET", "/", {"attempt-id": "another"}, b"")
            strange_body = b"not yours"
            head = encode_head(other, 200, len(strange_body), extra)
            if kind == "strange-unnamed":
                head = head.replace(b"Attempt-Id: another\r\n", b"")
            writer.write(head + strange_body)
        writer.write(response)
        if kind == "extra":
            writer.write(response)
        await writer.drain()
        return True

    async def _send_event_stream(
        self,
        req: ReceivedRequest,
        writer: asyncio.StreamWriter,
        kind: str,
        event_number: float,
        work: Work,
    ) -> bool:
        first_event = int(req.headers.get("last-event-id", 0)) + 1
        if kind in OTHER_STREAMS or kind.startswith("answer"):
            response = make_wrong_response(
                req, kind, int(event_number), first_event, work.n_events
            )
            writer.write(response)
            await writer.drain()
            return "unframed" not in kind
        extra = f"Content-Type: text/event-stream\r\nResponse-Seal: {SEAL}\r\n"
        extra += self._encode_extra_headers()
        if kind == "denied":
            extra += "Not-Executed: 1\r\n"
        is_framed = not kind.startswith("unframed")
        writer.write(encode_head(req, 200, -1 if is_framed else None, extra))
        if kind in ("begun", "crash-begun"):
            await writer.drain()
            if kind == "crash-begun":
                self.stop_listening()
            return False
        if kind == "unframed-empty":
            return False
        if kind == "late":
            await writer.drain()
            await asyncio.sleep(event_number)
        for event in range(first_event, work.n_events + 1):
            text = f"id: {event}\ndata: {event}\n\n".encode()
            if kind == "cut" and event == event_number:
                writer.write(encode_chunk(text[: len(text) // 2]))
                await writer.drain()
                writer.transport.abort()
                return False
            if kind == "drip" and event == event_number:
                drip = encode_chunk(b" ")
                writer.write(encode_chunk(text[:-2]))
                return await self._send_endless(writer, b"", drip, pause=0.2)
            if kind == "unframed-half" and event == event_number:
                writer.write(text[: len(text) // 2])
                return False
            writer.write(encode_chunk(text) if is_framed else text)
            await writer.drain()
            if event == event_number and kind.endswith(("end", "-after")):
                return await self._break_off(req, writer, kind)
            await self._pause_stream(req, event, work)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return is_framed

    async def _pause_stream(self, req: ReceivedRequest, event: int, work: Work) -> None:
        """Wait between an event of a stream and the next one."""
        if work.pause:
            await asyncio.sleep(work.pause)

    async def _break_off(
        self, req: ReceivedRequest, writer: asyncio.StreamWriter, kind: str
    ) -> bool:
        """End a stream after an event, without the end of its body."""
        if kind == "silent-after":
            await asyncio.sleep(60.0)
        elif kind == "crash-after":
            self.crash()
        elif kind == "reset-after":
            writer.transport.abort()
        elif kind.endswith("head-after"):
            error = encode_head(req, 500, len(ERROR_TEXT), "") + ERROR_TEXT
            is_chunk = kind == "head-after"
            writer.write(encode_chunk(error) + b"0\r\n\r\n" if is_chunk else error)
            await writer.drain()
        return False
