"""Decisions without I/O: admission, fairness, limits, routing, retries, quarantine.

The modules of the OpenAI interface's scheduler are imported lazily, on first access to
one of their names, as in the package ``fleet``.
"""

from typing import TYPE_CHECKING

from .._lazy import make_lazy_getattr
from ._brittle import (
    MAX_TRIAL_INTERVAL,
    SlotCapacity,
    draw_rejection_pause,
    has_brittle_room,
)
from ._caller_limits import (
    ConnectionLimits,
    compute_caller_bytes,
    compute_socket_buffer,
    divide_descriptors,
    is_mostly_framing,
)
from ._caller_memory import Holding, choose_evicted
from ._capacity import (
    CapacityOrder,
    ZoneEngines,
    compute_max_demand,
    decide_capacity,
)
from ._cold_servers import ColdShare, decide_cold_end, decide_cold_share
from ._confinement import choose_confined_servers
from ._crash_history import CrashHistory, SoundRequests, make_request_digest
from ._customer_shares import (
    CustomerShares,
    choose_reported_consumers,
    compute_share_rank,
    is_over_share,
)
from ._demand import DecayingRate
from ._domain_spill import (
    ClassLoad,
    DomainLoad,
    LinkTimes,
    PrefixTrips,
    SpillOptions,
    SpillPlan,
    choose_destination,
    compute_use,
    decide_spill,
    select_candidates,
)
from ._fill_limits import FillLimits, choose_fill_limits
from ._fleet_budget import FleetRetryBudget
from ._forwarding import ForwardPeer, choose_forward_peer
from ._part_crashes import BLOCK_TIME, PartCrashes, PartReport, Suspicion
from ._placement import (
    CROSS_DOMAIN_COST_PER_BYTE,
    SHORT_PROMPT_JITTER,
    Placement,
    ResponseLimits,
    ServerState,
    ServiceTimes,
    decide_placement,
    predict_first_token,
    predict_pause,
)
from ._prefill_isolation import (
    LONG_PREFILL_TIME,
    SlowEngines,
    choose_short_prompt_engines,
    is_prefill_sensitive,
)
from ._rate_limits import (
    TokenBucket,
    TokenDemand,
    TokenSupply,
    decide_rate,
    predict_token_wait,
)
from ._reachability import (
    OpenAttempt,
    ReachEvidence,
    choose_probed_services,
    compute_recheck_pause,
    is_abandoned,
    list_silent_servers,
)
from ._return_times import QueueClass, ReturnTimes, ServedRates
from ._server_room import (
    FULL_SHARE,
    LINGER_TIME,
    SUSPECT_SHARE,
    TRANSIT_TIME,
    HeldRequest,
    OutputLengths,
    compute_memory_bound,
    count_held,
    count_shared,
    count_started,
    count_turns_ahead,
    fits,
    fits_class,
    has_turn,
    may_reserve,
    predict_least_release,
    should_announce,
)
from ._server_speed import (
    ProbeBudget,
    ServerSpeed,
    SpeedEstimate,
    choose_similar,
    compute_late_probability,
    select_speeds,
)
from ._shares import decide_quotas, decide_share, rank_by_hash
from ._stopping import StopSchedule
from ._stream_versions import (
    VERSION_LIFETIME,
    StreamOrigin,
    VersionHistory,
    agrees_with_fleet,
    choose_origin_keepers,
)
from ._verdict import Refusal, RequestStates, Verdict
from ._waiting import (
    WaitDecision,
    accepts_any_server,
    decide_wait,
    has_capacity,
    make_queue_key,
)

if TYPE_CHECKING:
    from ._backends import BackendView, decide_ejections
    from ._choice import rank_backends
    from ._crashes import (
        CrashDecision,
        CrashTracker,
        decide_suspect_placement,
        make_fingerprint,
    )
    from ._estimates import OutputEstimator
    from ._fairness import FairQueue
    from ._limits import ConcurrencyLimit
    from ._pool import PoolOptions
    from ._retries import RetryBudget, RetryDecision, decide_retry
    from ._scaling import PoolLoad, PoolScaler, ScalingDecision
    from ._scheduler import PoolScheduler
    from ._types import Assignment, Candidate, Job, Preemption, Shed, compute_work

_LAZY = {
    "BackendView": "._backends",
    "decide_ejections": "._backends",
    "rank_backends": "._choice",
    "CrashDecision": "._crashes",
    "CrashTracker": "._crashes",
    "decide_suspect_placement": "._crashes",
    "make_fingerprint": "._crashes",
    "OutputEstimator": "._estimates",
    "FairQueue": "._fairness",
    "ConcurrencyLimit": "._limits",
    "PoolOptions": "._pool",
    "RetryBudget": "._retries",
    "RetryDecision": "._retries",
    "decide_retry": "._retries",
    "PoolLoad": "._scaling",
    "PoolScaler": "._scaling",
    "ScalingDecision": "._scaling",
    "PoolScheduler": "._scheduler",
    "Assignment": "._types",
    "Candidate": "._types",
    "Job": "._types",
    "Preemption": "._types",
    "Shed": "._types",
    "compute_work": "._types",
}

__all__ = [
    "BLOCK_TIME",
    "CROSS_DOMAIN_COST_PER_BYTE",
    "FULL_SHARE",
    "LINGER_TIME",
    "LONG_PREFILL_TIME",
    "MAX_TRIAL_INTERVAL",
    "SHORT_PROMPT_JITTER",
    "SUSPECT_SHARE",
    "TRANSIT_TIME",
    "VERSION_LIFETIME",
    "Assignment",
    "BackendView",
    "Candidate",
    "CapacityOrder",
    "ClassLoad",
    "ColdShare",
    "ConcurrencyLimit",
    "ConnectionLimits",
    "CrashDecision",
    "CrashHistory",
    "CrashTracker",
    "CustomerShares",
    "DecayingRate",
    "DomainLoad",
    "FairQueue",
    "FillLimits",
    "FleetRetryBudget",
    "ForwardPeer",
    "HeldRequest",
    "Holding",
    "Job",
    "LinkTimes",
    "OpenAttempt",
    "OutputEstimator",
    "OutputLengths",
    "PartCrashes",
    "PartReport",
    "Placement",
    "PoolLoad",
    "PoolOptions",
    "PoolScaler",
    "PoolScheduler",
    "Preemption",
    "PrefixTrips",
    "ProbeBudget",
    "QueueClass",
    "ReachEvidence",
    "Refusal",
    "RequestStates",
    "ResponseLimits",
    "RetryBudget",
    "RetryDecision",
    "ReturnTimes",
    "ScalingDecision",
    "ServedRates",
    "ServerSpeed",
    "ServerState",
    "ServiceTimes",
    "Shed",
    "SlotCapacity",
    "SlowEngines",
    "SoundRequests",
    "SpeedEstimate",
    "SpillOptions",
    "SpillPlan",
    "StopSchedule",
    "StreamOrigin",
    "Suspicion",
    "TokenBucket",
    "TokenDemand",
    "TokenSupply",
    "Verdict",
    "VersionHistory",
    "WaitDecision",
    "ZoneEngines",
    "accepts_any_server",
    "agrees_with_fleet",
    "choose_confined_servers",
    "choose_destination",
    "choose_evicted",
    "choose_fill_limits",
    "choose_forward_peer",
    "choose_origin_keepers",
    "choose_probed_services",
    "choose_reported_consumers",
    "choose_short_prompt_engines",
    "choose_similar",
    "compute_caller_bytes",
    "compute_late_probability",
    "compute_max_demand",
    "compute_memory_bound",
    "compute_recheck_pause",
    "compute_share_rank",
    "compute_socket_buffer",
    "compute_use",
    "compute_work",
    "count_held",
    "count_shared",
    "count_started",
    "count_turns_ahead",
    "decide_capacity",
    "decide_cold_end",
    "decide_cold_share",
    "decide_ejections",
    "decide_placement",
    "decide_quotas",
    "decide_rate",
    "decide_retry",
    "decide_share",
    "decide_spill",
    "decide_suspect_placement",
    "decide_wait",
    "divide_descriptors",
    "draw_rejection_pause",
    "fits",
    "fits_class",
    "has_brittle_room",
    "has_capacity",
    "has_turn",
    "is_abandoned",
    "is_mostly_framing",
    "is_over_share",
    "is_prefill_sensitive",
    "list_silent_servers",
    "make_fingerprint",
    "make_queue_key",
    "make_request_digest",
    "may_reserve",
    "predict_first_token",
    "predict_least_release",
    "predict_pause",
    "predict_token_wait",
    "rank_backends",
    "rank_by_hash",
    "select_candidates",
    "select_speeds",
    "should_announce",
]

__getattr__ = make_lazy_getattr(__name__, _LAZY)
