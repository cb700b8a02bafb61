"""Request counts by window, node and customer, merged from peers' messages."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

WINDOWS_KEPT = 8  # newest windows whose counts are kept
WindowCounts = dict[str, int]


@dataclass
class UsageCounts:
    """Request counts of this node and of other nodes, as received from them.

    The counts of one node in one window never decrease, so of two received counts
    the larger one is the newer one.

    Parameters
    ----------
    window_length : float
        Length of a window in seconds.

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
        """Return the number of the window at a time in seconds since 1970."""
        return int(now // self.window_length)

    def count_request(self, node: str, customer: str, now: float) -> None:
        """Count one request.

        Parameters
        ----------
        node : str
            Name of the counting node with its incarnation.
        customer : str
            Name of the customer who sent the request.
        now : float
            Time in seconds since 1970.
        """
        window = self.window_at(now)
        rows = self._counts.setdefault(window, {}).setdefault(node, {})
        rows[customer] = rows.get(customer, 0) + 1
        self._drop_old_windows(window)

    def merge(self, node: str, windows: Mapping[int, Mapping[str, int]]) -> None:
        """Merge the counts that a node sent into the stored ones.

        Parameters
        ----------
        node : str
            Name of the counting node with its incarnation.
        windows : mapping of int to mapping of str to int
            Counts of the node by window and customer.
        """
        for window, counts in windows.items():
            rows = self._counts.setdefault(window, {}).setdefault(node, {})
            for customer, n_requests in counts.items():
                rows[customer] = max(rows.get(customer, 0), n_requests)
            self._drop_old_windows(window)

    def snapshot(self, node: str, *, since: int = 0) -> dict[int, WindowCounts]:
        """Return one node's counts.

        Parameters
        ----------
        node : str
            Name of the counting node with its incarnation.
        since : int, default=0
            Number of the first window to include.

        Returns
        -------
        dict of int to dict of str to int
            Numbers of requests by window and customer.
        """
        return {
            window: dict(nodes[node])
            for window, nodes in self._counts.items()
            if window >= since and node in nodes
        }

    def sum_window(self, window: int) -> WindowCounts:
        """Return the counts of a window, summed over all nodes.

        Parameters
        ----------
        window : int
            Number of the window.

        Returns
        -------
        dict of str to int
            Numbers of requests by customer.
        """
        total: WindowCounts = {}
        for rows in self._counts.get(window, {}).values():
            for customer, n_requests in rows.items():
                total[customer] = total.get(customer, 0) + n_requests
        return total

    def _drop_old_windows(self, newest: int) -> None:
        newest = max(newest, *self._counts)
        for window in [w for w in self._counts if w <= newest - WINDOWS_KEPT]:
            del self._counts[window]
