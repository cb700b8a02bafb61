"""Concurrency limit of one backend server, from measured time between tokens."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 0.1
DECREASE = 0.92
ADJUST_INTERVAL = 0.5  # seconds
TARGET_FRACTION = 0.92


@dataclass(slots=True)
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease towards a token interval.

    Attributes
    ----------
    max_limit : int
        Hard bound from the configuration.
    limit : float
        Requests that may be in flight.
    interval : float
        Smoothed time between tokens, seconds; 0 before the first sample.
    adjusted_at : float
        Time of the last change, seconds.

    Examples
    --------
    >>> limit = ConcurrencyLimit(max_limit=8)
    >>> limit.observe(interval=0.1, target=0.026, in_flight=8, now=1.0)
    >>> limit.limit < 8
    True
    """

    max_limit: int
    limit: float = 0.0
    interval: float = 0.0
    adjusted_at: float = 0.0

    def __post_init__(self) -> None:
        self.limit = self.limit or float(self.max_limit)

    def observe(
        self, *, interval: float, target: float, in_flight: int, now: float
    ) -> None:
        """Take in one measured time between tokens.

        Parameters
        ----------
        interval, target : float
            Measured and wanted, seconds.
        in_flight : int
            Requests in flight on the server.
        now : float
            Seconds.
        """
        if self.interval:
            self.interval += SMOOTHING * (interval - self.interval)
        else:
            self.interval = interval
        if now - self.adjusted_at < ADJUST_INTERVAL:
            return
        if self.interval > target:
            self.limit = max(1.0, min(self.limit, in_flight) * DECREASE)
            self.adjusted_at = now
        elif self.interval < target * TARGET_FRACTION and in_flight >= self.limit - 1:
            self.limit = min(float(self.max_limit), self.limit + 1)
            self.adjusted_at = now

    def decide(self) -> int:
        """Return the limit as a whole number of requests.

        Returns
        -------
        int
            At least 1.
        """
        return max(1, int(self.limit))
