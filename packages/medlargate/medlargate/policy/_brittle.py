"""Sending to servers that fall over if they reject too many requests in a second.

Load pattern: all servers of a service let fewer requests wait than usual, and every
node of the fleet, each with a view of the load that is some tenths of a second old,
sends the requests of a burst to them at the same time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

# The server counts rejections over a second. After the pause each node tries one
# request, and another rejection makes all nodes pause again.
MIN_PAUSE, MAX_PAUSE = 1.0, 2.0  # seconds, if all nodes may try at the same time
# Time without a rejection after which one request more is tried. Each failed trial is
# a rejection, of which a brittle server bears some in each second.
MIN_TRIAL_INTERVAL, MAX_TRIAL_INTERVAL = 5.0, 60.0  # seconds
INITIAL_SLOT_SHARE = 0.25  # of the stated slots, used before any rejection
RAMP_SHARE = 0.5  # growth of the slots for each accepted request above them


def has_brittle_room(
    *, n_running: int, n_slots: int, turn: bool, contended: bool
) -> bool:
    """Return whether a node may send a brittle server another request.

    Parameters
    ----------
    n_running : int
        Requests of all nodes on the server, as far as known.
    n_slots : int
        Number of requests that the server is believed to run concurrently.
    turn : bool
        Whether the node has the turn at the server; see ``has_turn``.
    contended : bool
        Whether several requests wait at the node. Others then wait at other nodes.

    Returns
    -------
    bool
        In its turn, whether a slot is free. Otherwise, whether half of the slots are
        and no requests wait: other nodes see the same free slots.
    """
    if turn:
        return n_running < n_slots
    return not contended and 2 * n_running < n_slots


@dataclass(slots=True)
class SlotCapacity:
    """Number of requests that a server runs concurrently, as its rejections show.

    Attributes
    ----------
    n_slots : int
        Learned number.
    changed_at : float
        Time of the last rejection or successful trial, in seconds.
    trial_interval : float
        Time after it before one request more is tried, in seconds; 0 before the first
        rejection.

    Examples
    --------
    >>> capacity = SlotCapacity.start(8, now=0.0)
    >>> capacity.observe_accepted(3, now=0.5), capacity.n_slots
    (True, 3)
    >>> capacity = SlotCapacity.learn(capacity, n_running=4, now=1.0)
    >>> capacity.n_slots, capacity.get_limit(1.0, turn=True)
    (3, 3)
    >>> capacity.get_limit(6.0, turn=True), capacity.get_limit(6.0, turn=False)
    (4, 3)
    """

    n_slots: int
    changed_at: float
    trial_interval: float = MIN_TRIAL_INTERVAL

    @classmethod
    def start(cls, n_stated: int, now: float) -> SlotCapacity:
        """Return the slots of a server that has not rejected a request yet."""
        return cls(max(2, int(INITIAL_SLOT_SHARE * n_stated)), now, 0.0)

    @classmethod
    def learn(
        cls, before: SlotCapacity | None, *, n_running: int, now: float
    ) -> SlotCapacity:
        """Return the capacity after a rejection.

        Parameters
        ----------
        before : SlotCapacity or None
            Capacity that was believed; None if no rejection was known.
        n_running : int
            Requests on the server as far as known, with the rejected one.
        now : float
            Current time, in seconds.

        Returns
        -------
        SlotCapacity
            At least 1, since a server that rejects its only request is full of other
            work for a while.
        """
        n_slots = max(1, n_running - 1)
        if before is None or not before.trial_interval:
            return cls(n_slots, now)
        interval = min(MAX_TRIAL_INTERVAL, 2 * before.trial_interval)
        if n_slots > before.n_slots or now - before.changed_at < MIN_PAUSE:
            # A failed trial, or several rejections of one moment: nothing new.
            interval = interval if n_slots >= before.n_slots else before.trial_interval
            return cls(min(before.n_slots, n_slots), now, interval)
        return cls(n_slots, now, interval)

    def get_limit(self, now: float, *, turn: bool) -> int:
        """Return the number of requests that may run on the server now.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        turn : bool
            Whether the node has the turn, so that it alone may try one more.
        """
        is_due = turn and now - self.changed_at >= self.trial_interval
        return self.n_slots + is_due

    def observe_accepted(self, n_running: int, now: float) -> bool:
        """Raise the capacity if a server accepted a request above it.

        Parameters
        ----------
        n_running : int
            Requests of all nodes on the server, as far as known.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether the capacity was raised.
        """
        if n_running <= self.n_slots or now - self.changed_at < self.trial_interval:
            return False
        if self.trial_interval:
            self.n_slots, self.trial_interval = self.n_slots + 1, MIN_TRIAL_INTERVAL
        else:
            self.n_slots += max(1, int(RAMP_SHARE * self.n_slots))
        self.changed_at = now
        return True


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
