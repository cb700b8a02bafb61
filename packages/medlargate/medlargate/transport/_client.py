"""HTTP/1.1 client connection that carries one request at a time."""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass

import h11

from ._headers import Headers, find_header
from ._sockets import count_undelivered, set_liveness_options

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 65_536
MAX_STATUS = 599
# Bytes received since the reader last had to wait; above this number, the socket is no
# longer read.
MAX_BUFFERED_BYTES = 262_144
# Informational responses that may precede a response; a server in trouble can send them
# without end.
MAX_INTERIM_RESPONSES = 8
MAX_REMEMBERED_IDS = 64  # ids of the last requests on a connection
DEFAULT_KEEP_ALIVE = 10.0  # seconds, for servers that send no Keep-Alive header
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}\b")
_KEEP_ALIVE_TIMEOUT = re.compile(r"\s*timeout=\s*([0-9]{1,6})\s*", re.IGNORECASE)


class ConnectFaultError(Exception):
    """Raised if no connection is usable; no byte of the request was sent."""


class ExchangeFaultError(Exception):
    """Raised if no response arrives or a response is incomplete or invalid.

    Parameters
    ----------
    kind : str
        Kind of failure: ``"reset"`` for a socket error; ``"closed"`` if the connection
        or the server's data ended before the response was complete; ``"invalid"`` for
        a response that is not valid HTTP or not acceptable; ``"silent"`` if no data
        arrived in time (raised by the relay).
    message : str
        Description of the failure.
    """

    def __init__(self, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Headers in the order received, with names in lower case.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: str) -> str | None:
        """Return the first value of a header; None if the header is absent."""
        return find_header(self.headers, name)

    @property
    def is_delimited(self) -> bool:
        """Whether the end of the body is marked by a length or by chunks.

        The body of any other response ends with the connection.
        """
        return not (
            self.get("content-length") is None and self.get("transfer-encoding") is None
        )


class BackendConnection(asyncio.Protocol):
    """Connection on which its owner sends a request and then reads the response.

    The server may be a backend server, another node or a service of the platform.

    Attributes
    ----------
    n_requests : int
        Number of requests sent on the connection so far.
    active_at : float
        Time of the last request or of the last data from the server, in seconds on the
        event loop's clock.
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
        self.idle_since = 0.0
        self._request_ids: deque[str] = deque(maxlen=MAX_REMEMBERED_IDS)
        self.n_requests = 0
        self.active_at = 0.0

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection and set its socket options."""
        self._transport = transport  # type: ignore[assignment]
        set_liveness_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the server and wake the reader."""
        self.active_at = asyncio.get_running_loop().time()
        if self._request is None:
            # No request awaits an answer, so these bytes belong to none.
            self._failure = ExchangeFaultError("invalid", "unexpected bytes")
            self.abort()
            return
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._failure = ExchangeFaultError("invalid", str(exc))
        self._n_buffered += len(data)
        if self._n_buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Handle the end of the server's data.

        It is the only sign that an answer without a length is whole. From a server
        that has not received the whole request it is none: it may have given up the
        connection, and would reset it for what follows.
        """
        self._receive_ended = True
        if self._transport is not None and count_undelivered(self._transport):
            message = "the server ended the connection before it had the request"
            self._failure = self._failure or ExchangeFaultError("closed", message)
        else:
            try:
                self._h11.receive_data(b"")
            except h11.RemoteProtocolError as exc:
                self._failure = ExchangeFaultError("closed", str(exc))
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record why the connection ended and wake the reader."""
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

    # Methods for the owner of the connection

    @property
    def is_open(self) -> bool:
        """Whether the transport is open for writing."""
        return self._transport is not None and not self._transport.is_closing()

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        *,
        request_id: str = "",
    ) -> None:
        """Write a complete request.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Request target, which is the path with the query.
        headers : sequence of (bytes, bytes)
            Headers without ``Content-Length``, which is added here.
        body : bytes
            Complete body.
        request_id : str
            Identity of the request, for ``has_carried``; empty if it has none.

        Raises
        ------
        ConnectFaultError
            If the connection ended before a byte was written.
        """
        if not self.is_open or self._receive_ended:
            raise ConnectFaultError(
                "the connection had ended before the request was sent"
            )
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
        if request_id:
            self._request_ids.append(request_id)
        self.active_at = asyncio.get_running_loop().time()
        self._transport.write(b"".join(parts))

    def has_carried(self, request_id: str) -> bool:
        """Return whether one of the last requests on the connection had this id.

        A server may send an answer twice. The second copy would be taken for the answer
        to a request of the same id that is sent on the same connection.

        Parameters
        ----------
        request_id : str
            Identity of a request that is to be sent.
        """
        return request_id in self._request_ids

    async def read_head(self) -> ResponseHead:
        """Read the status and the headers of the response.

        Returns
        -------
        ResponseHead
            Status and headers of the final response. Informational (1xx) responses are
            skipped.

        Raises
        ------
        ExchangeFaultError
            If the connection ends, the received bytes are not valid HTTP, the status
            is out of range, a head has a second status line, or more than
            ``MAX_INTERIM_RESPONSES`` informational responses arrive.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise ExchangeFaultError("invalid", "status out of range")
                if _has_second_status_line(event):
                    raise ExchangeFaultError("invalid", "two responses in one head")
                head = ResponseHead(event.status_code, tuple(event.headers))
                self._update_keep_alive(head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise ExchangeFaultError(
                    "closed", "the connection ended before a response"
                )
        raise ExchangeFaultError("invalid", "too many informational responses")

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the response as it arrives.

        Yields
        ------
        bytes
            Next part of the body.

        Raises
        ------
        ExchangeFaultError
            If the connection ends before the response is complete.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ExchangeFaultError(
                    "closed", "the connection ended within the response body"
                )

    def skip_stale_response(self) -> None:
        """Discard a response that answers an earlier request.

        The connection is then ready to read the response to the current request. The
        parser is replaced by one in the state after the current request was sent, which
        gets the bytes that followed the discarded response.

        Raises
        ------
        ExchangeFaultError
            If the response was not read completely or announced that the connection
            closes.
        """
        if self._h11.their_state is not h11.DONE or self._request is None:
            raise ExchangeFaultError(
                "closed",
                "the connection can't carry another response after one to an earlier "
                "request",
            )
        trailing, is_closed = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._h11.send(self._request)
        length = dict(self._request.headers).get(b"content-length", b"0")
        if int(length):
            # Zero bytes only bring the parser to this state; nothing is sent.
            self._h11.send(h11.Data(data=bytes(int(length))))
        self._h11.send(h11.EndOfMessage())
        if trailing:
            self._h11.receive_data(trailing)
        if is_closed:
            self._h11.receive_data(b"")

    def finish(self, now: float) -> bool:
        """Finish a request after its response was read completely.

        A connection that can't be reused is aborted.

        Parameters
        ----------
        now : float
            Current time on a monotonic clock, in seconds.

        Returns
        -------
        bool
            Whether another request may be sent on the connection.
        """
        reusable = (
            self.is_open
            and not self._receive_ended
            and not self._close_announced
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
            and self._transport is not None
            and self._transport.get_write_buffer_size() == 0
        )
        if not reusable:
            self.abort()
            return False
        self._h11.start_next_cycle()
        self._request = None
        # The end of an idle connection, and bytes that are not due, must be noticed.
        self._n_buffered = 0
        self._transport.resume_reading()
        self.idle_since = now
        return True

    def is_usable(self, now: float, *, max_idle_fraction: float) -> bool:
        """Tell whether a request may be sent on an idle connection.

        Parameters
        ----------
        now : float
            Current time on a monotonic clock, in seconds.
        max_idle_fraction : float
            Maximum idle time as a fraction of the server's keep-alive timeout.

        Returns
        -------
        bool
            False if the connection ended, received unexpected bytes or was idle too
            long.
        """
        idle_time = now - self.idle_since
        return (
            self.is_open
            and not self._receive_ended
            and not self._h11.trailing_data[0]
            and idle_time < max_idle_fraction * self._keep_alive
        )

    def set_option(self, level: int, name: int, value: bytes) -> None:
        """Set an option of the connection's socket.

        Parameters
        ----------
        level, name : int
            Level and name of the option, as for ``socket.setsockopt``.
        value : bytes
            New value of the option.
        """
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(level, name, value)

    def abandon(self, message: str) -> None:
        """Close the connection and let the reader fail as if the server were silent.

        Parameters
        ----------
        message : str
            Reason, for the error.
        """
        if self._failure is None:
            self._failure = ExchangeFaultError("silent", message)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def _update_keep_alive(self, head: ResponseHead) -> None:
        if "close" in (head.get("connection") or "").lower():
            self._close_announced = True
        for part in (head.get("keep-alive") or "").split(","):
            if match := _KEEP_ALIVE_TIMEOUT.fullmatch(part):
                self._keep_alive = float(match[1])

    async def _next_event(self):
        while True:
            if self._failure is not None and self._failure.kind == "invalid":
                raise self._failure
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                kind = "closed" if self._receive_ended else "invalid"
                raise ExchangeFaultError(kind, str(exc)) from exc
            except Exception as exc:
                log.exception("unexpected error while a response was parsed")
                raise ExchangeFaultError("invalid", repr(exc)) from exc
            if event is h11.PAUSED:
                raise ExchangeFaultError(
                    "invalid", "unexpected bytes after the response"
                )
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


def _has_second_status_line(response: h11.Response) -> bool:
    """Return whether a head consists of parts of two responses.

    A server that writes two responses at the same time can mix them, so that the status
    of one is read with the request id of the other.
    """
    values = [response.reason, *(value for _, value in response.headers)]
    return any(_STATUS_LINE.search(value) for value in values)


async def open_connection(
    host: str, port: int, *, timeout: float = 0.5
) -> BackendConnection:
    """Open a connection to a server.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    timeout : float, default=0.5
        Timeout for opening the connection, in seconds.

    Returns
    -------
    BackendConnection
        Connection that is ready for a request.

    Raises
    ------
    ConnectFaultError
        If the server refuses the connection, is unreachable, or does not accept it
        within the timeout.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, conn = await loop.create_connection(BackendConnection, host, port)
    except TimeoutError as exc:
        raise ConnectFaultError(f"no connection within {timeout} s") from exc
    except OSError as exc:
        raise ConnectFaultError(str(exc)) from exc
    except Exception as exc:
        # For instance OverflowError for a port or UnicodeError for a host.
        log.warning(
            "unexpected error while connecting",
            extra={"host": host, "port": port, "fault": repr(exc)},
        )
        raise ConnectFaultError(repr(exc)) from exc
    return conn
