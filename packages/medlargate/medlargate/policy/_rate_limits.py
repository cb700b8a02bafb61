"""Division of a server's request rate among nodes that do not ask each other.

Load pattern: a server in trouble accepts only a few requests a second, while every node
of the fleet, each with a part of the traffic, prefers it for some of its requests.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from ._shares import rank_by_hash

# Each node that shares a limit may send one request at any time, so that the number of
# these nodes adds to the requests that can arrive at once.
MIN_SENDERS = 2
# A server that accepts nothing would never get a request whose answer lifts its limit.
MIN_RATE = 0.1  # requests a second
MAX_BURST_TIME = 0.25  # seconds of a node's rate that it may send at once
# Nodes that share a limit may have no traffic for the server. If none has got an answer
# from it for this time, other nodes take their place.
ROTATION_TIME = 10.0  # seconds


def decide_rate(
    server_id: str,
    max_rate: float,
    *,
    nodes: Collection[str],
    name: str,
    notice_age: float = 0.0,
) -> float:
    """Decide at which rate a node may send requests to a server that limits its rate.

    Parameters
    ----------
    server_id : str
        Server that limits its rate.
    max_rate : float
        Requests a second that the server accepts from all nodes together.
    nodes : collection of str
        Names of the live nodes, with or without this one.
    name : str
        Name of this node.
    notice_age : float, default=0.0
        Seconds since any node got an answer from the server.

    Returns
    -------
    float
        Requests a second. It is 0 for most nodes of a large fleet, since the shares
        of all nodes would be too small to use.
    """
    names = sorted({*nodes, name})
    n_senders = min(len(names), MIN_SENDERS + int(max_rate))
    round_number = int(notice_age / ROTATION_TIME)
    ranked = rank_by_hash(f"{server_id}/{round_number}", names)
    if name not in ranked[:n_senders]:
        return 0.0
    return max(max_rate, MIN_RATE) / n_senders


@dataclass(slots=True)
class TokenBucket:
    """Bucket whose tokens each allow one request.

    Attributes
    ----------
    rate : float
        Tokens a second.
    n_tokens : float
        Tokens at the time of the last update.
    max_tokens : float or None
        Tokens that may be saved up; None for those of ``MAX_BURST_TIME``, but at least
        one.
    updated_at : float
        Time of the last update, in seconds.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, updated_at=0.0)
    >>> bucket.compute_wait(0.0), bucket.compute_wait(0.4)
    (0.5, 0.1)
    >>> bucket.spend(0.5)
    >>> bucket.compute_wait(0.5)
    0.5
    """

    rate: float
    updated_at: float
    n_tokens: float = 0.0
    max_tokens: float | None = None

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; a rate of 0 empties the bucket."""
        self._update(now)
        self.rate = rate
        if not rate:
            self.n_tokens = 0.0
        self._update(now)

    def _update(self, now: float) -> None:
        n_added = max(0.0, now - self.updated_at) * self.rate
        size = self.max_tokens
        if size is None:
            size = max(1.0, self.rate * MAX_BURST_TIME)
        self.n_tokens = min(size, self.n_tokens + n_added)
        self.updated_at = now

    def compute_wait(self, now: float) -> float:
        """Return the time until a request may be sent, in seconds."""
        self._update(now)
        if self.n_tokens >= 1.0:
            return 0.0
        if not self.rate:
            return float("inf")
        return round((1.0 - self.n_tokens) / self.rate, 6)

    def spend(self, now: float) -> None:
        """Take the token of a request."""
        self._update(now)
        self.n_tokens -= 1.0

    def refund(self, now: float) -> None:
        """Return the token of a request that did not count."""
        self.n_tokens += 1.0
        self._update(now)
