"""Counts of requests by window, node and customer, merged from peers' word."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

WINDOWS_KEPT = 8
WindowCounts = dict[str, int]


@dataclass
class UsageCounts:
    """What this node counted, and what others said they counted.

    A node's count of a window only rises, so that of two words the larger is the
    newer one.

    Parameters
    ----------
    window_length : float
        Seconds.

    Examples
    --------
    >>> counts = UsageCounts(5.0)
    >>> counts.count_request("n1", "alpha", 12.0)
    >>> counts.merge("n2", {2: {"alpha": 3}})
    >>> counts.sum_window(2)
    {'alpha': 4}
    """

    window_length: float
    _counts: dict[int, dict[str, WindowCounts]] = field(default_factory=dict)

    def window_at(self, now: float) -> int:
        """Return the number of the window at a time since 1970."""
        return int(now // self.window_length)

    def count_request(self, node: str, customer: str, now: float) -> None:
        """Count one request.

        Parameters
        ----------
        node : str
            The counting node, with its incarnation.
        customer : str
            Whose request.
        now : float
            Seconds since 1970.
        """
        window = self.window_at(now)
        rows = self._counts.setdefault(window, {}).setdefault(node, {})
        rows[customer] = rows.get(customer, 0) + 1
        self._forget(window)

    def merge(self, node: str, windows: Mapping[int, Mapping[str, int]]) -> None:
        """Take in what a node says it counted.

        Parameters
        ----------
        node : str
            The counting node, with its incarnation.
        windows : mapping of int to mapping of str to int
            Its counts by window and customer.
        """
        for window, counts in windows.items():
            rows = self._counts.setdefault(window, {}).setdefault(node, {})
            for customer, n_requests in counts.items():
                rows[customer] = max(rows.get(customer, 0), n_requests)
            self._forget(window)

    def snapshot(self, node: str, *, since: int = 0) -> dict[int, WindowCounts]:
        """Report one node's counts.

        Parameters
        ----------
        node : str
            The counting node.
        since : int, default=0
            First window wanted.

        Returns
        -------
        dict of int to dict of str to int
            By window and customer.
        """
        return {
            window: dict(nodes[node])
            for window, nodes in self._counts.items()
            if window >= since and node in nodes
        }

    def sum_window(self, window: int) -> WindowCounts:
        """Sum a window over all nodes.

        Parameters
        ----------
        window : int
            Its number.

        Returns
        -------
        dict of str to int
            By customer.
        """
        total: WindowCounts = {}
        for rows in self._counts.get(window, {}).values():
            for customer, n_requests in rows.items():
                total[customer] = total.get(customer, 0) + n_requests
        return total

    def _forget(self, newest: int) -> None:
        newest = max(newest, *self._counts)
        for window in [w for w in self._counts if w <= newest - WINDOWS_KEPT]:
            del self._counts[window]
