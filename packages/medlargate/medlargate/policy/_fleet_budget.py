"""Fleet-wide retry budget, divided among the nodes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Each node spends only this fraction of its budget, since nodes learn of each other
# with a delay and may divide the fleet's slack among too few.
SAFETY_FACTOR = 0.7


@dataclass
class FleetRetryBudget:
    """Retries that one node may send to one service within a sliding window.

    Parameters
    ----------
    ratio : float
        Allowed number of retries per request.
    slack : float
        Number of retries per window that the whole fleet may send in addition to the
        ratio.
    window : float
        Length of the sliding window, in seconds.

    Examples
    --------
    >>> budget = FleetRetryBudget(ratio=0.5, slack=0, window=10)
    >>> for _ in range(4):
    ...     budget.observe_request(0.0)
    >>> [budget.spend(1.0, n_nodes=1) for _ in range(2)]
    [True, False]
    """

    ratio: float
    slack: float
    window: float
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def observe_request(self, now: float) -> None:
        """Record a request that was sent for the first time.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        self._requests.append(now)
        self._drop_expired(now)

    def spend(self, now: float, *, n_nodes: int) -> bool:
        """Take one retry out of the budget unless the budget is exhausted.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        n_nodes : int
            Number of nodes among which the slack is divided.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """
        if not self.can_spend(now, n_nodes=n_nodes):
            return False
        self._retries.append(now)
        return True

    def can_spend(self, now: float, *, n_nodes: int) -> bool:
        """Return whether the budget has room for a retry.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        n_nodes : int
            Number of nodes among which the slack is divided.

        Returns
        -------
        bool
            Whether ``spend`` would allow a retry.
        """
        self._drop_expired(now)
        allowed = self.ratio * len(self._requests) + self.slack / max(1, n_nodes)
        return len(self._retries) + 1 <= SAFETY_FACTOR * allowed

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window:
                times.popleft()
