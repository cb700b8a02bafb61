"""Estimates of the output length by customer and route, with bounded memory."""

from __future__ import annotations

from cachetools import LRUCache

MAX_ENTRIES = 20_000
DEFAULT_OUTPUT_TOKENS = 100.0
SMOOTHING = 0.2


class OutputEstimator:
    """Exponentially smoothed output length of each pair of customer and route.

    Parameters
    ----------
    max_entries : int, default=20000
        Maximum number of pairs, and of routes, that are kept. The least recently used
        are evicted.

    Examples
    --------
    >>> estimator = OutputEstimator()
    >>> estimator.observe("a", "summary", 500)
    >>> estimator.predict("a", "summary")
    500.0
    """

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self._customer_lengths: LRUCache[tuple[str, str], float] = LRUCache(max_entries)
        self._route_lengths: LRUCache[str, float] = LRUCache(max_entries)

    def observe(self, customer: str, route: str, output_tokens: int) -> None:
        """Record the length of a complete response.

        Parameters
        ----------
        customer : str
            Name of the customer.
        route : str
            Name of the request's route.
        output_tokens : int
            Length of the response, in tokens.
        """
        for table, key in (
            (self._customer_lengths, (customer, route)),
            (self._route_lengths, route),
        ):
            previous = table.get(key, float(output_tokens))
            table[key] = previous + SMOOTHING * (output_tokens - previous)

    def predict(self, customer: str, route: str) -> float:
        """Predict the length of the next response.

        Parameters
        ----------
        customer : str
            Name of the customer.
        route : str
            Name of the request's route.

        Returns
        -------
        float
            Predicted length in tokens: the smoothed length of the route for a new
            customer, and ``DEFAULT_OUTPUT_TOKENS`` for a new route.
        """
        length = self._customer_lengths.get((customer, route))
        if length is None:
            length = self._route_lengths.get(route, DEFAULT_OUTPUT_TOKENS)
        return length
