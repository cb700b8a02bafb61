"""Work done by this node for each customer, for the exchange with other nodes."""

from __future__ import annotations

import time

from cachetools import LRUCache

from ..policy import DecayingRate

MAX_CUSTOMERS = 4096
TOP_CUSTOMERS = 16
RATE_WINDOW = 10.0  # seconds
SEPARATOR = "|"


def make_work_key(pool: str, cls: str, customer: str) -> str:
    """Name a counter.

    Parameters
    ----------
    pool, cls, customer : str
        Pool, class and customer.

    Returns
    -------
    str
        The names with a separator.
    """
    return SEPARATOR.join((pool, cls, customer))


class WorkCounter:
    """Cumulative work by (pool, class, customer).

    Notes
    -----
    Only the busiest customers are published: the rest are under their share by
    construction. Cumulative figures make a lost message harmless.

    Examples
    --------
    >>> counter = WorkCounter()
    >>> counter.observe("p", "c", "a", 2.0)
    >>> counter.snapshot()
    {'p|c|a': 2.0}
    """

    def __init__(self) -> None:
        self._totals: LRUCache[str, float] = LRUCache(MAX_CUSTOMERS)
        self._rates: LRUCache[str, DecayingRate] = LRUCache(MAX_CUSTOMERS)
        self._seen: dict[tuple[str, str], float] = {}

    def observe(self, pool: str, cls: str, customer: str, work: float) -> None:
        """Count work of this node.

        Parameters
        ----------
        pool, cls, customer : str
            Pool, class and customer.
        work : float
            Output-token equivalents over the customer's weight.
        """
        key = make_work_key(pool, cls, customer)
        self._totals[key] = self._totals.get(key, 0.0) + work
        rate = self._rates.get(key)
        if rate is None:
            rate = self._rates[key] = DecayingRate(RATE_WINDOW)
        rate.observe(time.monotonic(), abs(work))

    def snapshot(self) -> dict[str, float]:
        """Report the busiest customers' totals.

        Returns
        -------
        dict of str to float
            At most ``TOP_CUSTOMERS``.
        """
        now = time.monotonic()
        busiest = sorted(
            self._rates, key=lambda key: self._rates[key].get_rate(now), reverse=True
        )
        return {key: round(self._totals[key], 1) for key in busiest[:TOP_CUSTOMERS]}

    def observe_remote(
        self, node: str, totals: dict[str, float]
    ) -> list[tuple[str, str, str, float]]:
        """Take in another node's totals.

        Parameters
        ----------
        node : str
            The node with its incarnation.
        totals : dict of str to float
            From its ``snapshot``.

        Returns
        -------
        list of (str, str, str, float)
            Pool, class, customer and what was added since the last time.
        """
        added = []
        for key, total in totals.items():
            before = self._seen.get((node, key))
            self._seen[node, key] = total
            if before is not None and total != before:
                pool, cls, customer = key.split(SEPARATOR, 2)
                added.append((pool, cls, customer, total - before))
        if len(self._seen) > MAX_CUSTOMERS * 4:
            self._seen.clear()
        return added
