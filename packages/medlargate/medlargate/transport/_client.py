"""One HTTP/1.1 connection to a backend server, one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import h11

from ._headers import Headers, find_header
from ._sockets import set_liveness_options

MAX_HEAD_BYTES = 65_536
MAX_BUFFERED_BYTES = 262_144  # received and not read; more pauses the socket
DEFAULT_KEEP_ALIVE = 10.0  # seconds, for servers that do not say


class ConnectFaultError(Exception):
    """No connection came about, so no byte of a request was sent."""


class ExchangeFaultError(Exception):
    """An answer did not come, or is not whole.

    Parameters
    ----------
    kind : str
        ``"reset"``, ``"closed"``, ``"invalid"`` or ``"silent"``.
    message : str
        What was seen.
    """

    def __init__(self, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Names in lower case, in the order received.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: str) -> str | None:
        """Return the first value of a header; None when it is absent."""
        return find_header(self.headers, name)


class BackendConnection(asyncio.Protocol):
    """A connection whose owner sends one request and reads its answer.

    Attributes
    ----------
    n_requests : int
        Requests sent on it so far.
    """

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._data_waiter: asyncio.Future[None] | None = None
        self._failure: ExchangeFaultError | None = None
        self._receive_ended = False
        self._n_buffered = 0
        self._request: h11.Request | None = None
        self._close_announced = False
        self._keep_alive = DEFAULT_KEEP_ALIVE
        self._idle_since = 0.0
        self.n_requests = 0

    # Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        self._transport = transport  # type: ignore[assignment]
        set_liveness_options(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes from the server."""
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._failure = ExchangeFaultError("invalid", str(exc))
        self._n_buffered += len(data)
        if self._n_buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Take the end of the server's bytes."""
        self._receive_ended = True
        try:
            self._h11.receive_data(b"")
        except h11.RemoteProtocolError as exc:
            self._failure = ExchangeFaultError("closed", str(exc))
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        if exc is not None and self._failure is None:
            self._failure = ExchangeFaultError("reset", f"{type(exc).__name__}: {exc}")
        elif not self._receive_ended and self._failure is None:
            self._failure = ExchangeFaultError("closed", "the connection was closed")
        self._receive_ended = True
        self._transport = None
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._data_waiter is not None and not self._data_waiter.done():
            self._data_waiter.set_result(None)

    # Owner

    @property
    def is_open(self) -> bool:
        """Whether a request can still be written."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Write a whole request.

        Parameters
        ----------
        method, target : str
            Of the request line.
        headers : sequence of (bytes, bytes)
            All headers but the framing.
        body : bytes
            The whole body.

        Raises
        ------
        ConnectFaultError
            The connection had ended before a byte was written.
        """
        if not self.is_open or self._receive_ended:
            raise ConnectFaultError("the idle connection had ended")
        framed = list(headers)
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            framed.append((b"Content-Length", b"%d" % len(body)))
        self._request = h11.Request(method=method, target=target, headers=framed)
        parts = [self._h11.send(self._request) or b""]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        assert self._transport is not None
        self.n_requests += 1
        self._transport.write(b"".join(parts))

    async def read_head(self) -> AnswerHead:
        """Wait for the answer's status and headers.

        Returns
        -------
        AnswerHead
            Of the final answer; informational ones are skipped.

        Raises
        ------
        ExchangeFaultError
            The connection ended, or what came is not HTTP.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                head = AnswerHead(event.status_code, tuple(event.headers))
                self._update_keep_alive(head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise ExchangeFaultError("closed", "the connection ended unanswered")

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the answer's body as it arrives.

        Yields
        ------
        bytes
            A piece of the body.

        Raises
        ------
        ExchangeFaultError
            The answer ended before its end.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ExchangeFaultError("closed", "the connection ended early")

    def skip_answer(self) -> None:
        """Go on to the next answer on the connection.

        For an answer that belongs to an earlier request, read to its end: the
        parser starts anew, as if the request had just been sent.

        Raises
        ------
        ExchangeFaultError
            The server closes the connection after that answer.
        """
        if self._h11.their_state is not h11.DONE or self._request is None:
            raise ExchangeFaultError("closed", "nothing follows the strange answer")
        trailing, is_closed = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._h11.send(self._request)
        length = dict(self._request.headers).get(b"content-length", b"0")
        if int(length):
            self._h11.send(h11.Data(data=bytes(int(length))))
        self._h11.send(h11.EndOfMessage())
        if trailing:
            self._h11.receive_data(trailing)
        if is_closed:
            self._h11.receive_data(b"")

    def finish(self, now: float) -> bool:
        """End a request whose answer was read whole.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether another request may be sent on the connection.
        """
        clean = (
            self.is_open
            and not self._receive_ended
            and not self._close_announced
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
            and self._transport is not None
            and self._transport.get_write_buffer_size() == 0
        )
        if not clean:
            self.abort()
            return False
        self._h11.start_next_cycle()
        self._idle_since = now
        return True

    def is_usable(self, now: float, *, max_idle: float) -> bool:
        """Tell whether an idle connection may carry a request.

        Parameters
        ----------
        now : float
            Seconds.
        max_idle : float
            Longest idle time, as a fraction of what the server allows.

        Returns
        -------
        bool
            False when it ended, got unexpected bytes or idled too long.
        """
        idle = now - self._idle_since
        return (
            self.is_open
            and not self._receive_ended
            and not self._h11.trailing_data[0]
            and idle < max_idle * self._keep_alive
        )

    def set_option(self, level: int, name: int, value: bytes) -> None:
        """Set an option of the connection's socket.

        Parameters
        ----------
        level, name : int
            As the operating system names it.
        value : bytes
            Its new value.
        """
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(level, name, value)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _update_keep_alive(self, head: AnswerHead) -> None:
        if "close" in (head.get("connection") or "").lower():
            self._close_announced = True
        for part in (head.get("keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self._keep_alive = float(value)

    async def _next_event(self):
        while True:
            if self._failure is not None and self._failure.kind == "invalid":
                raise self._failure
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                kind = "closed" if self._receive_ended else "invalid"
                raise ExchangeFaultError(kind, str(exc)) from exc
            if event is h11.PAUSED:
                raise ExchangeFaultError("invalid", "bytes beyond the answer")
            if event is not h11.NEED_DATA:
                return event
            if self._failure is not None:
                raise self._failure
            self._n_buffered = 0
            if self._transport is not None:
                self._transport.resume_reading()
            self._data_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._data_waiter
            finally:
                self._data_waiter = None


async def open_connection(
    host: str, port: int, *, timeout: float = 0.5
) -> BackendConnection:
    """Connect to a backend server.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    timeout : float, default=0.5
        Seconds.

    Returns
    -------
    BackendConnection
        Ready for a request.

    Raises
    ------
    ConnectFaultError
        Refused, unreachable, or not established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, conn = await loop.create_connection(BackendConnection, host, port)
    except TimeoutError as exc:
        raise ConnectFaultError(f"no connection within {timeout} s") from exc
    except OSError as exc:
        raise ConnectFaultError(str(exc)) from exc
    return conn
