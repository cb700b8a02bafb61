"""Requests that reach servers after the store has acknowledged that they leave."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from ._fleet import Arrival, Departure
from ._lost_requests import CONTACT_TIME, Fault
from ._traffic import CallRecord


def list_arrivals_after_departures(
    arrivals: Iterable[Arrival],
    departures: Iterable[Departure],
    calls: Iterable[CallRecord],
    faults: Sequence[Fault],
) -> list[tuple[float, str]]:
    """List the requests that reached servers that had left.

    Parameters
    ----------
    arrivals : iterable of Arrival
        Requests that reached the servers.
    departures : iterable of Departure
        Servers that left.
    calls : iterable of CallRecord
        Calls of all callers, which tell the node of each request.
    faults : sequence of Fault
        Planned work and disturbances. A node that was cut off from the store or
        disturbed otherwise is excused.

    Returns
    -------
    list of (float, str)
        Seconds from the store's acknowledgement, and a description of the request;
        the latest first.
    """
    nodes = {it.request_id: it.node for it in calls}
    by_server: dict[str, list[Departure]] = {}
    for departure in departures:
        by_server.setdefault(departure.server, []).append(departure)
    found = []
    for arrival in arrivals:
        for departure in by_server.get(arrival.server, ()):
            if not departure.acked_at < arrival.at < departure.ended_at:
                continue
            if not _is_excused(arrival, departure, nodes, faults):
                lag = arrival.at - departure.acked_at
                found.append(
                    (
                        lag,
                        f"{arrival.request_id} at {nodes[arrival.request_id]} reached "
                        f"{arrival.server} {lag:.2f} s after it left",
                    )
                )
    return sorted(found, reverse=True)


def _is_excused(
    arrival: Arrival,
    departure: Departure,
    nodes: Mapping[str, str],
    faults: Sequence[Fault],
) -> bool:
    node = nodes.get(arrival.request_id)
    since = departure.acked_at - CONTACT_TIME
    return node is None or any(
        node in fault.target.split(",") or not fault.target
        for fault in faults
        if (fault.kind == "store" or fault.excuses_requests)
        and fault.overlaps(since, arrival.at)
    )
