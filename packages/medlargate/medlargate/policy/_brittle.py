"""Sending to servers that fall over if they reject too many requests in a second.

Load pattern: all servers of a service let fewer requests wait than usual, and every
node of the fleet, each with a view of the load that is some tenths of a second old,
sends the requests of a burst to them at the same time.
"""

from __future__ import annotations

import random

# The server counts rejections over a second. After the pause each node tries one
# request, and another rejection makes all nodes pause again.
MIN_PAUSE, MAX_PAUSE = 1.0, 2.0  # seconds, if all nodes may try at the same time


def has_brittle_room(*, n_running: int, n_own: int, n_slots: int, n_nodes: int) -> bool:
    """Return whether a node may send a brittle server another request.

    Parameters
    ----------
    n_running : int
        Requests of all nodes on the server, as far as known.
    n_own : int
        Requests of this node among them.
    n_slots : int
        Number of requests that the server runs concurrently.
    n_nodes : int
        Number of nodes of the fleet.

    Returns
    -------
    bool
        True if a slot is free and, unless half of the slots are, this node has not
        used up its share of them: other nodes see the same free slots.
    """
    if 2 * n_running < n_slots:
        return True
    return n_running < n_slots and n_own < max(1, n_slots // max(1, n_nodes))


def draw_rejection_pause(
    max_rejections: float, *, n_nodes: int, random_state: random.Random
) -> float:
    """Draw the time for which a node sends nothing to a server after a rejection.

    Parameters
    ----------
    max_rejections : float
        Rejections a second that the server bears.
    n_nodes : int
        Number of nodes of the fleet, each of which pauses and then tries one request.
    random_state : random.Random
        Source of the variation that keeps nodes from trying together.

    Returns
    -------
    float
        Pause, in seconds.
    """
    n_rounds = max(1.0, n_nodes / max(1.0, max_rejections))
    return random_state.uniform(MIN_PAUSE, MAX_PAUSE) * n_rounds
