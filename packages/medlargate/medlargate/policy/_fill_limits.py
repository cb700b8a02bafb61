"""Room that servers keep for the more urgent requests of all nodes.

Load pattern: more work than the servers bear, of several priorities, from callers of
many nodes. Each queue is in order, but there is one on every node, and what becomes
free goes to the node that learns of it first: mostly the one whose request has ended,
even if it has only less urgent requests. A node with few requests on the servers then
gets nothing for seconds.

A class of requests therefore fills a server only up to limits that grow with its
urgency. What is above the server's slots waits there, in a queue that all nodes share
and that admits the most urgent request first. Less urgent requests can't take the place
that a more urgent one finds, however late the nodes learn of each other's requests.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Requests of the most urgent class that wait at a server while all its slots are taken,
# as a fraction of the slots. Servers queue only a few.
MAX_QUEUE_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class FillLimits:
    """How far a class of requests may fill the servers of a service.

    Attributes
    ----------
    queue_fraction : float
        Requests that a server may hold beyond its slots, as a fraction of the slots.
    urgency : float
        Rank of the priority among those of the service, from 0 for the least urgent
        to 1.

    Examples
    --------
    >>> limits = [choose_fill_limits(it, (0, 1, 2)) for it in range(3)]
    >>> [it.compute_slot_limit(32) for it in limits]
    [40, 36, 32]
    """

    queue_fraction: float
    urgency: float

    def compute_slot_limit(self, n_slots: int) -> int:
        """Return how many requests a server with this number of slots may hold."""
        return n_slots + math.ceil(self.queue_fraction * n_slots)


def choose_fill_limits(
    priority: int, priorities: Sequence[int], *, over_share: bool | None = None
) -> FillLimits | None:
    """Choose the limits of a class of requests.

    Parameters
    ----------
    priority : int
        Priority of the request; 0 is the most urgent.
    priorities : sequence of int
        Priorities of the service, each once.
    over_share : bool or None
        Whether the request's customer is above its share; None while no customer is.

    Returns
    -------
    FillLimits or None
        Limits of the class; None if there is only one. Priorities come first, shares
        second.
    """
    rank, n_ranks = sum(it > priority for it in priorities), max(1, len(priorities))
    urgency = rank / (n_ranks - 1) if n_ranks > 1 else 0.0
    if over_share is not None:
        rank, n_ranks = 2 * rank + (not over_share), 2 * n_ranks
    if n_ranks == 1:
        return None
    return FillLimits(MAX_QUEUE_FRACTION * rank / (n_ranks - 1), urgency)
