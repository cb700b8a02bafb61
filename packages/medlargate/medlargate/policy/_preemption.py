"""Choice of the running stream that is preempted for an urgent request."""

from __future__ import annotations

from ._pool import PoolState, RunningJob
from ._types import Job

MAX_PREEMPTIONS = 3


def is_preemptible(state: PoolState, run: RunningJob, job: Job, now: float) -> bool:
    """Return whether a running stream may be preempted for a waiting job.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    run : RunningJob
        Running stream.
    job : Job
        Waiting request.
    now : float
        Current time in seconds.

    Returns
    -------
    bool
        True for a stream of a lower tier that has delivered its first token. Within
        a class, True for a stream of a heavy customer, whose offered load far exceeds
        that of the others, if the customer of the waiting job is not heavy. Always
        False for requests that are not idempotent.
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
        return run.has_first_token and victim.tier > job.tier
    if victim.class_name != job.class_name or victim.customer == job.customer:
        return False
    queue = state.class_queues[job.class_name].requests
    heavy = queue.is_heavy(victim.customer, now)
    return heavy and not queue.is_heavy(job.customer, now)


def count_preemptible(state: PoolState, job: Job, now: float) -> int:
    """Count the running streams that may be preempted for a job.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    job : Job
        Waiting request.
    now : float
        Current time in seconds.

    Returns
    -------
    int
        Number of streams; 0 if preemption is disabled.
    """
    if not (state.options.preempt and state.options.fair):
        return 0
    return sum(is_preemptible(state, run, job, now) for run in state.running.values())


def find_victim(state: PoolState, job: Job, now: float) -> RunningJob | None:
    """Find the stream to preempt for a job.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    job : Job
        Waiting request.
    now : float
        Current time in seconds.

    Returns
    -------
    RunningJob or None
        Stream of the lowest tier; among those, the one with the fewest preemptions
        and then the latest start. None if no stream may be preempted.
    """
    eligible = [
        run for run in state.running.values() if is_preemptible(state, run, job, now)
    ]
    return max(eligible, key=_preemption_order, default=None)


def _preemption_order(run: RunningJob) -> tuple[int, int, float]:
    return (run.job.tier, -run.job.n_preemptions, run.started_at)
