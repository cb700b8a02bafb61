"""Calls of the platform's services: one request, one answer, over kept connections.

They use the connections of the data path (``transport``), which say whether a byte was
written; a client library that hides this takes a third of a node's start besides.
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
    open_connection,
)

MAX_IDLE_FRACTION = 0.7  # of what the service allows; the rest covers delays
MAX_IDLE_CONNECTIONS = 8  # connections kept; watches take two, the others are brief
LINGER_RESET = struct.pack("ii", 1, 0)  # closing discards what was not delivered


@dataclass(frozen=True, slots=True)
class StoreError:
    """A call of the platform that gave no answer.

    Attributes
    ----------
    verdict : Verdict
        ``MAY_HAVE_RUN`` when the call may have taken effect.
    message : str
        What was seen.
    """

    verdict: Verdict
    message: str


@dataclass(frozen=True)
class Reply:
    """A service's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    raw : bytes
        The whole body.
    """

    status: int
    raw: bytes

    @cached_property
    def body(self) -> dict[str, Any]:
        """The decoded body, empty when there is none; ValueError when unreadable."""
        return orjson.loads(self.raw) if self.raw else {}


class CallClient:
    """Calls one of the platform's services.

    Parameters
    ----------
    url : str
        Base address, ``http://IP:PORT``.
    timeout : float, default=2.0
        Seconds per call.
    resets : bool, default=False
        A call that is given up must not arrive later: closing its connection discards
        what was not delivered.
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
    ) -> Result[Reply, StoreError]:
        """Send one request and read its answer.

        Parameters
        ----------
        method, path : str
            Of the request line.
        query : mapping of str to str or None
            Encoded into the path.
        body : object
            Sent as JSON unless it is None.
        headers : mapping of str to str or None
            Further ones.
        guard : callable or None
            Returns False once the right to the call is lost; asked right before the
            write, with no ``await`` between them.
        extra_time : float, default=0.0
            Seconds for an answer that the service holds back.

        Returns
        -------
        Result of Reply or StoreError
            Whatever status came, or what may be said of a call without an answer.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        data = b"" if body is None else orjson.dumps(body)
        rows = [(b"Host", f"{self._host}:{self._port}".encode())]
        if data:
            rows.append((b"Content-Type", b"application/json"))
        rows += [(k.encode(), v.encode()) for k, v in (headers or {}).items()]

        def write(conn: BackendConnection) -> None:
            if guard is not None and not guard():
                raise ConnectFaultError("the right to the call ran out before it")
            conn.send(method, target, rows, data)

        try:
            async with asyncio.timeout(self._timeout + extra_time):
                if method == "GET":
                    return Success(await self._exchange_with_retry(write))
                return Success(await self._exchange(await self._connect(), write))
        except ConnectFaultError as exc:
            return Failure(StoreError(Verdict.NOT_RUN, str(exc)))
        except ExchangeFaultError as exc:
            message = f"{exc.kind}: {exc}"
        except TimeoutError:
            message = f"no answer within {self._timeout + extra_time} s"
        return Failure(StoreError(Verdict.MAY_HAVE_RUN, message))

    async def _exchange_with_retry(
        self, write: Callable[[BackendConnection], None]
    ) -> Reply:
        """Send a request that may be repeated once if a kept connection had ended."""
        conn = await self._connect()
        was_used = conn.n_requests > 0
        try:
            return await self._exchange(conn, write)
        except (ConnectFaultError, ExchangeFaultError):
            if not was_used or self.is_closed:
                raise
        return await self._exchange(await self._connect(new_only=True), write)

    async def _connect(self, *, new_only: bool = False) -> BackendConnection:
        now = time.monotonic()
        while self._idle and not new_only:
            conn = self._idle.pop()
            if conn.is_usable(now, max_idle=MAX_IDLE_FRACTION):
                return conn
            conn.abort()
        conn = await open_connection(self._host, self._port, timeout=self._timeout)
        if self._reset_abandoned:
            conn.set_option(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        return conn

    async def _exchange(
        self, conn: BackendConnection, write: Callable[[BackendConnection], None]
    ) -> Reply:
        kept = False
        try:
            write(conn)
            head = await conn.read_head()
            raw = b"".join([piece async for piece in conn.read_body()])
            kept = conn.finish(time.monotonic()) and not self.is_closed
        finally:
            if not kept or len(self._idle) >= MAX_IDLE_CONNECTIONS:
                conn.abort()
            else:
                self._idle.append(conn)
        return Reply(head.status, raw)

    async def close(self) -> None:
        """Close the kept connections; calls that run end by themselves."""
        self.is_closed = True
        while self._idle:
            self._idle.pop().abort()
