"""Pure decisions: admission, fairness, limits, routing, retries, quarantine."""

from ._backends import BackendView, decide_ejections
from ._choice import decide_backend
from ._crashes import (
    CrashDecision,
    CrashTracker,
    decide_separation,
    make_fingerprint,
)
from ._demand import DecayingRate
from ._estimates import OutputEstimator
from ._fairness import FairQueue
from ._limits import ConcurrencyLimit
from ._pool import PoolOptions
from ._retries import RetryBudget, RetryDecision, decide_retry
from ._scaling import PoolLoad, PoolScaler, ScalingDecision
from ._scheduler import PoolScheduler
from ._shares import decide_quotas, decide_share, rank_by_hash
from ._types import Assignment, Candidate, Job, Preemption, Shed, compute_work
from ._verdict import Refusal, RequestStates, Verdict

__all__ = [
    "Assignment",
    "BackendView",
    "Candidate",
    "ConcurrencyLimit",
    "CrashDecision",
    "CrashTracker",
    "DecayingRate",
    "FairQueue",
    "Job",
    "OutputEstimator",
    "PoolLoad",
    "PoolOptions",
    "PoolScaler",
    "PoolScheduler",
    "Preemption",
    "Refusal",
    "RequestStates",
    "RetryBudget",
    "RetryDecision",
    "ScalingDecision",
    "Shed",
    "Verdict",
    "compute_work",
    "decide_backend",
    "decide_ejections",
    "decide_quotas",
    "decide_retry",
    "decide_separation",
    "decide_share",
    "make_fingerprint",
    "rank_by_hash",
]
