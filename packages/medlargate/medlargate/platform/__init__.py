"""Clients of the platform: key-value service, VM list, orders, usage reports."""

from ._services import (
    GuardedPayload,
    GuardError,
    Order,
    PlatformAnswer,
    PlatformClient,
    Vm,
)
from ._store import (
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
    "Compare",
    "Delete",
    "Entry",
    "GuardError",
    "GuardedPayload",
    "HttpStore",
    "Order",
    "PlatformAnswer",
    "PlatformClient",
    "Put",
    "Store",
    "StoreAnswer",
    "StoreError",
    "StoreResult",
    "Vm",
]
