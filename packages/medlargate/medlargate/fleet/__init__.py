"""What the nodes share: configuration, membership, leases, usage, claims.

Modules that a node on the users' platform does not need are imported when one of their
names is asked for: they are a fifth of the processor time of a node's start, which
callers wait for after all nodes were stopped.
"""

from typing import TYPE_CHECKING

from .._lazy import make_lazy_getattr
from ._beliefs import BeliefAge, Beliefs
from ._domains import LIFETIME_ROUNDS, DomainTable
from ._leases import DutyLease
from ._peer_words import (
    BeliefWord,
    DomainWord,
    LoadNote,
    PeerWord,
    decode_node,
    encode_node,
)
from ._peers import KnownPeer, PeerTable, PeerTalk
from ._true_time import TrueTime
from ._usage_counts import UsageCounts
from ._usage_duty import UsageDuty, UsageParts
from ._watching import StoreWatcher

if TYPE_CHECKING:
    from ._agent import Accepted, FleetAgent, Pulled
    from ._claims import ClaimDesk, Claimed, Taken, make_claim_key, make_kept_answer
    from ._config import ConfigConflictError, ConfigReplica
    from ._heartbeats import Facts, Heartbeat, Outgoing, Peer, Word
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
    from ._orders import OrderDesk
    from ._usage import Counts, Part, UsageLedger, decode_part, encode_part
    from ._windows import WindowDesk

_LAZY = {
    "Accepted": "._agent",
    "FleetAgent": "._agent",
    "Pulled": "._agent",
    "ClaimDesk": "._claims",
    "Claimed": "._claims",
    "Taken": "._claims",
    "make_claim_key": "._claims",
    "make_kept_answer": "._claims",
    "ConfigConflictError": "._config",
    "ConfigReplica": "._config",
    "Facts": "._heartbeats",
    "Heartbeat": "._heartbeats",
    "Outgoing": "._heartbeats",
    "Peer": "._heartbeats",
    "Word": "._heartbeats",
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
    "OrderDesk": "._orders",
    "Counts": "._usage",
    "Part": "._usage",
    "UsageLedger": "._usage",
    "decode_part": "._usage",
    "encode_part": "._usage",
    "WindowDesk": "._windows",
}

__all__ = [
    "KINDS",
    "LIFETIME_ROUNDS",
    "Accepted",
    "Backend",
    "BeliefAge",
    "BeliefWord",
    "Beliefs",
    "ClaimDesk",
    "Claimed",
    "Config",
    "ConfigConflictError",
    "ConfigError",
    "ConfigReplica",
    "Counts",
    "Customer",
    "DomainTable",
    "DomainWord",
    "DutyLease",
    "Facts",
    "FleetAgent",
    "Heartbeat",
    "Key",
    "KnownPeer",
    "LoadNote",
    "Membership",
    "Operation",
    "OrderDesk",
    "Outgoing",
    "Part",
    "Peer",
    "PeerTable",
    "PeerTalk",
    "PeerWord",
    "Pulled",
    "Record",
    "RequestClass",
    "Route",
    "SeedFile",
    "StoreWatcher",
    "Taken",
    "TrueTime",
    "UsageCounts",
    "UsageDuty",
    "UsageLedger",
    "UsageParts",
    "WindowDesk",
    "Word",
    "check_operations",
    "decode_node",
    "decode_part",
    "describe_validation",
    "encode_node",
    "encode_part",
    "make_claim_key",
    "make_kept_answer",
]


__getattr__ = make_lazy_getattr(__name__, _LAZY)
