"""State shared between nodes: configuration, membership, leases, usage and claims.

Modules that a node on the users' platform does not need are imported on first access to
one of their names. Importing them takes a fifth of the CPU time of a node's start,
which callers wait for after all nodes were stopped.
"""

from typing import TYPE_CHECKING

from .._lazy import make_lazy_getattr
from ._cluster_state import ClusterState, StateFreshness
from ._domains import STATUS_LIFETIME_ROUNDS, DomainTable
from ._evacuations import Evacuations
from ._leases import DutyLease
from ._peer_checked_clock import PeerCheckedClock
from ._peer_messages import (
    DomainStatus,
    LoadUpdate,
    PeerStatus,
    RejectionNotice,
    StatusMessage,
    StreamNotes,
    StreamQuery,
    decode_node,
    encode_node,
)
from ._peers import ALIVE_TIME, KnownPeer, PeerMessenger, PeerTable
from ._usage_counts import UsageCounts
from ._usage_reporter import UsagePartWriter, UsageReporter
from ._watching import StoreWatcher

if TYPE_CHECKING:
    from ._agent import CommitResult, FleetAgent, PullResponse
    from ._claims import (
        AlreadyClaimed,
        Claimed,
        ClaimRegistry,
        make_claim_key,
        make_stored_response,
    )
    from ._config import ConfigConflictError, ConfigReplica
    from ._heartbeats import (
        AgedRevision,
        Heartbeat,
        NodeStatus,
        OutgoingHeartbeat,
        Peer,
    )
    from ._membership import Membership
    from ._model import (
        KINDS,
        Backend,
        Config,
        ConfigError,
        Customer,
        Key,
        Operation,
        Record,
        RequestClass,
        Route,
        SeedFile,
        check_operations,
        describe_validation,
    )
    from ._orders import OrderDispatcher
    from ._usage import UsageLedger, UsagePart, UsageRow, decode_part, encode_part
    from ._windows import WindowReporter

_LAZY = {
    "CommitResult": "._agent",
    "FleetAgent": "._agent",
    "PullResponse": "._agent",
    "ClaimRegistry": "._claims",
    "Claimed": "._claims",
    "AlreadyClaimed": "._claims",
    "make_claim_key": "._claims",
    "make_stored_response": "._claims",
    "ConfigConflictError": "._config",
    "ConfigReplica": "._config",
    "NodeStatus": "._heartbeats",
    "Heartbeat": "._heartbeats",
    "OutgoingHeartbeat": "._heartbeats",
    "Peer": "._heartbeats",
    "AgedRevision": "._heartbeats",
    "Membership": "._membership",
    "KINDS": "._model",
    "Backend": "._model",
    "Config": "._model",
    "ConfigError": "._model",
    "Customer": "._model",
    "Key": "._model",
    "Operation": "._model",
    "Record": "._model",
    "RequestClass": "._model",
    "Route": "._model",
    "SeedFile": "._model",
    "check_operations": "._model",
    "describe_validation": "._model",
    "OrderDispatcher": "._orders",
    "UsageRow": "._usage",
    "UsagePart": "._usage",
    "UsageLedger": "._usage",
    "decode_part": "._usage",
    "encode_part": "._usage",
    "WindowReporter": "._windows",
}

__all__ = [
    "ALIVE_TIME",
    "KINDS",
    "STATUS_LIFETIME_ROUNDS",
    "AgedRevision",
    "AlreadyClaimed",
    "Backend",
    "ClaimRegistry",
    "Claimed",
    "ClusterState",
    "CommitResult",
    "Config",
    "ConfigConflictError",
    "ConfigError",
    "ConfigReplica",
    "Customer",
    "DomainStatus",
    "DomainTable",
    "DutyLease",
    "Evacuations",
    "FleetAgent",
    "Heartbeat",
    "Key",
    "KnownPeer",
    "LoadUpdate",
    "Membership",
    "NodeStatus",
    "Operation",
    "OrderDispatcher",
    "OutgoingHeartbeat",
    "Peer",
    "PeerCheckedClock",
    "PeerMessenger",
    "PeerStatus",
    "PeerTable",
    "PullResponse",
    "Record",
    "RejectionNotice",
    "RequestClass",
    "Route",
    "SeedFile",
    "StateFreshness",
    "StatusMessage",
    "StoreWatcher",
    "StreamNotes",
    "StreamQuery",
    "UsageCounts",
    "UsageLedger",
    "UsagePart",
    "UsagePartWriter",
    "UsageReporter",
    "UsageRow",
    "WindowReporter",
    "check_operations",
    "decode_node",
    "decode_part",
    "describe_validation",
    "encode_node",
    "encode_part",
    "make_claim_key",
    "make_stored_response",
]


__getattr__ = make_lazy_getattr(__name__, _LAZY)
