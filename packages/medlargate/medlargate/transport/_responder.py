"""Requests of callers, and the writer of their responses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ._headers import Headers, find_header

if TYPE_CHECKING:
    from ._caller_connection import CallerConnection


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """Complete request of a caller.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Request target, which is the path with the query.
    headers : tuple of (bytes, bytes)
        Headers with names in lower case.
    body : bytes
        Complete body.
    arrived_at : float
        Time at which the request was complete, in seconds on the event loop's clock.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_at: float

    @property
    def path(self) -> str:
        """Path of the request without the query."""
        return self.target.partition("?")[0]

    def get(self, name: str) -> str | None:
        """Return the first value of a header; None if the header is absent."""
        return find_header(self.headers, name)


Handler = Callable[[IncomingRequest, "Responder"], Awaitable[None]]


class Responder:
    """Writer of the response to one request.

    Parameters
    ----------
    conn : CallerConnection
        Connection on which the response is written.

    Attributes
    ----------
    started : bool
        Whether the status and the headers were written.
    status : int
        HTTP status that was written; 0 before.
    finished : bool
        Whether the complete response was written.
    gone : bool
        Whether the connection has ended.
    on_disconnect : callable or None
        Callback that is called if the connection ends before the handler returns. A
        callback that is set after the connection has ended is not called.
    """

    def __init__(self, conn: CallerConnection) -> None:
        self._conn = conn
        self.started = False
        self.status = 0
        self.finished = False
        self.gone = False
        self.on_disconnect: Callable[[], None] | None = None

    def handle_disconnect(self) -> None:
        """Record that the connection has ended, and call ``on_disconnect``."""
        self.gone = True
        if self.on_disconnect is not None:
            self.on_disconnect()

    async def start(self, status: int, headers: Headers) -> None:
        """Write the status and the headers.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : sequence of (bytes, bytes)
            Headers, with ``Content-Length`` for a body of known length and without it
            for a stream.
        """
        # Headers that are not valid raise an error before anything is written.
        head = self._conn.make_head(status, headers)
        self.started, self.status = True, status
        await self._conn.write_head(head)

    async def write(self, data: bytes) -> None:
        """Write a part of the body. Waits while the caller reads too slowly.

        Nothing is written once the connection has ended.

        Parameters
        ----------
        data : bytes
            Next part of the body.
        """
        await self._conn.write_data(data)

    async def finish(self) -> None:
        """Mark the end of a complete response."""
        await self._conn.write_end()
        self.finished = True

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : sequence of (bytes, bytes)
            Headers without ``Content-Length``, which is added here.
        body : bytes
            Complete body.
        """
        await self.start(status, [*headers, (b"Content-Length", b"%d" % len(body))])
        if body:
            await self.write(body)
        await self.finish()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees an incomplete response."""
        self._conn.abort()
