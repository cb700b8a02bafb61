"""Ranking of backend servers by the expected time to the first token."""

from __future__ import annotations

import random
from collections.abc import Iterable

from ._backends import PROBE_INTERVAL, BackendView
from ._types import Candidate, Job

LOAD_PENALTY = 0.5
MAX_AFFINITY_EXCESS_LOAD = 0.25
CHEAP_FACTOR = 0.97
CROSS_DOMAIN_PENALTY = 0.02  # seconds
TIE_BREAK_NOISE = 0.01
MAX_CANDIDATES = 32


def is_eligible(
    job: Job, view: BackendView, now: float, *, overflow: bool = False
) -> bool:
    """Return whether a job may be dispatched to a backend server now.

    Parameters
    ----------
    job : Job
        Request to be dispatched.
    view : BackendView
        State of the backend server.
    now : float
        Current time, in seconds.
    overflow : bool, default=False
        Whether the job may exceed this node's share of the server.

    Returns
    -------
    bool
        False when the job excludes the server or may not run on spot instances,
        when the server is full or unavailable, and when both the job and a request
        in flight there are suspected of crashing servers.
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
    prefix = job.prefix_hash if load <= mean_load + MAX_AFFINITY_EXCESS_LOAD else 0
    expected = view.predict_first_token(job.prompt_tokens, prefix)
    expected *= 1 + LOAD_PENALTY * load
    if view.cheap:
        expected *= CHEAP_FACTOR
    if domain and view.failure_domain != domain:
        expected += CROSS_DOMAIN_PENALTY
    return Candidate(view.name, expected * (1 + TIE_BREAK_NOISE * noise), load, cached)


def rank_backends(
    job: Job,
    views: Iterable[BackendView],
    *,
    now: float,
    domain: str = "",
    overflow: bool = False,
    random_state: random.Random,
) -> tuple[Candidate, ...]:
    """Rank the backend servers that are eligible for a job now.

    Parameters
    ----------
    job : Job
        Request to be dispatched.
    views : iterable of BackendView
        The pool's backend servers.
    now : float
        Current time, in seconds.
    domain : str, default=""
        This node's failure domain, whose servers are preferred; empty for no
        preference.
    overflow : bool, default=False
        Whether the job may exceed this node's share of a server.
    random_state : random.Random
        Random number generator that samples the candidates and breaks ties, so
        that nodes with equal views don't all choose the same server.

    Returns
    -------
    tuple of Candidate
        Eligible servers in ascending order of the expected time to the first token;
        empty when there are none.

    Notes
    -----
    In a pool of more than ``MAX_CANDIDATES`` servers, only a random sample of that
    size and the servers that cache the prompt's prefix are scored. The whole pool
    is scored only when none of these is eligible. A cached prefix lowers a server's
    score only while the server's load exceeds the mean load by no more than
    ``MAX_AFFINITY_EXCESS_LOAD``.
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
    """Choose an ejected server to probe with a waiting job.

    Parameters
    ----------
    job : Job
        Waiting request. Requests that must not be retried, suspects and requests of
        the highest tier are not used as probes.
    views : iterable of BackendView
        The pool's backend servers.
    now : float
        Current time, in seconds.

    Returns
    -------
    str or None
        Name of an idle ejected server that was not probed within the last
        ``PROBE_INTERVAL`` seconds; None when there is none.
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
