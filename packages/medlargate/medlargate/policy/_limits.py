"""Adaptive models of one backend server: concurrency limit and first-token time."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 0.1
DECREASE_FACTOR = 0.92
ADJUST_INTERVAL = 0.5  # seconds
INCREASE_THRESHOLD = 0.92


@dataclass(slots=True)
class ConcurrencyLimit:
    """AIMD concurrency limit that keeps the token interval at a target.

    Attributes
    ----------
    max_limit : int
        Upper bound of the limit, from the configuration.
    limit : float
        Current limit on the number of requests in flight.
    interval : float
        Exponentially smoothed time between tokens, in seconds; 0 before the first
        sample.
    adjusted_at : float
        Time of the last change of the limit, in seconds.

    Notes
    -----
    The limit decreases multiplicatively while the time between tokens exceeds the
    target (AIMD: additive increase, multiplicative decrease). The limit increases by
    one request when the time is clearly below the target and the limit is used up.

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
        """Record a measured time between tokens and adapt the limit.

        Parameters
        ----------
        interval : float
            Measured time between tokens, in seconds.
        target : float
            Target time between tokens, in seconds.
        in_flight : int
            Number of requests in flight on the server.
        now : float
            Current time, in seconds.
        """
        if self.interval:
            self.interval += SMOOTHING * (interval - self.interval)
        else:
            self.interval = interval
        if now - self.adjusted_at < ADJUST_INTERVAL:
            return
        if self.interval > target:
            self.limit = max(1.0, min(self.limit, in_flight) * DECREASE_FACTOR)
            self.adjusted_at = now
        elif (
            self.interval < target * INCREASE_THRESHOLD and in_flight >= self.limit - 1
        ):
            self.limit = min(float(self.max_limit), self.limit + 1)
            self.adjusted_at = now

    def get_limit(self) -> int:
        """Return the current limit, rounded down to a whole number.

        Returns
        -------
        int
            Maximum number of requests in flight, at least 1.
        """
        return max(1, int(self.limit))


FIT_DECAY = 0.98
DEFAULT_FIRST_TOKEN = 0.05  # seconds
DEFAULT_PREFILL_TIME = 0.0001  # seconds per token
PRIOR_WEIGHT = 2.0


@dataclass(slots=True)
class FirstTokenFit:
    """Linear regression of the first-token time on the uncached prompt length.

    Attributes
    ----------
    n : float
        Decayed sum of the weights of the samples.
    x : float
        Decayed sum of the prompt lengths, in tokens.
    y : float
        Decayed sum of the first-token times, in seconds.
    xx : float
        Decayed sum of the squared prompt lengths.
    xy : float
        Decayed sum of the products of prompt length and first-token time.

    Notes
    -----
    The fit is by least squares. The sums start from a weak prior, so that the first
    samples alone don't determine the fit. Old samples decay by ``FIT_DECAY`` with
    each new sample.

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
            expected = DEFAULT_FIRST_TOKEN + tokens * DEFAULT_PREFILL_TIME
            self._add(tokens, expected, PRIOR_WEIGHT)

    def _add(self, tokens: float, elapsed: float, weight: float) -> None:
        self.n += weight
        self.x += weight * tokens
        self.y += weight * elapsed
        self.xx += weight * tokens * tokens
        self.xy += weight * tokens * elapsed

    def observe(self, tokens: float, elapsed: float) -> None:
        """Record a measured first-token time.

        Parameters
        ----------
        tokens : float
            Number of uncached prompt tokens.
        elapsed : float
            Time to the first token, in seconds.
        """
        self.n *= FIT_DECAY
        self.x *= FIT_DECAY
        self.y *= FIT_DECAY
        self.xx *= FIT_DECAY
        self.xy *= FIT_DECAY
        self._add(tokens, elapsed, 1.0)

    def predict(self, tokens: float) -> float:
        """Predict the first-token time.

        Parameters
        ----------
        tokens : float
            Number of uncached prompt tokens.

        Returns
        -------
        float
            Predicted time to the first token, in seconds.
        """
        denominator = self.n * self.xx - self.x * self.x
        slope = 0.0
        if denominator > 1e-9 * self.n * self.xx:
            slope = max(0.0, (self.n * self.xy - self.x * self.y) / denominator)
        mean = self.y / self.n
        return max(0.0, mean + slope * (tokens - self.x / self.n))
