"""Which connections are closed when callers hold too many of them."""

from __future__ import annotations

import enum
from collections.abc import Hashable
from typing import Generic, TypeVar

ConnT = TypeVar("ConnT", bound=Hashable)


# A caller that has just connected sends its request within this time.
FIRST_REQUEST_TIME = 0.5  # seconds
# A caller that keeps a connection may send its next request as soon as it has the last
# answer. A close within this time would cross that request.
NEXT_REQUEST_TIME = 0.2  # seconds
# Callers that read slowly take a part of their answer within this time.
UNREAD_ANSWER_TIME = 1.0  # seconds


class Wait(enum.Enum):
    """What a connection waits for, in the order in which connections are closed."""

    FIRST_REQUEST = enum.auto()
    NEXT_REQUEST = enum.auto()
    UNREAD_ANSWER = enum.auto()


_MIN_WAITS = {
    Wait.FIRST_REQUEST: FIRST_REQUEST_TIME,
    Wait.NEXT_REQUEST: NEXT_REQUEST_TIME,
    Wait.UNREAD_ANSWER: UNREAD_ANSWER_TIME,
}


class ConnectionLimit(Generic[ConnT]):
    """Order in which waiting connections are closed.

    Connections without a complete request so far are closed first, then kept ones, then
    those whose answer is not read; among these it is the one that has waited longest,
    whatever it has sent meanwhile. A connection whose caller could not act yet is
    closed only if there is no other. Connections with a request in progress are not
    listed and never closed.

    Parameters
    ----------
    max_connections : int or None
        Number of connections that may be open; None for any number.

    Examples
    --------
    >>> limit = ConnectionLimit(max_connections=2)
    >>> limit.observe("silent", Wait.FIRST_REQUEST, now=0.0)
    >>> limit.observe("kept", Wait.NEXT_REQUEST, now=0.0)
    >>> limit.observe("new", Wait.FIRST_REQUEST, now=5.0)
    >>> limit.choose(now=5.0)
    'silent'
    """

    def __init__(self, max_connections: int | None = None) -> None:
        self.max_connections = max_connections
        self._since: dict[Wait, dict[ConnT, float]] = {wait: {} for wait in Wait}

    def observe(self, conn: ConnT, wait: Wait | None, *, now: float) -> None:
        """Record what a connection waits for from now on.

        Parameters
        ----------
        conn : hashable
            Connection.
        wait : Wait or None
            What it waits for; None while a request is in progress, and after its end.
        now : float
            Current time, in seconds.
        """
        for listed in self._since.values():
            listed.pop(conn, None)
        if wait is not None:
            self._since[wait][conn] = now

    def add(self, conn: ConnT, n_connections: int, *, now: float) -> ConnT | None:
        """Record a new connection, and return the one to close if there are too many.

        Parameters
        ----------
        conn : hashable
            New connection, which waits for its first request.
        n_connections : int
            Number of open connections, the new one included.
        now : float
            Current time, in seconds.

        Returns
        -------
        hashable or None
            Connection to close, the new one if no other waits; None if there is room.
        """
        self.observe(conn, Wait.FIRST_REQUEST, now=now)
        if self.max_connections is None or n_connections <= self.max_connections:
            return None
        return self.choose(now=now) or conn

    def choose(self, *, now: float) -> ConnT | None:
        """Return the connection to close first; None if none is waiting.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        oldest = {
            wait: next(iter(listed.items()))
            for wait, listed in self._since.items()
            if listed
        }
        for wait, (conn, since) in oldest.items():
            if now - since >= _MIN_WAITS[wait]:
                return conn
        return next((conn for conn, _ in oldest.values()), None)
