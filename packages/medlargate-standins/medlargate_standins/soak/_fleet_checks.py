"""Invariants of what all nodes of a soak send to the servers together."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ._fleet import Arrival

CONTACT_TIME = 3.0  # seconds without a fault until nodes have to act together
MAX_CRASHES = 5  # crashed servers after which a prompt part has to be blocked
MAX_LATE_REQUESTS = 3  # further requests with the part
LIMIT_WINDOW = 4.0  # seconds
TOLD_DELAY = 0.5  # seconds after the first answer with a limit


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Fault of a node, or of its path to the store.

    Attributes
    ----------
    node : str
        Name of the node; empty for all nodes.
    started_at, ended_at : float
        Times on the monotonic clock, in seconds.
    is_of_store : bool
        Whether only the store or the path to it is affected.
    """

    node: str
    started_at: float
    ended_at: float
    is_of_store: bool = False


def find_fleet_violations(
    arrivals: Sequence[Arrival], disturbances: Sequence[Disturbance]
) -> list[str]:
    """Check crashes, versions and limits on the requests that reached the servers.

    Parameters
    ----------
    arrivals : sequence of Arrival
        Requests in the order of their arrival.
    disturbances : sequence of Disturbance
        Faults of nodes and of the store.

    Returns
    -------
    list of str
        Description of each violation.
    """
    violations = _check_crashes(arrivals, disturbances) + _check_versions(arrivals)
    for server in sorted({it.server for it in arrivals}):
        rows = [it for it in arrivals if it.server == server]
        violations += _check_limits(server, rows, disturbances)
    return violations


def _is_undisturbed(
    node: str, since: float, until: float, disturbances: Iterable[Disturbance]
) -> bool:
    return not any(
        it.node in ("", node) and it.started_at <= until and it.ended_at >= since
        for it in disturbances
    )


def _check_crashes(
    arrivals: Sequence[Arrival], disturbances: Sequence[Disturbance]
) -> list[str]:
    crashing = [it for it in arrivals if it.crashes]
    if len(crashing) < MAX_CRASHES:
        return []
    since = crashing[MAX_CRASHES - 1].at + CONTACT_TIME
    late = [
        it
        for it in crashing
        if it.at > since
        and _is_undisturbed(it.node, it.at - CONTACT_TIME, it.at, disturbances)
    ]
    if len(late) <= MAX_LATE_REQUESTS:
        return []
    return [f"{len(late)} requests with a part on which {MAX_CRASHES} servers crashed"]


def _check_versions(arrivals: Sequence[Arrival]) -> list[str]:
    """Check that streams go on only at the version that began them."""
    began_at: dict[str, str] = {}
    violations = []
    for arrival in arrivals:
        if not arrival.goes_on:
            began_at[arrival.request_id] = arrival.version
        elif began_at.get(arrival.stream_id, arrival.version) != arrival.version:
            violations.append(
                f"{arrival.request_id} began at {began_at[arrival.stream_id]} and was "
                f"sent to {arrival.version}"
            )
    return violations


def _check_limits(
    server: str, arrivals: Sequence[Arrival], disturbances: Sequence[Disturbance]
) -> list[str]:
    """Check each period in which a server named one limit."""
    # Limits concern only nodes and servers.
    disturbances = [it for it in disturbances if not it.is_of_store]
    violations = []
    period: list[Arrival] = []
    for arrival in arrivals:
        if period and arrival.max_rate != period[-1].max_rate:
            violations += _check_period(server, period, disturbances)
            period = []
        if arrival.max_rate is not None:
            period.append(arrival)
    return violations + (_check_period(server, period, disturbances) if period else [])


def _check_period(
    server: str, period: Sequence[Arrival], disturbances: Sequence[Disturbance]
) -> list[str]:
    max_rate = period[0].max_rate
    assert max_rate is not None
    started_at = period[0].at
    told_at: dict[str, float] = {}
    for arrival in period:
        told_at.setdefault(arrival.node, arrival.at)
    # A restart, freeze or cut since the node was told excuses it.
    counted = [
        it.at
        for it in period
        if it.at > told_at[it.node] + TOLD_DELAY
        and it.at > started_at + CONTACT_TIME
        and _is_undisturbed(it.node, started_at - CONTACT_TIME, it.at, disturbances)
    ]
    n_most = max(
        (sum(at <= it < at + LIMIT_WINDOW for it in counted) for at in counted),
        default=0,
    )
    if n_most <= 1.5 * max_rate * LIMIT_WINDOW + 5:
        return []
    return [f"{server} got {n_most} requests in a window at a limit of {max_rate}"]
