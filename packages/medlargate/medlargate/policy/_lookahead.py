"""How long a request would wait, and whether it would come too late."""

from __future__ import annotations

from itertools import islice

from ._pool import ClassLane, PoolState
from ._preemption import count_victims
from ._types import Job

MIN_RATE_FRACTION = 0.02
MAX_LOOKED_AT = 16  # backend servers
FIRST_TOKEN_MARGIN = 1.1


def compute_latest_start(state: PoolState, job: Job) -> float:
    """Compute when a job must be dispatched to meet its first-token target.

    Parameters
    ----------
    state : PoolState
        The pool.
    job : Job
        The request.

    Returns
    -------
    float
        Seconds on the policy's clock.
    """
    if not state.options.fair:
        return job.deadline
    views = state.views.values()
    if len(state.views) > MAX_LOOKED_AT:
        views = islice(views, MAX_LOOKED_AT)
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
        The pool.
    now : float
        Seconds.

    Returns
    -------
    int
        Over all backend servers that take work.
    """
    return sum(
        view.limit.get_limit() if view.share is None else view.share
        for view in state.views.values()
        if view.is_available(now)
    )


def count_free(state: PoolState, now: float, *, enough: float) -> int:
    """Count the free slots of this node, up to a number.

    Parameters
    ----------
    state : PoolState
        The pool.
    now : float
        Seconds.
    enough : float
        Stop counting here: of hundreds of servers the first few mostly do.

    Returns
    -------
    int
        Over all backend servers.
    """
    n_free = 0
    for view in state.views.values():
        n_free += max(0, view.count_free_slots(now))
        if n_free > enough:
            break
    return n_free


def compute_drain_rate(state: PoolState, tier: int, now: float) -> float:
    """Estimate the dispatches per second that a tier can count on.

    Parameters
    ----------
    state : PoolState
        The pool.
    tier : int
        The tier; the arrivals of higher ones are taken off.
    now : float
        Seconds.

    Returns
    -------
    float
        Dispatches per second; infinity before the first measurement.
    """
    measured = [demand for demand in state.tiers.values() if demand.duration]
    if not measured:
        return float("inf")
    n_running = sum(demand.n_in_flight for demand in measured)
    n_slots = count_own_slots(state, now)
    if n_running:
        ends = sum(d.n_in_flight / d.duration for d in measured)
        rate = ends * n_slots / n_running
    else:
        rate = n_slots / max(d.duration for d in measured)
    higher = sum(
        demand.arrival_rate.get_rate(now)
        for other, demand in state.tiers.items()
        if other < tier
    )
    return max(rate - higher, rate * MIN_RATE_FRACTION, 1e-9)


def is_privileged(state: PoolState, job: Job, now: float) -> bool:
    """Tell whether running work may be put behind a job when it is urgent.

    Parameters
    ----------
    state : PoolState
        The pool.
    job : Job
        The request.
    now : float
        Seconds.

    Returns
    -------
    bool
        True for the highest tier present while lower ones are, and within one
        tier for customers within their share while another is far beyond it.
    """
    if not state.options.fair:
        return False
    queue = state.find_lane(job).queue
    if queue.has_heavy(now) and not queue.is_heavy(job.customer, now):
        return True
    present = [t for t, d in state.tiers.items() if d.arrival_rate.get_rate(now) > 0.1]
    is_highest = all(tier >= job.tier for tier in present)
    return is_highest and any(tier > job.tier for tier in present)


def count_relief(state: PoolState, job: Job, now: float) -> int:
    """Count the places that a job could get beyond the free slots.

    Parameters
    ----------
    state : PoolState
        The pool.
    job : Job
        The request.
    now : float
        Seconds.

    Returns
    -------
    int
        Streams that may yield, and room for urgent requests.
    """
    if not is_privileged(state, job, now):
        return 0
    relief = count_victims(state, job, now)
    if state.options.overflow:
        relief += sum(view.count_overflow_slots(now) for view in state.views.values())
    return relief


def compute_wait(state: PoolState, job: Job, lane: ClassLane, now: float) -> float:
    """Estimate how long a new job would wait.

    Parameters
    ----------
    state : PoolState
        The pool.
    job : Job
        A request that does not wait yet.
    lane : ClassLane
        Its class.
    now : float
        Seconds.

    Returns
    -------
    float
        Seconds.
    """
    ahead = lane.queue.count_ahead(job)
    ahead += sum(
        len(other.queue)
        for other in state.lanes.values()
        if other is not lane and other.tier <= job.tier
    )
    n_places = count_free(state, now, enough=ahead)
    if ahead < n_places:
        return 0.0
    n_places += count_relief(state, job, now)
    if ahead < n_places:
        return 0.0
    return (ahead - n_places + 1) / compute_drain_rate(state, job.tier, now)


def has_slack(state: PoolState, tier: int, now: float) -> bool:
    """Tell whether one more dispatch of a tier delays no higher one too far.

    Parameters
    ----------
    state : PoolState
        The pool.
    tier : int
        The tier that would be served from slack.
    now : float
        Seconds.

    Returns
    -------
    bool
        False when a higher tier waits elsewhere, or when one of the waiting
        requests of a higher tier would miss its latest start.
    """
    if any(n and other < tier for other, n in state.remote_waiting.items()):
        return False
    higher = [
        job for lane in state.lanes.values() if lane.tier < tier for job in lane.queue
    ]
    if not higher:
        return True
    rate = compute_drain_rate(state, min(job.tier for job in higher), now)
    if rate == float("inf"):
        return False
    starts = sorted(compute_latest_start(state, job) for job in higher)
    return all(now + (rank + 2) / rate <= start for rank, start in enumerate(starts))
