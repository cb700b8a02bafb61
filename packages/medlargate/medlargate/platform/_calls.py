"""HTTP client of the platform's services with persistent connections.

The client uses the connections of the data path (``transport``), which tell whether a
byte of a request was written. A general HTTP client library hides this, and its import
takes a third of a node's start time.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any
from urllib.parse import urlencode, urlsplit

import orjson
from returns.result import Failure, Result, Success

from ..policy import Verdict
from ..transport import (
    BackendConnection,
    ConnectFaultError,
    ExchangeFaultError,
    Headers,
    find_header,
    open_connection,
)

# Fraction of the service's keep-alive timeout for which an idle connection is reused;
# the rest allows for delays.
MAX_IDLE_FRACTION = 0.7
MAX_IDLE_CONNECTIONS = 8  # watches occupy two, all other calls are short
# SO_LINGER with a timeout of 0: closing sends a reset and discards undelivered bytes.
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class PlatformCallError:
    """Failure of a call to one of the platform's services.

    Attributes
    ----------
    verdict : Verdict
        ``MAY_HAVE_RUN`` if the call may have taken effect, else ``NOT_RUN``.
    message : str
        Description of the failure.
    """

    verdict: Verdict
    message: str


@dataclass(frozen=True)
class Reply:
    """Response of one of the platform's services.

    Attributes
    ----------
    status : int
        HTTP status.
    raw : bytes
        Undecoded body.
    headers : tuple of (bytes, bytes)
        Headers, with names in lower case.
    """

    status: int
    raw: bytes
    headers: Headers = ()

    def get(self, name: str) -> str | None:
        """Return the first value of a header; None if the header is absent."""
        return find_header(self.headers, name)

    @cached_property
    def body(self) -> dict[str, Any]:
        """Body decoded from JSON, {} if empty; ValueError if it is not JSON."""
        return orjson.loads(self.raw) if self.raw else {}


class CallClient:
    """HTTP client of one of the platform's services.

    Parameters
    ----------
    url : str
        Base URL of the service, ``http://IP:PORT``.
    timeout : float, default=2.0
        Timeout of a call in seconds.
    reset_abandoned : bool, default=False
        Whether to reset the connection of a call that is abandoned, which discards
        undelivered bytes, so that the call can't arrive later.

    Attributes
    ----------
    is_closed : bool
        Whether ``close`` was called.
    """

    def __init__(
        self, url: str, *, timeout: float = 2.0, reset_abandoned: bool = False
    ) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._timeout = timeout
        self._reset_abandoned = reset_abandoned
        self._idle: list[BackendConnection] = []
        self.is_closed = False

    async def call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        guard: Callable[[], bool] | None = None,
        extra_time: float = 0.0,
    ) -> Result[Reply, PlatformCallError]:
        """Send a request and read its response.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the request without a query.
        query : mapping of str to str or None
            Query parameters, added to the path in encoded form.
        body : object
            Body, sent as JSON; None for a request without a body.
        headers : mapping of str to str or None
            Additional headers.
        guard : callable or None
            Returns False once the caller no longer holds its lease. The guard is called
            immediately before the write, with no ``await`` in between.
        extra_time : float, default=0.0
            Seconds added to the timeout of a call whose response the service delays.

        Returns
        -------
        Result of Reply or PlatformCallError
            Response with any status, or the error of a call without a response.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        data = b"" if body is None else orjson.dumps(body)
        rows = [(b"Host", f"{self._host}:{self._port}".encode())]
        if data:
            rows.append((b"Content-Type", b"application/json"))
        rows += [(k.encode(), v.encode()) for k, v in (headers or {}).items()]

        def write(conn: BackendConnection) -> None:
            if guard is not None and not guard():
                raise ConnectFaultError("the lease is no longer held; nothing was sent")
            conn.send(method, target, rows, data)

        try:
            async with asyncio.timeout(self._timeout + extra_time):
                if method == "GET":
                    return Success(await self._exchange_with_retry(write))
                return Success(await self._exchange(await self._connect(), write))
        except ConnectFaultError as exc:
            return Failure(PlatformCallError(Verdict.NOT_RUN, str(exc)))
        except ExchangeFaultError as exc:
            message = f"{exc.kind}: {exc}"
        except TimeoutError:
            message = f"no answer within {self._timeout + extra_time} s"
        return Failure(PlatformCallError(Verdict.MAY_HAVE_RUN, message))

    async def _exchange_with_retry(
        self, write: Callable[[BackendConnection], None]
    ) -> Reply:
        """Send an idempotent request; retry it once if a reused connection fails."""
        conn = await self._connect()
        was_reused = conn.n_requests > 0
        try:
            return await self._exchange(conn, write)
        except (ConnectFaultError, ExchangeFaultError):
            if not was_reused or self.is_closed:
                raise
        return await self._exchange(await self._connect(new_only=True), write)

    async def _connect(self, *, new_only: bool = False) -> BackendConnection:
        now = time.monotonic()
        while self._idle and not new_only:
            conn = self._idle.pop()
            if conn.is_usable(now, max_idle_fraction=MAX_IDLE_FRACTION):
                return conn
            conn.abort()
        conn = await open_connection(self._host, self._port, timeout=self._timeout)
        if self._reset_abandoned:
            conn.set_option(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        return conn

    async def _exchange(
        self, conn: BackendConnection, write: Callable[[BackendConnection], None]
    ) -> Reply:
        reusable = False
        try:
            write(conn)
            head = await conn.read_head()
            raw = b"".join([piece async for piece in conn.read_body()])
            reusable = conn.finish(time.monotonic()) and not self.is_closed
        finally:
            if not reusable or len(self._idle) >= MAX_IDLE_CONNECTIONS:
                conn.abort()
            else:
                self._idle.append(conn)
        return Reply(head.status, raw, head.headers)

    async def close(self) -> None:
        """Close the idle connections. Calls in progress are not interrupted."""
        self.is_closed = True
        while self._idle:
            self._idle.pop().abort()
