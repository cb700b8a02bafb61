"""Clients of the platform: key-value store, VM list, orders and usage reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .._lazy import make_lazy_getattr
from ._bounds import MAX_NUMBER, MAX_REVISION, parse_address, parse_count
from ._calls import CallClient, PlatformCallError
from ._decoding import decode_registration, decode_routing_config
from ._eras import get_era
from ._message_headers import (
    PromptPart,
    RequestInfo,
    ResponseInfo,
    ServerLoad,
    decode_request,
    decode_response,
    make_forward_headers,
    make_forwarded_headers,
    make_question_headers,
    make_refusal_headers,
    make_response_headers,
)
from ._names import CONFIG_KEY, EVACUATIONS_PREFIX, SERVERS_PREFIX
from ._orders import FencingCredentials, OrdersClient
from ._store import (
    Change,
    Changes,
    Compare,
    Delete,
    Entry,
    HttpStore,
    Put,
    Store,
    StoreResponse,
    StoreResult,
)

if TYPE_CHECKING:
    from ._services import (
        GuardedPayload,
        GuardError,
        Order,
        PlatformClient,
        PlatformResponse,
        Vm,
    )

# Needed for the platform of the OpenAI interface only. Imported on first use, because
# their HTTP library, aiohttp, would delay a node's start.
_LAZY = dict.fromkeys(
    (
        "GuardError",
        "GuardedPayload",
        "Order",
        "PlatformResponse",
        "PlatformClient",
        "Vm",
    ),
    "._services",
)

__all__ = [
    "CONFIG_KEY",
    "EVACUATIONS_PREFIX",
    "MAX_NUMBER",
    "MAX_REVISION",
    "SERVERS_PREFIX",
    "CallClient",
    "Change",
    "Changes",
    "Compare",
    "Delete",
    "Entry",
    "FencingCredentials",
    "GuardError",
    "GuardedPayload",
    "HttpStore",
    "Order",
    "OrdersClient",
    "PlatformCallError",
    "PlatformClient",
    "PlatformResponse",
    "PromptPart",
    "Put",
    "RequestInfo",
    "ResponseInfo",
    "ServerLoad",
    "Store",
    "StoreResponse",
    "StoreResult",
    "Vm",
    "decode_registration",
    "decode_request",
    "decode_response",
    "decode_routing_config",
    "get_era",
    "make_forward_headers",
    "make_forwarded_headers",
    "make_question_headers",
    "make_refusal_headers",
    "make_response_headers",
    "parse_address",
    "parse_count",
]


__getattr__ = make_lazy_getattr(__name__, _LAZY)
