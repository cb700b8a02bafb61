"""What a node knows of each backend server, and whether it accepts work."""

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
    """One backend server from this node's own measurements and its reports.

    Attributes
    ----------
    name, failure_domain : str
        Identity.
    cheap : bool
        May be evicted at a few seconds' notice.
    limit : ConcurrencyLimit
        How many requests it may have in flight from all nodes.
    share : int or None
        How many of them this node may have; None for all.
    in_flight : int
        This node's own requests on it.
    others : int
        Requests of other nodes, from their heartbeats or its load report.
    first_token : FirstTokenFit
        Model of the time to the first token.
    interval : float
        Smoothed time between tokens, seconds.
    n_samples : int
        Measurements of ``interval`` so far.
    down_until : float
        No new work before this time, after a failed connection.
    n_failures : int
        Failed connections in a row; while there are any, one request at a time
        tries the server.
    n_suspects : int
        Requests in flight that are suspected of crashing backend servers.
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
        """Current state of the chart ``backend``."""
        return self.states.state

    def observe(self, event: str) -> None:
        """Take in an event of the chart; one that does not apply is ignored.

        Parameters
        ----------
        event : str
            For instance ``"leave"``.
        """
        if self.states.chart.allows(self.states.state, event):
            self.states.observe(event)
            del self.states.history[:-8]

    def is_available(self, now: float) -> bool:
        """Tell whether the server takes work at all.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
            False while it is down, leaving or ejected.
        """
        return now >= self.down_until and self.states.attributes["accepts"]

    def observe_failure(self, now: float) -> None:
        """Take in a failed connection: wait, longer each time, before the next.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if now < self.down_until:
            return
        pause = min(MAX_DOWN_TIMEOUT, MIN_DOWN_TIMEOUT * 2**self.n_failures)
        self.n_failures += 1
        self.down_until = now + pause

    def count_free_slots(self, now: float) -> int:
        """Count the requests that this node may still send.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        int
            0 while the server is down, leaving or ejected.
        """
        if not self.is_available(now):
            return 0
        if self.n_failures:
            return 1 - self.in_flight
        limit = self.limit.get_limit()
        free = limit - self.in_flight - self.others
        if self.share is not None:
            free = min(free, self.share - self.in_flight)
        return free

    def count_overflow_slots(self, now: float) -> int:
        """Count the urgent requests that may go beyond this node's share.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        int
            0 while the server does not take work.

        Notes
        -----
        The engine's own queue honours priorities, so an urgent request gets the
        next slot that any node's request leaves there.
        """
        if not self.is_available(now) or self.n_failures:
            return 0
        share = self.limit.get_limit() if self.share is None else self.share
        extra = max(1, math.ceil(share * OVERFLOW_FRACTION))
        return max(0, share + extra - self.in_flight)

    def observe_first_token(
        self, elapsed: float, *, prompt_tokens: int = 0, prefix: int = 0
    ) -> None:
        """Take in a measured time to the first token.

        Parameters
        ----------
        elapsed : float
            Seconds.
        prompt_tokens : int, default=0
            Length of the prompt.
        prefix : int, default=0
            Hash of the prompt's start; remembered as cached from now on.
        """
        self.n_failures = 0
        if prefix and prefix in self.prefixes:
            prompt_tokens = 0
        self.first_token.observe(prompt_tokens, elapsed)
        if prefix:
            self.prefixes[prefix] = True

    def predict_first_token(self, prompt_tokens: int, prefix: int) -> float:
        """Estimate the time to the first token when the server has room.

        Parameters
        ----------
        prompt_tokens : int
            Length of the prompt.
        prefix : int
            Hash of the prompt's start; 0 for none.

        Returns
        -------
        float
            Seconds.
        """
        if prefix and prefix in self.prefixes:
            prompt_tokens = 0
        return self.first_token.predict(prompt_tokens)

    def observe_interval(self, interval: float, *, target: float, now: float) -> None:
        """Take in a measured mean time between tokens.

        Parameters
        ----------
        interval, target : float
            Measured and wanted, seconds.
        now : float
            Seconds.
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
        """Report the view.

        Returns
        -------
        dict
            One row for reports.
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
    """Find stragglers among peers that serve the same pool.

    Parameters
    ----------
    views : list of BackendView
        The pool's backend servers.

    Returns
    -------
    list of (str, str)
        Names with the event ``"eject"``, ``"slow"`` or ``"recover"``.

    Notes
    -----
    A straggler is slower than the median of its peers by ``EJECT_RATIO``. At most
    ``MAX_EJECTED_FRACTION`` of a pool is out at a time, since a slow server beats
    none.
    """
    measured = [v for v in views if v.n_samples >= MIN_SAMPLES and v.interval > 0]
    if len(measured) < 3:
        return []
    normal = median(v.interval for v in measured)
    n_ejected = sum(v.state == "ejected" for v in views)
    max_ejected = int(len(views) * MAX_EJECTED_FRACTION)
    events = []
    for view in sorted(measured, key=lambda v: -v.interval):
        ratio = view.interval / normal
        if ratio < RECOVER_RATIO and view.state == "suspect":
            events.append((view.name, "recover"))
        elif ratio >= EJECT_RATIO and view.state in ("live", "suspect"):
            event = "eject" if n_ejected < max_ejected else "slow"
            n_ejected += event == "eject"
            events.append((view.name, event))
    return events
