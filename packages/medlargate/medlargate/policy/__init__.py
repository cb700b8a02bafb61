"""Pure decisions: admission, fairness, limits, routing, retries, quarantine."""

from ._backends import BackendView, decide_ejections
from ._capacity import (
    CapacityOrder,
    ZoneEngines,
    decide_capacity,
    decide_full_demand,
)
from ._choice import decide_backend
from ._crash_marks import CrashMarks, make_request_mark
from ._crashes import (
    CrashDecision,
    CrashTracker,
    decide_separation,
    make_fingerprint,
)
from ._demand import DecayingRate
from ._estimates import OutputEstimator
from ._fairness import FairQueue
from ._fleet_budget import RepeatBudget
from ._limits import ConcurrencyLimit
from ._placement import (
    Placement,
    ServerState,
    ServiceTimes,
    decide_placement,
    predict_first_token,
)
from ._pool import PoolOptions
from ._retries import RetryBudget, RetryDecision, decide_retry
from ._scaling import PoolLoad, PoolScaler, ScalingDecision
from ._scheduler import PoolScheduler
from ._shares import decide_quotas, decide_share, rank_by_hash
from ._types import Assignment, Candidate, Job, Preemption, Shed, compute_work
from ._verdict import Refusal, RequestStates, Verdict
from ._waiting import (
    LONG_READING,
    WaitDecision,
    decide_wait,
    find_short_lane,
    has_room,
    is_pressed,
    rank_waiting,
)

__all__ = [
    "LONG_READING",
    "Assignment",
    "BackendView",
    "Candidate",
    "CapacityOrder",
    "ConcurrencyLimit",
    "CrashDecision",
    "CrashMarks",
    "CrashTracker",
    "DecayingRate",
    "FairQueue",
    "Job",
    "OutputEstimator",
    "Placement",
    "PoolLoad",
    "PoolOptions",
    "PoolScaler",
    "PoolScheduler",
    "Preemption",
    "Refusal",
    "RepeatBudget",
    "RequestStates",
    "RetryBudget",
    "RetryDecision",
    "ScalingDecision",
    "ServerState",
    "ServiceTimes",
    "Shed",
    "Verdict",
    "WaitDecision",
    "ZoneEngines",
    "compute_work",
    "decide_backend",
    "decide_capacity",
    "decide_ejections",
    "decide_full_demand",
    "decide_placement",
    "decide_quotas",
    "decide_retry",
    "decide_separation",
    "decide_share",
    "decide_wait",
    "find_short_lane",
    "has_room",
    "is_pressed",
    "make_fingerprint",
    "make_request_mark",
    "predict_first_token",
    "rank_by_hash",
    "rank_waiting",
]
