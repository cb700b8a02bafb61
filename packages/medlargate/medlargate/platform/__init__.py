"""Clients of the platform: key-value store, VM list, orders and usage reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .._lazy import make_lazy_getattr
from ._calls import CallClient, StoreError
from ._catalog import decode_declaration, decode_registration
from ._names import CONFIG_KEY, SERVERS_PREFIX
from ._orders import DutyCall, OrdersClient
from ._requests import (
    AnswerFacts,
    PromptPart,
    RequestFacts,
    ServerLoad,
    decode_answer,
    decode_request,
    make_answer_headers,
    make_forward_headers,
    make_refusal_headers,
)
from ._store import (
    Change,
    Changes,
    Compare,
    Delete,
    Entry,
    HttpStore,
    Put,
    Store,
    StoreAnswer,
    StoreResult,
)

if TYPE_CHECKING:
    from ._services import (
        GuardedPayload,
        GuardError,
        Order,
        PlatformAnswer,
        PlatformClient,
        Vm,
    )

# Needed for the platform of the OpenAI interface only. Imported on first use, because
# their HTTP library, aiohttp, would delay a node's start.
_LAZY = dict.fromkeys(
    ("GuardError", "GuardedPayload", "Order", "PlatformAnswer", "PlatformClient", "Vm"),
    "._services",
)

__all__ = [
    "CONFIG_KEY",
    "SERVERS_PREFIX",
    "AnswerFacts",
    "CallClient",
    "Change",
    "Changes",
    "Compare",
    "Delete",
    "DutyCall",
    "Entry",
    "GuardError",
    "GuardedPayload",
    "HttpStore",
    "Order",
    "OrdersClient",
    "PlatformAnswer",
    "PlatformClient",
    "PromptPart",
    "Put",
    "RequestFacts",
    "ServerLoad",
    "Store",
    "StoreAnswer",
    "StoreError",
    "StoreResult",
    "Vm",
    "decode_answer",
    "decode_declaration",
    "decode_registration",
    "decode_request",
    "make_answer_headers",
    "make_forward_headers",
    "make_refusal_headers",
]


__getattr__ = make_lazy_getattr(__name__, _LAZY)
