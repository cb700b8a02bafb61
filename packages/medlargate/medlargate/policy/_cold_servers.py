"""Requests for servers that have just started and bear only a low rate.

Load pattern: a server starts, or the servers of an evacuated failure domain return,
while every node of the fleet has requests for it. Each node prefers the idle server,
and none sees what the others send.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from ._shares import rank_by_hash

# Part of the requests between the target and the bound that regular senders may use.
# The rest is for late starters that not all nodes know of, and for requests that a slow
# link delivers together.
SENDER_FRACTION = 0.5
# The smallest rate used for a bound that leaves no room for a burst.
MIN_COLD_RATE = 0.5  # requests a second


@dataclass(frozen=True, slots=True)
class ColdShare:
    """Share of a node in the rate of a cold server.

    Attributes
    ----------
    rate : float
        Requests a second; 0 if other nodes share the rate.
    burst : float
        Requests that may be sent at once.
    """

    rate: float
    burst: float = 1.0


def decide_cold_share(
    server_id: str,
    cold_rate: float,
    *,
    overrun: float,
    slack: float,
    nodes: Collection[str] | None,
    name: str,
) -> ColdShare:
    """Decide at which rate a node may send requests to a cold server.

    Parameters
    ----------
    server_id : str
        Cold server.
    cold_rate : float
        Requests a second that the server should get from all nodes together.
    overrun, slack : float
        The server must get fewer than ``cold_rate * overrun + slack`` requests in any
        second.
    nodes : collection of str or None
        Names of all known nodes, with or without this one. Silent nodes are included:
        they may still send requests. None if this node knows no other node yet, but
        there may be some.
    name : str
        Name of this node.

    Returns
    -------
    ColdShare
        Rate and burst; the bursts of all nodes and the rate together stay below the
        bound.
    """
    if nodes is None:
        return ColdShare(0.0)
    bound = cold_rate * overrun + slack
    n_allowed = max(1, int(SENDER_FRACTION * (bound - cold_rate)))
    names = sorted({*nodes, name})
    n_senders = min(n_allowed, len(names))
    if name not in rank_by_hash(server_id, names)[:n_senders]:
        return ColdShare(0.0)
    # All buckets may be full at once, and the last request may come early or late.
    highest = max(bound - n_allowed - 1.0, min(MIN_COLD_RATE, cold_rate))
    return ColdShare(min(cold_rate, highest) / n_senders, n_allowed / n_senders)


def decide_cold_end(
    *,
    stated_end: float | None,
    started_at: float | None,
    cold_start_time: float,
    traffic_started_at: float | None,
) -> float:
    """Decide until when a server is cold.

    Parameters
    ----------
    stated_end : float or None
        End of the time that the server stated itself, in seconds; None if it said
        nothing.
    started_at : float or None
        Start of the server, in seconds; None if unknown.
    cold_start_time : float
        Seconds for which a server is cold after a start.
    traffic_started_at : float or None
        Time of the fleet's first request, in seconds; None before it. Servers that
        started earlier are warm when the first request arrives.

    Returns
    -------
    float
        Time in seconds; minus infinity if the server has not been cold.
    """
    end = stated_end if stated_end is not None else float("-inf")
    if (
        started_at is not None
        and traffic_started_at is not None
        and started_at >= traffic_started_at
    ):
        end = max(end, started_at + cold_start_time)
    return end
