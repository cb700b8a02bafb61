"""Estimates of output length per customer and route, with bounded memory."""

from __future__ import annotations

from cachetools import LRUCache

MAX_ENTRIES = 20_000
DEFAULT_OUTPUT_TOKENS = 100.0
SMOOTHING = 0.2


class OutputEstimator:
    """Smoothed output length of each (customer, route).

    Parameters
    ----------
    max_entries : int, default=20000
        Entries kept; the least recently used goes first.

    Examples
    --------
    >>> estimator = OutputEstimator()
    >>> estimator.observe("a", "summary", 500)
    >>> estimator.predict("a", "summary")
    500.0
    """

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self._lengths: LRUCache[tuple[str, str], float] = LRUCache(max_entries)
        self._routes: LRUCache[str, float] = LRUCache(max_entries)

    def observe(self, customer: str, route: str, output_tokens: int) -> None:
        """Take in the length of a finished answer.

        Parameters
        ----------
        customer, route : str
            Whose answer and on which route.
        output_tokens : int
            Its length.
        """
        for table, key in ((self._lengths, (customer, route)), (self._routes, route)):
            old = table.get(key, float(output_tokens))
            table[key] = old + SMOOTHING * (output_tokens - old)

    def predict(self, customer: str, route: str) -> float:
        """Estimate the length of the next answer.

        Parameters
        ----------
        customer, route : str
            Who asks and on which route.

        Returns
        -------
        float
            Tokens; the route's mean for a customer not seen yet.
        """
        known = self._lengths.get((customer, route))
        if known is None:
            known = self._routes.get(route, DEFAULT_OUTPUT_TOKENS)
        return known
