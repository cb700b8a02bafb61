"""Pure decisions: admission, fairness, limits, routing, retries, quarantine.

Modules of the OpenAI interface's scheduler are imported when one of their names is
asked for, as in ``fleet``.
"""

from typing import TYPE_CHECKING

from .._lazy import make_lazy_getattr
from ._capacity import (
    CapacityOrder,
    ZoneEngines,
    decide_capacity,
    decide_full_demand,
)
from ._crash_marks import CrashMarks, make_request_mark
from ._demand import DecayingRate
from ._fleet_budget import RepeatBudget
from ._lanes import LONG_READING, find_short_lane, is_tight
from ._placement import (
    SHORT_SPREAD,
    Placement,
    ServerState,
    ServiceTimes,
    decide_placement,
    predict_first_token,
)
from ._shares import decide_quotas, decide_share, rank_by_hash
from ._verdict import Refusal, RequestStates, Verdict
from ._waiting import (
    WaitDecision,
    decide_wait,
    has_room,
    is_pressed,
    rank_waiting,
)

if TYPE_CHECKING:
    from ._backends import BackendView, decide_ejections
    from ._choice import decide_backend
    from ._crashes import (
        CrashDecision,
        CrashTracker,
        decide_separation,
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
    "decide_backend": "._choice",
    "CrashDecision": "._crashes",
    "CrashTracker": "._crashes",
    "decide_separation": "._crashes",
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
    "LONG_READING",
    "SHORT_SPREAD",
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
    "is_tight",
    "make_fingerprint",
    "make_request_mark",
    "predict_first_token",
    "rank_by_hash",
    "rank_waiting",
]

__getattr__ = make_lazy_getattr(__name__, _LAZY)
