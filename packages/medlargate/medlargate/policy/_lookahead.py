"""Predictions of waiting times and of missed first-token deadlines."""

from __future__ import annotations

from itertools import islice

from ._pool import ClassQueue, PoolState
from ._preemption import count_preemptible
from ._types import Job

MIN_RATE_FRACTION = 0.02
MAX_SAMPLED_BACKENDS = 16  # backend servers
FIRST_TOKEN_MARGIN = 1.1


def compute_latest_start(state: PoolState, job: Job) -> float:
    """Compute the latest dispatch time at which a job meets its deadline.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    job : Job
        Request whose first token has a deadline.

    Returns
    -------
    float
        Time in seconds on the scheduler's clock. If the option ``fair`` is off, the
        deadline itself.
    """
    if not state.options.fair:
        return job.deadline
    views = state.views.values()
    if len(state.views) > MAX_SAMPLED_BACKENDS:
        views = islice(views, MAX_SAMPLED_BACKENDS)
    expected = [
        view.predict_first_token(job.prompt_tokens, job.prefix_hash)
        for view in views
        if view.states.attributes["accepts"]
    ]
    return job.deadline - min(expected, default=0.0) * FIRST_TOKEN_MARGIN


def count_own_slots(state: PoolState, now: float) -> int:
    """Count the slots that this node may use.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    now : float
        Current time in seconds.

    Returns
    -------
    int
        Sum of this node's shares over all available backend servers.
    """
    return sum(
        view.limit.get_limit() if view.share is None else view.share
        for view in state.views.values()
        if view.is_available(now)
    )


def count_free_slots(state: PoolState, now: float, *, stop_above: float) -> int:
    """Count the free slots of this node, until a number is exceeded.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    now : float
        Current time in seconds.
    stop_above : float
        Number of slots above which counting stops. With hundreds of servers, the
        first few usually have enough free slots.

    Returns
    -------
    int
        Total number of free slots, or a partial count greater than ``stop_above``.
    """
    n_free = 0
    for view in state.views.values():
        n_free += max(0, view.count_free_slots(now))
        if n_free > stop_above:
            break
    return n_free


def compute_drain_rate(state: PoolState, tier: int, now: float) -> float:
    """Estimate the rate at which requests of a tier are dispatched.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    tier : int
        Tier whose rate is estimated. The arrival rates of higher tiers are
        subtracted.
    now : float
        Current time in seconds.

    Returns
    -------
    float
        Dispatches per second; infinity before the first measured duration.
    """
    measured = [demand for demand in state.demand_by_tier.values() if demand.duration]
    if not measured:
        return float("inf")
    n_running = sum(demand.n_in_flight for demand in measured)
    n_slots = count_own_slots(state, now)
    if n_running:
        completion_rate = sum(d.n_in_flight / d.duration for d in measured)
        rate = completion_rate * n_slots / n_running
    else:
        rate = n_slots / max(d.duration for d in measured)
    higher_rate = sum(
        demand.arrival_rate.get_rate(now)
        for other, demand in state.demand_by_tier.items()
        if other < tier
    )
    return max(rate - higher_rate, rate * MIN_RATE_FRACTION, 1e-9)


def may_displace_others(state: PoolState, job: Job, now: float) -> bool:
    """Return whether a job may use preemption and overflow when it is urgent.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    job : Job
        Request to check.
    now : float
        Current time in seconds.

    Returns
    -------
    bool
        True for the highest tier with recent arrivals if lower tiers have some too.
        Within a class, also True for a customer that is not heavy while another one
        is, that is, while its offered load far exceeds that of the others.
    """
    if not state.options.fair:
        return False
    queue = state.get_class_queue(job).requests
    if queue.has_heavy_customers(now) and not queue.is_heavy(job.customer, now):
        return True
    present = [
        t for t, d in state.demand_by_tier.items() if d.arrival_rate.get_rate(now) > 0.1
    ]
    is_highest = all(tier >= job.tier for tier in present)
    return is_highest and any(tier > job.tier for tier in present)


def count_urgent_slots(state: PoolState, job: Job, now: float) -> int:
    """Count the slots that an urgent job could use beyond the free ones.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    job : Job
        Request that needs a slot.
    now : float
        Current time in seconds.

    Returns
    -------
    int
        Number of preemptible streams and overflow slots; 0 if the job may use neither.
    """
    if not may_displace_others(state, job, now):
        return 0
    n_slots = count_preemptible(state, job, now)
    if state.options.overflow:
        n_slots += sum(view.count_overflow_slots(now) for view in state.views.values())
    return n_slots


def compute_wait(
    state: PoolState, job: Job, class_queue: ClassQueue, now: float
) -> float:
    """Estimate the waiting time of a new job.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    job : Job
        Request that is not queued yet.
    class_queue : ClassQueue
        Queue of the request's class.
    now : float
        Current time in seconds.

    Returns
    -------
    float
        Expected waiting time in seconds.
    """
    n_ahead = class_queue.requests.count_ahead(job)
    n_ahead += sum(
        len(other.requests)
        for other in state.class_queues.values()
        if other is not class_queue and other.tier <= job.tier
    )
    n_slots = count_free_slots(state, now, stop_above=n_ahead)
    if n_ahead < n_slots:
        return 0.0
    n_slots += count_urgent_slots(state, job, now)
    if n_ahead < n_slots:
        return 0.0
    return (n_ahead - n_slots + 1) / compute_drain_rate(state, job.tier, now)


def has_slack(state: PoolState, tier: int, now: float) -> bool:
    """Return whether a dispatch of a tier would make no higher tier miss a deadline.

    Parameters
    ----------
    state : PoolState
        State of the pool.
    tier : int
        Tier to dispatch from out of turn.
    now : float
        Current time in seconds.

    Returns
    -------
    bool
        False if a higher tier waits on another node, if a waiting request of a higher
        tier would miss its latest start, or if a higher tier waits here and no
        duration has been measured yet.
    """
    if any(n and other < tier for other, n in state.remote_waiting.items()):
        return False
    higher_jobs = [
        job
        for class_queue in state.class_queues.values()
        if class_queue.tier < tier
        for job in class_queue.requests
    ]
    if not higher_jobs:
        return True
    rate = compute_drain_rate(state, min(job.tier for job in higher_jobs), now)
    if rate == float("inf"):
        return False
    latest_starts = sorted(compute_latest_start(state, job) for job in higher_jobs)
    return all(
        now + (rank + 2) / rate <= latest_start
        for rank, latest_start in enumerate(latest_starts)
    )
