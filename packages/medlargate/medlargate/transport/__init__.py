"""HTTP/1.1 connections of the data path, which track exactly what was sent.

The libraries that the rest of the project uses for HTTP (uvicorn, aiohttp) hide
whether a byte of a request was written and what follows a complete response. Both
determine here whether a request may have run. Parsing and framing are left to h11.
"""

from ._caller_connection import DROP_TIMEOUT, MAX_DROPPED_BYTES, CallerConnection
from ._caller_memory import CallerMemory
from ._client import (
    BackendConnection,
    ConnectFaultError,
    ExchangeFaultError,
    ResponseHead,
    open_connection,
)
from ._connection_limit import ConnectionLimit, Wait
from ._connection_slots import ConnectionSlots
from ._disconnect_watch import DisconnectWatch
from ._headers import Headers, find_header
from ._pool import CONNECT_TIMEOUT, ConnectionPool
from ._responder import Handler, IncomingRequest, Responder
from ._server import IngressServer
from ._sockets import count_descriptors
from ._write_watch import WriteWatch

__all__ = [
    "CONNECT_TIMEOUT",
    "DROP_TIMEOUT",
    "MAX_DROPPED_BYTES",
    "BackendConnection",
    "CallerConnection",
    "CallerMemory",
    "ConnectFaultError",
    "ConnectionLimit",
    "ConnectionPool",
    "ConnectionSlots",
    "DisconnectWatch",
    "ExchangeFaultError",
    "Handler",
    "Headers",
    "IncomingRequest",
    "IngressServer",
    "Responder",
    "ResponseHead",
    "Wait",
    "WriteWatch",
    "count_descriptors",
    "find_header",
    "open_connection",
]
