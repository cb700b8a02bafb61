"""The fleet's bound on sending requests again, divided among its nodes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Left of the fleet's bound unused: nodes learn of each other with a delay.
SAFETY = 0.7


@dataclass
class FleetRetryBudget:
    """Repeats that one node may send to one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Allowed repeats per request.
    slack : float
        Repeats allowed to the whole fleet beyond the ratio.
    window : float
        Seconds.

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
        """Take in a request that was sent for the first time.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._requests.append(now)
        self._forget(now)

    def spend(self, now: float, *, n_nodes: int) -> bool:
        """Take one repeat out of the budget.

        Parameters
        ----------
        now : float
            Seconds.
        n_nodes : int
            Nodes that share the slack.

        Returns
        -------
        bool
            False when none is left.
        """
        self._forget(now)
        allowed = self.ratio * len(self._requests) + self.slack / max(1, n_nodes)
        if len(self._retries) + 1 > SAFETY * allowed:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window:
                times.popleft()
