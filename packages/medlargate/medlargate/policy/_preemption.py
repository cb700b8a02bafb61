"""Which running stream yields its slot to an urgent request."""

from __future__ import annotations

from ._pool import PoolState, Running
from ._types import Job

MAX_PREEMPTIONS = 3


def may_yield(state: PoolState, run: Running, job: Job, now: float) -> bool:
    """Tell whether a running stream may yield its slot to a waiting job.

    Parameters
    ----------
    state : PoolState
        The pool.
    run : Running
        The stream.
    job : Job
        The waiting request.
    now : float
        Seconds.

    Returns
    -------
    bool
        Only a stream of a lower tier whose first token has come yields or, within
        a class, one of a customer that offers far more than the others to one that
        does not; never a non-idempotent request.
    """
    victim = run.job
    if run.preempted or victim.n_preemptions >= MAX_PREEMPTIONS:
        return False
    if not victim.repeatable or victim.isolated or run.backend in job.excluded_backends:
        return False
    view = state.views.get(run.backend)
    if view is None or (view.cheap and not job.cheap_allowed):
        return False
    if victim.tier != job.tier:
        return run.delivering and victim.tier > job.tier
    if victim.class_name != job.class_name or victim.customer == job.customer:
        return False
    queue = state.lanes[job.class_name].queue
    heavy = queue.is_heavy(victim.customer, now)
    return heavy and not queue.is_heavy(job.customer, now)


def count_victims(state: PoolState, job: Job, now: float) -> int:
    """Count the streams that may yield to a job.

    Parameters
    ----------
    state : PoolState
        The pool.
    job : Job
        The waiting request.
    now : float
        Seconds.

    Returns
    -------
    int
        0 when preemption is off.
    """
    if not (state.options.preempt and state.options.fair):
        return 0
    return sum(may_yield(state, run, job, now) for run in state.running.values())


def find_victim(state: PoolState, job: Job, now: float) -> Running | None:
    """Find the stream that yields to a job.

    Parameters
    ----------
    state : PoolState
        The pool.
    job : Job
        The waiting request.
    now : float
        Seconds.

    Returns
    -------
    Running or None
        Of the lowest tier, the one that yielded least often and started last.
    """
    eligible = [
        run for run in state.running.values() if may_yield(state, run, job, now)
    ]
    return max(eligible, key=_yield_order, default=None)


def _yield_order(run: Running) -> tuple[int, int, float]:
    return (run.job.tier, -run.job.n_preemptions, run.started_at)
