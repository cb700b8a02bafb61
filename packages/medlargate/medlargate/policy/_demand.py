"""Smoothed rates and request counts from which the scheduler predicts waiting times."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

RATE_WINDOW = 5.0  # seconds
DURATION_SMOOTHING = 0.05
N_REQUESTS_WINDOW = 3.0  # seconds


@dataclass(slots=True)
class DecayingRate:
    """Exponentially decaying average of the rate of events.

    Attributes
    ----------
    window : float
        Time constant of the decay, in seconds.
    value : float
        Rate at the time ``updated_at``, in amount per second.
    updated_at : float
        Time of the last event, in seconds.
    """

    window: float = RATE_WINDOW
    value: float = 0.0
    updated_at: float = 0.0

    def observe(self, now: float, amount: float = 1.0) -> None:
        """Record one event.

        Parameters
        ----------
        now : float
            Time of the event, in seconds.
        amount : float, default=1.0
            Amount of the event, such as its work; 1 counts events.
        """
        self.value = self.get_rate(now) + amount / self.window
        self.updated_at = now

    def get_rate(self, now: float) -> float:
        """Return the decayed rate.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Rate, in amount per second.
        """
        return self.value * math.exp((self.updated_at - now) / self.window)


@dataclass(slots=True)
class TierDemand:
    """Demand of one tier on a pool.

    Attributes
    ----------
    arrival_rate : DecayingRate
        Arriving requests per second.
    n_waiting : int
        Number of waiting requests.
    n_in_flight : int
        Number of requests in flight.
    duration : float
        Smoothed time from dispatch to the end of a request, in seconds; 0 before the
        first has ended.
    smoothed_n_requests : float
        Smoothed number of requests that wait or are in flight.
    smoothed_at : float
        Time of the last update of ``smoothed_n_requests``, in seconds.
    """

    arrival_rate: DecayingRate = field(default_factory=DecayingRate)
    n_waiting: int = 0
    n_in_flight: int = 0
    duration: float = 0.0
    smoothed_n_requests: float = 0.0
    smoothed_at: float = 0.0

    def smooth_n_requests(self, now: float) -> float:
        """Update and return the smoothed number of requests.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Number of requests that wait or are in flight, smoothed exponentially with
            the time constant ``N_REQUESTS_WINDOW``.
        """
        weight = 1 - math.exp((self.smoothed_at - now) / N_REQUESTS_WINDOW)
        self.smoothed_n_requests += weight * (
            self.n_waiting + self.n_in_flight - self.smoothed_n_requests
        )
        self.smoothed_at = now
        return self.smoothed_n_requests

    def observe_duration(self, duration: float) -> None:
        """Record the duration of a completed request.

        Parameters
        ----------
        duration : float
            Time from dispatch to the end of the request, in seconds.
        """
        weight = DURATION_SMOOTHING if self.duration else 1.0
        self.duration += weight * (duration - self.duration)
