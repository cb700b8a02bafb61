"""Division of a server's request rate among nodes that do not ask each other.

Load pattern: a server in trouble accepts only a few requests a second, while every node
of the fleet, each with a part of the traffic, prefers it for some of its requests.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from ._demand import DecayingRate
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
# Shorter bursts than about this time are queued.
ARRIVAL_WINDOW = 1.0  # seconds, time constant of the demand for tokens
MIN_LEFT_SHARE = 0.001  # a smaller share of tokens serves no request in time


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


@dataclass(frozen=True, slots=True)
class TokenSupply:
    """Requests that a node may send to a service whose servers all limit their rate.

    Attributes
    ----------
    waits : tuple of float
        Times until each server may get a request, in seconds and ascending.
    rate : float
        Requests a second that the node may send to all servers together.
    """

    waits: tuple[float, ...]
    rate: float


@dataclass(slots=True)
class _Arrivals:
    rate: DecayingRate
    updated_at: float
    busy_until: float
    busy_share: float = 0.0

    def advance(self, now: float) -> None:
        """Update the share of the time up to now."""
        for end, value in ((min(now, self.busy_until), 1.0), (now, 0.0)):
            if end > self.updated_at:
                decay = math.exp((self.updated_at - end) / ARRIVAL_WINDOW)
                self.busy_share = value + (self.busy_share - value) * decay
                self.updated_at = end


class TokenDemand:
    """Tokens that new requests of a service take while they are on time.

    Requests are counted in classes, the first of which gets the next token.
    """

    def __init__(self) -> None:
        self._classes: dict[tuple[int, bool], _Arrivals] = {}

    def observe_arrival(
        self, request_class: tuple[int, bool], *, time_on_time: float, now: float
    ) -> None:
        """Count a new request.

        Parameters
        ----------
        request_class : tuple of (int, bool)
            Class of the request.
        time_on_time : float
            Time for which it can wait without being late, in seconds.
        now : float
            Current time, in seconds.
        """
        row = self._classes.get(request_class)
        if row is None:
            rate = DecayingRate(ARRIVAL_WINDOW, updated_at=now)
            row = self._classes[request_class] = _Arrivals(rate, now, now)
        row.advance(now)
        row.rate.observe(now)
        row.busy_until = max(row.busy_until, now + time_on_time)

    def compute_left_share(
        self, request_class: tuple[int, bool], *, rate: float, now: float
    ) -> float:
        """Return the share of tokens that is left for late requests of a class.

        Parameters
        ----------
        request_class : tuple of (int, bool)
            Class of the late requests.
        rate : float
            Tokens a second.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Share between 0 and 1: the share of time in which no request that precedes
            them could wait on time, or more if fewer requests arrive than tokens.
        """
        left_time, arrival_rate = 1.0, 0.0
        for name, row in self._classes.items():
            if name <= request_class:
                row.advance(now)
                left_time *= 1.0 - row.busy_share
                arrival_rate += row.rate.get_rate(now)
        return max(left_time, 1.0 - arrival_rate / rate) if rate else left_time


def predict_token_wait(
    supply: TokenSupply,
    *,
    n_ahead: int,
    n_ahead_if_late: int,
    time_on_time: float,
    left_share: float,
) -> float:
    """Predict for how long a request waits where all servers limit their rate.

    A request that becomes late while it waits yields to requests that arrive after it
    and are still on time.

    Parameters
    ----------
    supply : TokenSupply
        Requests that the node may send.
    n_ahead, n_ahead_if_late : int
        Numbers of waiting requests that precede it now and once it is late.
    time_on_time : float
        Time for which it can wait without being late, in seconds.
    left_share : float
        Share of tokens that requests on time leave to late ones.

    Returns
    -------
    float
        Time in seconds.
    """
    wait = _compute_token_time(supply, n_ahead)
    if wait <= time_on_time:
        return wait
    if left_share < MIN_LEFT_SHARE:
        return math.inf
    return max(wait, _compute_token_time(supply, n_ahead_if_late) / left_share)


def _compute_token_time(supply: TokenSupply, n_ahead: int) -> float:
    """Return the time until a node may send a request after ``n_ahead`` others."""
    n_more = n_ahead - len(supply.waits) + 1
    if n_more <= 0:
        return supply.waits[n_ahead]
    return supply.waits[-1] + n_more / supply.rate
