"""Rejection of requests that cannot be served in time, and the order of returns.

Load pattern: more requests than the servers can handle for many seconds, from callers
that retry rejected requests, some of them immediately and at other nodes.

A wait is predicted only from what the queue has shown while requests waited in it: how
many requests of a class were served in that time. Without such evidence nothing is
rejected, so that a short burst is queued and served. On a node of a large fleet few
requests are served in that time, and that number is largely chance. So a request is
rejected only if it would wait too long at the highest rate that agrees with the number.

``Retry-After`` is the time at which the requests ahead and the callers told to return
earlier will have been served, one caller after the other. A caller that returns at that
time is queued by its first arrival. One that returns earlier is queued as if it arrived
at the time that it was given, and a second rejection names the same time.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ._waiting import MAX_RETRY_AFTER, MAX_RETRY_AFTER_FRACTION, MIN_RETRY_AFTER

RATE_MEMORY = 2.0  # seconds, time constant of the rates
# Requests that waited for a shorter time, about a second, are no evidence of the rate
# at which they are served.
MIN_OBSERVED_TIME = 0.75  # seconds, decayed with RATE_MEMORY
# Queues are processed at least this often. A longer time between two passes shows that
# the node was paused, and nothing about the servers.
MAX_PASS_INTERVAL = 0.2  # seconds
# Without any request served, the servers pause or are gone, which ends at some time
# that the rate does not tell.
MIN_RATE = 0.2  # requests a second of all classes
# A class that got none of so many slots yields to the classes that got them. Fewer
# slots may have missed it by chance.
MIN_SLOTS_OF_OTHERS = 10
MIN_SERVED = 1e-6  # decayed number below which nothing was served
# Evidence of a class outlives its last waiting request for this time: rejections empty
# the class, and without it all of its requests would be accepted again for a while.
EVIDENCE_LIFETIME = 2.0  # seconds
MAX_RETURNS = 4_000  # remembered rejections of a node
# Callers obey Retry-After up to this time, and the way back takes some time.
RETURN_LIFETIME = 2 * MAX_RETRY_AFTER  # seconds after the promised time
RETURN_TOLERANCE = 0.01  # seconds by which a return may be early


class QueueClass(NamedTuple):
    """Class of waiting requests; each class yields to the ones that sort before it.

    Attributes
    ----------
    priority : int
        Priority; 0 is the most urgent.
    over_share : bool
        Whether the customer is above its share.
    is_late : bool
        Whether the request can no longer meet its target.
    """

    priority: int
    over_share: bool
    is_late: bool


@dataclass(slots=True)
class _Evidence:
    """Requests served while others of the same class waited."""

    updated_at: float
    waiting_at: float
    n_waiting: int = 0
    n_served: float = 0.0
    observed_time: float = 0.0

    def advance(self, now: float) -> None:
        elapsed = min(now - self.updated_at, MAX_PASS_INTERVAL)
        self.updated_at = now
        if self.n_waiting:
            decay = math.exp(-elapsed / RATE_MEMORY)
            self.n_served *= decay
            # Decays as the count does, so that their ratio is a rate.
            self.observed_time = self.observed_time * decay + (1 - decay) * RATE_MEMORY

    def compute_highest_rate(self) -> float:
        """Return the upper confidence bound of the rate, in requests a second."""
        # Approximates the bound of a Poisson-distributed number, 0.975 on one side.
        highest = self.n_served + 2.0 + 2.0 * math.sqrt(self.n_served + 1.0)
        return highest / self.observed_time


class ServedRates:
    """Rates at which the waiting requests of a service are served by this node."""

    def __init__(self) -> None:
        self._rows: dict[Hashable, _Evidence] = {}
        self._n_waiting: dict[QueueClass, int] = {}

    def observe_waiting(self, classes: Iterable[QueueClass], now: float) -> None:
        """Store which requests wait.

        Parameters
        ----------
        classes : iterable of QueueClass
            Classes of all waiting requests.
        now : float
            Current time, in seconds.
        """
        counts: dict[Hashable, int] = {}
        for it in classes:
            counts[it] = counts.get(it, 0) + 1
        self._n_waiting = dict(counts)  # type: ignore[arg-type]
        if counts:
            counts[None] = sum(counts.values())
        for name, row in list(self._rows.items()):
            row.advance(now)
            row.n_waiting = counts.get(name, 0)
            if row.n_waiting:
                row.waiting_at = now
            elif name is None or now - row.waiting_at > EVIDENCE_LIFETIME:
                del self._rows[name]
        for name, n_waiting in counts.items():
            if name not in self._rows:
                self._rows[name] = _Evidence(now, now, n_waiting)

    def observe_served(self, queue_class: QueueClass, now: float) -> None:
        """Count a request that was sent to a server."""
        for name in (None, queue_class):
            row = self._rows.get(name)
            if row is not None and row.n_waiting:
                row.advance(now)
                row.n_served += 1

    def get_rate(self, queue_class: QueueClass | None, now: float) -> float | None:
        """Return the rate at which a class is served.

        Parameters
        ----------
        queue_class : QueueClass or None
            Class of requests; None for all requests of the service.
        now : float
            Current time, in seconds.

        Returns
        -------
        float or None
            Requests a second; None without enough evidence.
        """
        row = self._rows.get(queue_class)
        if row is None:
            return None
        row.advance(now)
        if row.observed_time < MIN_OBSERVED_TIME:
            return None
        return row.n_served / row.observed_time

    def count_waiting(self, queue_class: QueueClass) -> int:
        """Return the number of waiting requests of a class, as last observed."""
        return self._n_waiting.get(queue_class, 0)

    def predict_least_wait(
        self,
        queue_class: QueueClass,
        *,
        n_ahead: int,
        n_ahead_in_class: int,
        now: float,
    ) -> float:
        """Predict for how long a request waits at least.

        Parameters
        ----------
        queue_class, n_ahead, n_ahead_in_class, now
            As for ``predict_wait``.

        Returns
        -------
        float
            Time in seconds that is exceeded with a probability of about 0.975; infinity
            only if others of the node's requests got ``MIN_SLOTS_OF_OTHERS`` slots and
            none of the class any.
        """
        total_rate = self.get_rate(None, now)
        if total_rate is None or total_rate < MIN_RATE:
            return 0.0
        total, row = self._rows[None], self._rows.get(queue_class)
        wait = n_ahead / total.compute_highest_rate()
        if row is None or row.observed_time < MIN_OBSERVED_TIME:
            return wait
        row.advance(now)
        n_others = total.n_served - row.n_served
        if row.n_served < MIN_SERVED and n_others >= MIN_SLOTS_OF_OTHERS:
            return math.inf
        return max(wait, (n_ahead_in_class + 1) / row.compute_highest_rate())

    def predict_wait(
        self,
        queue_class: QueueClass,
        *,
        n_ahead: int,
        n_ahead_in_class: int,
        now: float,
    ) -> float:
        """Predict for how long a request waits.

        Parameters
        ----------
        queue_class : QueueClass
            Class of the request.
        n_ahead, n_ahead_in_class : int
            Numbers of requests that precede it, of all classes and of its own.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Time in seconds; 0 without evidence, infinity if no request of the class is
            served while others wait.
        """
        total_rate = self.get_rate(None, now)
        if total_rate is None or total_rate < MIN_RATE:
            return 0.0
        wait = n_ahead / total_rate
        class_rate = self.get_rate(queue_class, now)
        if class_rate is None:
            return wait
        n_requests = n_ahead_in_class + 1
        return max(wait, n_requests / class_rate if class_rate > 1e-6 else math.inf)


@dataclass(slots=True)
class PromisedReturn:
    """Rejected request whose caller was told when to return.

    Attributes
    ----------
    first_arrived_at : float
        Time of the first arrival, in seconds.
    rejected_at : float
        Time of the last rejection, in seconds.
    return_at : float
        Time at which the caller may return, in seconds.
    """

    first_arrived_at: float
    rejected_at: float
    return_at: float


class ReturnTimes:
    """Times at which callers of rejected requests were told to return.

    Parameters
    ----------
    max_returns : int, default=4000
        Number of rejections that are remembered; the oldest are dropped.
    """

    def __init__(self, *, max_returns: int = MAX_RETURNS) -> None:
        self._max_returns = max_returns
        self._returns: OrderedDict[str, PromisedReturn] = OrderedDict()
        self._last_return_at: dict[Hashable, float] = {}

    def __len__(self) -> int:
        return len(self._returns)

    def find(self, digest: str, now: float) -> PromisedReturn | None:
        """Return the last rejection of the same request unless it has expired.

        Parameters
        ----------
        digest : str
            Digest of customer, path and body of the request.
        now : float
            Current time, in seconds.

        Returns
        -------
        PromisedReturn or None
            What the caller was told.
        """
        promised = self._returns.get(digest)
        if promised is None or now > promised.return_at + RETURN_LIFETIME:
            return None
        return promised

    def decide_queued_at(self, digest: str, now: float) -> float:
        """Return the time of arrival by which a request is queued, in seconds.

        Parameters
        ----------
        digest : str
            Digest of customer, path and body of the request.
        now : float
            Time at which the request arrived, in seconds.

        Returns
        -------
        float
            First arrival of a caller that waited as it was told, the promised time of
            one that returns early, else the time of arrival.
        """
        promised = self.find(digest, now)
        if promised is None:
            return now
        if now < promised.return_at - RETURN_TOLERANCE:
            return promised.return_at
        return promised.first_arrived_at

    def promise(
        self,
        digest: str,
        *,
        line: Hashable,
        wait: float,
        rate: float | None,
        time_left: float,
        arrived_at: float,
        now: float,
        random_state: random.Random,
    ) -> float:
        """Decide when the caller of a rejected request may return, and remember it.

        Parameters
        ----------
        digest : str
            Digest of customer, path and body of the request.
        line : hashable
            Service, customer and class, whose callers return one after the other.
        wait : float
            Predicted time until a server is free for the request, in seconds.
        rate : float or None
            Requests of the line that are served in a second; None if not known.
        time_left : float
            Time until an answer is no longer useful to the caller, in seconds.
        arrived_at : float
            Time of arrival by which the request was queued, in seconds.
        now : float
            Current time, in seconds.
        random_state : random.Random
            Source of the spread of callers that are given the longest time.

        Returns
        -------
        float
            ``Retry-After`` in seconds.
        """
        longest = min(
            MAX_RETRY_AFTER,
            max(MIN_RETRY_AFTER, time_left * MAX_RETRY_AFTER_FRACTION * 0.9),
        )
        earlier = self.find(digest, now)
        if earlier is not None and now < earlier.return_at - RETURN_TOLERANCE:
            return max(earlier.return_at - now, RETURN_TOLERANCE)
        return_at = now + max(wait, MIN_RETRY_AFTER)
        if rate:
            return_at = max(return_at, self._last_return_at.get(line, 0.0) + 1 / rate)
        if return_at > now + longest:
            return_at = now + longest * random_state.uniform(0.5, 1.0)
        else:
            self._last_return_at[line] = return_at
        first = arrived_at if earlier is None else earlier.first_arrived_at
        self._returns[digest] = PromisedReturn(first, now, return_at)
        self._returns.move_to_end(digest)
        while len(self._returns) > self._max_returns:
            self._returns.popitem(last=False)
        if len(self._last_return_at) > self._max_returns:
            self._last_return_at.clear()
        return return_at - now

    def forget(self, digest: str) -> None:
        """Forget a rejection after the request was sent to a server."""
        self._returns.pop(digest, None)

    def expire(self, now: float) -> None:
        """Drop the rejections whose callers have not returned in time."""
        while self._returns:
            digest, promised = next(iter(self._returns.items()))
            if now <= promised.return_at + RETURN_LIFETIME:
                break
            del self._returns[digest]
