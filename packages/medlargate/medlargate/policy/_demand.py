"""Rates and levels that the scheduler needs to look ahead."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

RATE_WINDOW = 5.0  # seconds
DURATION_SMOOTHING = 0.05
LEVEL_WINDOW = 3.0  # seconds


@dataclass(slots=True)
class DecayingRate:
    """Events per second with exponential forgetting.

    Attributes
    ----------
    window : float
        Time constant, seconds.
    value : float
        Amount per second at ``at``.
    at : float
        Time of the last event, seconds.
    """

    window: float = RATE_WINDOW
    value: float = 0.0
    at: float = 0.0

    def observe(self, now: float, amount: float = 1.0) -> None:
        """Take in one event.

        Parameters
        ----------
        now : float
            Seconds.
        amount : float, default=1.0
            What it adds.
        """
        self.value = self.get_rate(now) + amount / self.window
        self.at = now

    def get_rate(self, now: float) -> float:
        """Return the rate.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
            Amount per second.
        """
        return self.value * math.exp((self.at - now) / self.window)


@dataclass(slots=True)
class TierDemand:
    """What one tier asks of a pool.

    Attributes
    ----------
    arrivals : DecayingRate
        Requests per second.
    n_waiting, n_in_flight : int
        Requests now.
    duration : float
        Smoothed seconds per request; 0 before the first.
    level, level_at : float
        Smoothed requests waiting and in flight, and when they were smoothed.
    """

    arrival_rate: DecayingRate = field(default_factory=DecayingRate)
    n_waiting: int = 0
    n_in_flight: int = 0
    duration: float = 0.0
    level: float = 0.0
    level_at: float = 0.0

    def smooth_n_requests(self, now: float) -> float:
        """Return the number of requests, smoothed over ``LEVEL_WINDOW``.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
            Requests waiting and in flight.
        """
        weight = 1 - math.exp((self.level_at - now) / LEVEL_WINDOW)
        self.level += weight * (self.n_waiting + self.n_in_flight - self.level)
        self.level_at = now
        return self.level

    def observe_duration(self, duration: float) -> None:
        """Take in a finished request.

        Parameters
        ----------
        duration : float
            Seconds between dispatch and end.
        """
        rate = DURATION_SMOOTHING if self.duration else 1.0
        self.duration += rate * (duration - self.duration)
