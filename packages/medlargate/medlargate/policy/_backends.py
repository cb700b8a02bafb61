"""One node's view of each backend server, and outlier ejection within a pool."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from statistics import median

from cachetools import LRUCache

from ..charts import StateMachine, load_chart
from ._limits import ConcurrencyLimit, FirstTokenFit

SMOOTHING = 0.1
EJECT_RATIO = 2.5
RECOVER_RATIO = 1.5
MIN_SAMPLES = 20
MAX_EJECTED_FRACTION = 0.34
PROBE_INTERVAL = 2.0  # seconds
MAX_PREFIXES = 512
OVERFLOW_FRACTION = 0.25
MIN_DOWN_TIMEOUT = 1.0  # seconds
MAX_DOWN_TIMEOUT = 15.0  # seconds


@dataclass(slots=True)
class BackendView:
    """State of one backend server as measured by, or reported to, this node.

    Attributes
    ----------
    name : str
        Name of the backend server.
    failure_domain : str
        Failure domain in which the server runs.
    cheap : bool
        Whether the server is a spot instance, which can be evicted at a few
        seconds' notice.
    limit : ConcurrencyLimit
        Limit on the requests in flight from all nodes together.
    share : int or None
        Number of requests in flight granted to this node; None grants the whole
        limit.
    in_flight : int
        Number of this node's requests in flight on the server.
    others : int
        Number of other nodes' requests in flight on the server, from their
        heartbeats or from the server's load report.
    first_token : FirstTokenFit
        Model of the time to the first token.
    interval : float
        Exponentially smoothed time between tokens, in seconds.
    n_samples : int
        Number of measurements that have gone into ``interval``.
    down_until : float
        Time in seconds before which the server gets no new work, set after a
        failed connection and after a crash of the server.
    n_failures : int
        Number of consecutive failed connections. While it is above 0, the node
        sends the server at most one request at a time.
    n_suspects : int
        Number of requests in flight that are suspected of crashing backend
        servers.
    probed_at : float
        Time of the last probe while ejected, in seconds.
    prefixes : LRUCache
        Hashes of the prompt prefixes that the server is assumed to have cached.
    states : StateMachine
        Current state in the state chart ``backend``, with its recent history.
    """

    name: str
    failure_domain: str
    cheap: bool
    limit: ConcurrencyLimit
    share: int | None = None
    in_flight: int = 0
    others: int = 0
    first_token: FirstTokenFit = field(default_factory=FirstTokenFit)
    interval: float = 0.0
    n_samples: int = 0
    down_until: float = 0.0
    n_failures: int = 0
    n_suspects: int = 0
    probed_at: float = 0.0
    prefixes: LRUCache = field(default_factory=lambda: LRUCache(MAX_PREFIXES))
    states: StateMachine = field(
        default_factory=lambda: StateMachine(load_chart("backend"))
    )

    @property
    def state(self) -> str:
        """Name of the current state in the state chart ``backend``."""
        return self.states.state

    def observe(self, event: str) -> None:
        """Apply an event to the state chart unless the current state forbids it.

        Parameters
        ----------
        event : str
            Name of an event of the chart ``backend``, such as ``"leave"``.
        """
        if self.states.chart.allows(self.states.state, event):
            self.states.observe(event)
            del self.states.history[:-8]

    def is_available(self, now: float) -> bool:
        """Return whether the server accepts new requests at all.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            False while the server is down, leaving or ejected.
        """
        return now >= self.down_until and self.states.attributes["accepts"]

    def observe_failure(self, now: float) -> None:
        """Record a failed connection and back off exponentially.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        if now < self.down_until:
            return
        timeout = min(MAX_DOWN_TIMEOUT, MIN_DOWN_TIMEOUT * 2**self.n_failures)
        self.n_failures += 1
        self.down_until = now + timeout

    def count_free_slots(self, now: float) -> int:
        """Count the requests that this node may send in addition now.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        int
            Number of requests; 0 while the server is down, leaving or ejected, and
            negative when the limit or the share is exceeded.
        """
        if not self.is_available(now):
            return 0
        if self.n_failures:
            return 1 - self.in_flight
        limit = self.limit.get_limit()
        n_free = limit - self.in_flight - self.others
        if self.share is not None:
            n_free = min(n_free, self.share - self.in_flight)
        return n_free

    def count_overflow_slots(self, now: float) -> int:
        """Count the urgent requests that may be sent, including beyond the share.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        int
            Number of requests; 0 while the server is unavailable or its last
            connection failed.

        Notes
        -----
        The engine's own queue is ordered by priority, so an urgent request above
        the share gets the next slot that a request of any node frees.
        """
        if not self.is_available(now) or self.n_failures:
            return 0
        share = self.limit.get_limit() if self.share is None else self.share
        extra = max(1, math.ceil(share * OVERFLOW_FRACTION))
        return max(0, share + extra - self.in_flight)

    def observe_first_token(
        self, elapsed: float, *, prompt_tokens: int = 0, prefix: int = 0
    ) -> None:
        """Record a measured time to the first token.

        Parameters
        ----------
        elapsed : float
            Time from dispatch to the first token, in seconds.
        prompt_tokens : int, default=0
            Length of the prompt, in tokens.
        prefix : int, default=0
            Hash of the prompt's prefix, which is assumed to be cached on the server
            afterwards; 0 for none.
        """
        self.n_failures = 0
        if prefix and prefix in self.prefixes:
            prompt_tokens = 0
        self.first_token.observe(prompt_tokens, elapsed)
        if prefix:
            self.prefixes[prefix] = True

    def predict_first_token(self, prompt_tokens: int, prefix: int) -> float:
        """Predict the time to the first token for a request that is not queued.

        Parameters
        ----------
        prompt_tokens : int
            Length of the prompt, in tokens.
        prefix : int
            Hash of the prompt's prefix; 0 for none.

        Returns
        -------
        float
            Predicted time to the first token, in seconds.
        """
        if prefix and prefix in self.prefixes:
            prompt_tokens = 0
        return self.first_token.predict(prompt_tokens)

    def observe_interval(self, interval: float, *, target: float, now: float) -> None:
        """Record a measured mean time between tokens and adapt the limit.

        Parameters
        ----------
        interval : float
            Measured mean time between tokens, in seconds.
        target : float
            Target time between tokens, in seconds.
        now : float
            Current time, in seconds.
        """
        self.interval += (interval - self.interval) * (
            SMOOTHING if self.n_samples else 1
        )
        self.n_samples += 1
        self.limit.observe(
            interval=interval,
            target=target,
            in_flight=self.in_flight + self.others,
            now=now,
        )

    def snapshot(self) -> dict[str, float | str | int | bool | None]:
        """Return the state of the server as one row of a report.

        Returns
        -------
        dict
            Identity, state, load and measured times of the server.
        """
        return {
            "name": self.name,
            "failure_domain": self.failure_domain,
            "cheap": self.cheap,
            "state": self.state,
            "in_flight": self.in_flight,
            "others": self.others,
            "limit": self.limit.get_limit(),
            "share": self.share,
            "first_token": round(self.first_token.predict(0), 4),
            "token_interval": round(self.interval, 5),
            "down_until": self.down_until,
        }


def decide_ejections(views: list[BackendView]) -> list[tuple[str, str]]:
    """Detect outliers by token interval among the backend servers of one pool.

    Parameters
    ----------
    views : list of BackendView
        The pool's backend servers.

    Returns
    -------
    list of (str, str)
        Names of backend servers, each with the event ``"eject"``, ``"slow"`` or
        ``"recover"`` to be applied to the server.

    Notes
    -----
    An outlier is a server whose time between tokens is at least ``EJECT_RATIO``
    times the median. At most ``MAX_EJECTED_FRACTION`` of a pool is ejected at a
    time, since a slow server is better than none; further outliers only become
    suspects.
    """
    measured = [v for v in views if v.n_samples >= MIN_SAMPLES and v.interval > 0]
    if len(measured) < 3:
        return []
    median_interval = median(v.interval for v in measured)
    n_ejected = sum(v.state == "ejected" for v in views)
    max_ejected = int(len(views) * MAX_EJECTED_FRACTION)
    events = []
    for view in sorted(measured, key=lambda v: -v.interval):
        ratio = view.interval / median_interval
        if ratio < RECOVER_RATIO and view.state == "suspect":
            events.append((view.name, "recover"))
        elif ratio >= EJECT_RATIO and view.state in ("live", "suspect"):
            event = "eject" if n_ejected < max_ejected else "slow"
            n_ejected += event == "eject"
            events.append((view.name, event))
    return events
