"""HTTP calls to backend servers, with what each failure says of execution."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

from ..policy import Verdict

CONNECT_TIMEOUT = 1.0  # seconds
PROBE_TIMEOUT = 0.5  # seconds
KEEPALIVE_TIMEOUT = 15.0  # seconds
READ_BUFFER_BYTES = 65_536


class BackendGoneError(aiohttp.ClientError):
    """The connection ended; the library must not send the request again."""


@dataclass
class BackendFault(Exception):
    """An attempt on a backend server that gave no valid answer.

    Parameters
    ----------
    kind : str
        ``"connect"``, ``"refused"``, ``"broken"``, ``"stalled"`` or ``"invalid"``.
    message : str
        What was seen.
    verdict : Verdict
        ``NOT_RUN`` when no byte was handed over or the server said so.
    """

    kind: str
    message: str
    verdict: Verdict

    def __post_init__(self) -> None:
        super().__init__(self.message)


async def _forbid_resend(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Hide failures on which the library would repeat a request by itself."""
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise BackendGoneError(str(exc) or type(exc).__name__) from exc


def make_session() -> aiohttp.ClientSession:
    """Make the connections to backend servers.

    Returns
    -------
    aiohttp.ClientSession
        It follows no redirect environment, keeps no cookies and repeats nothing.
    """
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        middlewares=(_forbid_resend,),
        read_bufsize=READ_BUFFER_BYTES,
    )


@asynccontextmanager
async def open_call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    headers: Mapping[str, str],
    body: bytes,
    head_timeout: float,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a request and give its response once the head has come.

    Parameters
    ----------
    session : aiohttp.ClientSession
        From ``make_session``.
    method, url : str
        The call.
    headers : mapping of str to str
        Without any credential of a caller.
    body : bytes
        The request's body.
    head_timeout : float
        Seconds until the response's head must have come.

    Yields
    ------
    aiohttp.ClientResponse
        The response; a connection whose body was not read whole is closed.

    Raises
    ------
    BackendFault
        The call failed; its verdict says whether it may have run.
    """
    resp: aiohttp.ClientResponse | None = None
    try:
        async with asyncio.timeout(head_timeout) as limit:
            resp = await session.request(
                method, url, headers=headers, data=body, allow_redirects=False
            )
            limit.reschedule(None)
        yield resp
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise BackendFault("connect", str(exc), Verdict.NOT_RUN) from exc
    except TimeoutError as exc:
        message = f"no answer within {head_timeout} s"
        raise BackendFault("stalled", message, Verdict.MAY_HAVE_RUN) from exc
    except aiohttp.ClientError as exc:
        message = f"{type(exc).__name__}: {exc}"
        raise BackendFault("broken", message, Verdict.MAY_HAVE_RUN) from exc
    finally:
        if resp is not None:
            resp.close()


async def is_alive(session: aiohttp.ClientSession, url: str) -> bool:
    """Tell whether a backend server answers on a new connection.

    Parameters
    ----------
    session : aiohttp.ClientSession
        From ``make_session``.
    url : str
        The server's base address.

    Returns
    -------
    bool
        False for a refused, reset or silent connection.
    """
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
    headers = {"Connection": "close"}
    try:
        async with session.get(url + "/load", timeout=timeout, headers=headers) as resp:
            return resp.status < 500
    except (aiohttp.ClientError, TimeoutError):
        return False
