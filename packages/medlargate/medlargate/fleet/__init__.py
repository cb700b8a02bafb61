"""What the nodes share: configuration, membership, leases, usage, claims."""

from ._agent import Accepted, FleetAgent, Pulled
from ._beliefs import BeliefAge, Beliefs
from ._claims import (
    ClaimDesk,
    Claimed,
    Taken,
    make_claim_key,
    make_kept_answer,
)
from ._config import ConfigConflictError, ConfigReplica
from ._heartbeats import Facts, Heartbeat, Outgoing, Peer, Word
from ._leases import DutyLease
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
from ._peers import (
    KnownPeer,
    LoadNote,
    PeerTable,
    PeerTalk,
    PeerWord,
    decode_node,
    encode_node,
)
from ._true_time import TrueTime
from ._usage import Counts, Part, UsageLedger, decode_part, encode_part
from ._usage_counts import UsageCounts
from ._usage_duty import UsageDuty, UsageParts
from ._watching import StoreWatcher
from ._windows import WindowDesk

__all__ = [
    "KINDS",
    "Accepted",
    "Backend",
    "BeliefAge",
    "Beliefs",
    "ClaimDesk",
    "Claimed",
    "Config",
    "ConfigConflictError",
    "ConfigError",
    "ConfigReplica",
    "Counts",
    "Customer",
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
