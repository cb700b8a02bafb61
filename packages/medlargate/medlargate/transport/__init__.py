"""HTTP/1.1 connections of the data path, with exact word on what was sent.

The libraries that the rest of the project uses for HTTP (uvicorn, aiohttp) hide
whether a byte of a request was written and what follows a complete answer; both
decide here what may be said of a request. Parsing and framing are h11's.
"""

from ._client import (
    AnswerHead,
    BackendConnection,
    ConnectFaultError,
    ExchangeFaultError,
    open_connection,
)
from ._pool import CONNECT_TIMEOUT, ConnectionPool
from ._server import CallerConnection, IncomingRequest, IngressServer, Responder

__all__ = [
    "CONNECT_TIMEOUT",
    "AnswerHead",
    "BackendConnection",
    "CallerConnection",
    "ConnectFaultError",
    "ConnectionPool",
    "ExchangeFaultError",
    "IncomingRequest",
    "IngressServer",
    "Responder",
    "open_connection",
]
