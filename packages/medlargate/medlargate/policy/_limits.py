"""Models of one backend server: concurrency limit and first-token time."""

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

    def get_limit(self) -> int:
        """Return the limit as a whole number of requests.

        Returns
        -------
        int
            At least 1.
        """
        return max(1, int(self.limit))


FIT_DECAY = 0.98
DEFAULT_FIRST_TOKEN = 0.05  # seconds
DEFAULT_PREFILL = 0.0001  # seconds per token
PRIOR_WEIGHT = 2.0


@dataclass(slots=True)
class FirstTokenFit:
    """Least squares of the first-token time over the uncached prompt length.

    Attributes
    ----------
    n, x, y, xx, xy : float
        Decayed sums of the samples; ``x`` in tokens, ``y`` in seconds.

    Notes
    -----
    The sums start with a weak prior, so that the first samples don't decide alone.

    Examples
    --------
    >>> fit = FirstTokenFit()
    >>> for n in range(200):
    ...     fit.observe(100 * (n % 5), 0.2 + 0.1 * (n % 5))
    >>> round(fit.predict(100), 2)
    0.3
    """

    n: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def __post_init__(self) -> None:
        for tokens in (0.0, 1000.0):
            expected = DEFAULT_FIRST_TOKEN + tokens * DEFAULT_PREFILL
            self._add(tokens, expected, PRIOR_WEIGHT)

    def _add(self, tokens: float, elapsed: float, weight: float) -> None:
        self.n += weight
        self.x += weight * tokens
        self.y += weight * elapsed
        self.xx += weight * tokens * tokens
        self.xy += weight * tokens * elapsed

    def observe(self, tokens: float, elapsed: float) -> None:
        """Take in one measured first-token time.

        Parameters
        ----------
        tokens : float
            Uncached prompt tokens.
        elapsed : float
            Seconds.
        """
        self.n *= FIT_DECAY
        self.x *= FIT_DECAY
        self.y *= FIT_DECAY
        self.xx *= FIT_DECAY
        self.xy *= FIT_DECAY
        self._add(tokens, elapsed, 1.0)

    def predict(self, tokens: float) -> float:
        """Estimate the first-token time.

        Parameters
        ----------
        tokens : float
            Uncached prompt tokens.

        Returns
        -------
        float
            Seconds.
        """
        spread = self.n * self.xx - self.x * self.x
        slope = 0.0
        if spread > 1e-9 * self.n * self.xx:
            slope = max(0.0, (self.n * self.xy - self.x * self.y) / spread)
        mean = self.y / self.n
        return max(0.0, mean + slope * (tokens - self.x / self.n))
