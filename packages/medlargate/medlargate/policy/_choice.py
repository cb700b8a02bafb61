"""Choice of a backend server by expected first-token time."""

from __future__ import annotations

import random
from collections.abc import Iterable

from ._backends import PROBE_INTERVAL, BackendView
from ._types import Candidate, Job

LOAD_PENALTY = 0.5
MAX_EXCESS_LOAD = 0.25
CHEAP_BONUS = 0.97
REMOTE_PENALTY = 0.02  # seconds
TIE_SPREAD = 0.01
MAX_CANDIDATES = 32


def is_eligible(
    job: Job, view: BackendView, now: float, *, overflow: bool = False
) -> bool:
    """Tell whether a job may go to a backend server now.

    Parameters
    ----------
    job : Job
        The request.
    view : BackendView
        The server.
    now : float
        Seconds.
    overflow : bool, default=False
        It may go beyond this node's share.

    Returns
    -------
    bool
        False for excluded, full, leaving or forbidden servers.
    """
    if view.name in job.excluded_backends or (view.cheap and not job.cheap_allowed):
        return False
    if job.isolated and view.n_suspects:
        return False
    if overflow:
        return view.count_overflow_slots(now) > 0
    return view.count_free_slots(now) > 0


def _score(
    job: Job, view: BackendView, mean_load: float, domain: str, noise: float
) -> Candidate:
    limit = view.limit.get_limit()
    load = (view.in_flight + view.others) / limit
    cached = bool(job.prefix_hash) and job.prefix_hash in view.prefixes
    prefix = job.prefix_hash if load <= mean_load + MAX_EXCESS_LOAD else 0
    expected = view.predict_first_token(job.prompt_tokens, prefix)
    expected *= 1 + LOAD_PENALTY * load
    if view.cheap:
        expected *= CHEAP_BONUS
    if domain and view.failure_domain != domain:
        expected += REMOTE_PENALTY
    return Candidate(view.name, expected * (1 + TIE_SPREAD * noise), load, cached)


def rank_backends(
    job: Job,
    views: Iterable[BackendView],
    *,
    now: float,
    domain: str = "",
    overflow: bool = False,
    random_state: random.Random,
) -> tuple[Candidate, ...]:
    """Rank the backend servers that may take a job now.

    Parameters
    ----------
    job : Job
        The request.
    views : iterable of BackendView
        The pool's servers.
    now : float
        Seconds.
    domain : str, default=""
        This node's failure domain, which is preferred.
    overflow : bool, default=False
        The job may go beyond this node's share.
    random_state : random.Random
        Breaks ties, so that nodes with equal views don't choose alike.

    Returns
    -------
    tuple of Candidate
        Best first; empty when no server has room.

    Notes
    -----
    Of many servers a random sample of ``MAX_CANDIDATES`` is looked at, and those
    that have the prompt's prefix; all of them only when none of these has room.
    Affinity to a cached prefix counts only while the server's load exceeds the mean
    by no more than ``MAX_EXCESS_LOAD``.
    """
    views = list(views)
    eligible: list[BackendView] = []
    if len(views) > MAX_CANDIDATES:
        sample = random_state.sample(views, MAX_CANDIDATES)
        if job.prefix_hash:
            sample += [v for v in views if job.prefix_hash in v.prefixes][
                :MAX_CANDIDATES
            ]
        unique = {view.name: view for view in sample}.values()
        eligible = [v for v in unique if is_eligible(job, v, now, overflow=overflow)]
    if not eligible:
        eligible = [v for v in views if is_eligible(job, v, now, overflow=overflow)]
    if not eligible:
        return ()
    mean_load = sum(
        (v.in_flight + v.others) / v.limit.get_limit() for v in eligible
    ) / len(eligible)
    scored = [
        _score(job, view, mean_load, domain, random_state.random()) for view in eligible
    ]
    scored.sort(key=lambda candidate: candidate.expected_first_token)
    return tuple(scored)


def choose_probe_target(
    job: Job, views: Iterable[BackendView], now: float
) -> str | None:
    """Choose an ejected server to probe with a repeatable job.

    Parameters
    ----------
    job : Job
        A request that waits.
    views : iterable of BackendView
        The pool's servers.
    now : float
        Seconds.

    Returns
    -------
    str or None
        An ejected server that was not probed for ``PROBE_INTERVAL``.
    """
    if not job.repeatable or job.tier == 0 or job.isolated:
        return None
    for view in views:
        if (
            view.state != "ejected"
            or view.in_flight
            or view.name in job.excluded_backends
        ):
            continue
        if view.cheap and not job.cheap_allowed:
            continue
        if now >= view.down_until and now - view.probed_at >= PROBE_INTERVAL:
            return view.name
    return None
