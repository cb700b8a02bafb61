"""Clients of the platform: key-value service, VM list, orders, usage reports."""

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
from ._services import (
    GuardedPayload,
    GuardError,
    Order,
    PlatformAnswer,
    PlatformClient,
    Vm,
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
    StoreError,
    StoreResult,
)

__all__ = [
    "CONFIG_KEY",
    "SERVERS_PREFIX",
    "AnswerFacts",
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
