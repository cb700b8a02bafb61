"""HTTP client for backend servers that tells whether a failed call may have run."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp

from ..policy import Verdict

CONNECT_TIMEOUT = 1.0  # seconds
PROBE_TIMEOUT = 0.5  # seconds
KEEPALIVE_TIMEOUT = 15.0  # seconds
READ_BUFFER_BYTES = 65_536
MAX_DISCARDED = 64  # connections with unexpected bytes, per request


class BackendDisconnectedError(aiohttp.ClientError):
    """The connection broke; aiohttp does not retry requests on this error."""


@dataclass
class BackendFault(Exception):
    """Failure of an attempt on a backend server.

    Parameters
    ----------
    kind : str
        ``"connect"`` if no connection was established, ``"refused"`` for a
        response 429 or 503, ``"rejected"`` for another 4xx response,
        ``"broken"`` if the connection or stream ended early, ``"stalled"`` if
        no response came in time, or ``"invalid"`` for a response that can't be
        used.
    message : str
        Description of the failure.
    verdict : Verdict
        Whether the attempt may have run. ``NOT_RUN`` requires that no byte of the
        request was sent, or that the server's response says so.
    """

    kind: str
    message: str
    verdict: Verdict

    def __post_init__(self) -> None:
        super().__init__(self.message)


async def _prevent_automatic_resend(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Replace the errors on which aiohttp would retry a request by itself.

    A failure to connect is passed through, because nothing was sent.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise BackendDisconnectedError(str(exc) or type(exc).__name__) from exc


class _Connector(aiohttp.TCPConnector):
    """Connector that reuses no connection on which bytes arrived while it was idle.

    Such bytes belong to no request: a server may send an answer twice. aiohttp takes
    them for the answer to the next request.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Return a connection that is ready for a request."""
        for _ in range(MAX_DISCARDED):
            conn = await super().connect(req, traces, timeout)
            if conn.protocol is None or not conn.protocol.should_close:
                return conn
            conn.close()
        raise BackendDisconnectedError("the server sends bytes without a request")


class _Response(aiohttp.ClientResponse):
    """Response whose connection is not reused if it is an error.

    Servers name no request in their refusals, so that a second copy of one would be
    taken for the answer to the next request.
    """

    async def start(self, connection: aiohttp.connector.Connection) -> _Response:
        """Read the head of the response."""
        protocol = connection.protocol
        await super().start(connection)
        if self.status >= 400 and protocol is not None:
            if self.connection is None:
                # The body has been read, and the connection is already idle.
                protocol.close()
            else:
                protocol.force_close()
        return self


def make_session() -> aiohttp.ClientSession:
    """Create the HTTP client session for calls to backend servers.

    Returns
    -------
    aiohttp.ClientSession
        Session that ignores proxy settings of the environment, stores no cookies,
        does not decompress responses and never retries a request.
    """
    connector = _Connector(limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        middlewares=(_prevent_automatic_resend,),
        response_class=_Response,
        read_bufsize=READ_BUFFER_BYTES,
    )


@asynccontextmanager
async def open_response(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    headers: Mapping[str, str],
    body: bytes,
    header_timeout: float,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a request to a backend server and yield the response.

    The response is yielded as soon as its status and headers have been received.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session created by ``make_session``.
    method, url : str
        HTTP method and URL of the request.
    headers : mapping of str to str
        Request headers, without any credential of the caller.
    body : bytes
        Request body.
    header_timeout : float
        Maximum time in seconds until the response headers are received.

    Yields
    ------
    aiohttp.ClientResponse
        Response with an unread body. The connection is closed on exit unless the
        body was read completely.

    Raises
    ------
    BackendFault
        The call failed; the verdict says whether the request may have run.
    """
    resp: aiohttp.ClientResponse | None = None
    try:
        async with asyncio.timeout(header_timeout) as timeout_scope:
            resp = await session.request(
                method, url, headers=headers, data=body, allow_redirects=False
            )
            timeout_scope.reschedule(None)
        yield resp
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise BackendFault("connect", str(exc), Verdict.NOT_RUN) from exc
    except TimeoutError as exc:
        message = f"no answer within {header_timeout} s"
        raise BackendFault("stalled", message, Verdict.MAY_HAVE_RUN) from exc
    except aiohttp.ClientError as exc:
        message = f"{type(exc).__name__}: {exc}"
        raise BackendFault("broken", message, Verdict.MAY_HAVE_RUN) from exc
    finally:
        if resp is not None:
            resp.close()


async def is_alive(session: aiohttp.ClientSession, url: str) -> bool:
    """Check whether a backend server responds on a new connection.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session created by ``make_session``.
    url : str
        Base URL of the backend server.

    Returns
    -------
    bool
        False if the connection fails or times out, or for a 5xx response.
    """
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
    headers = {"Connection": "close"}
    try:
        async with session.get(url + "/load", timeout=timeout, headers=headers) as resp:
            return resp.status < 500
    except (aiohttp.ClientError, TimeoutError):
        return False
