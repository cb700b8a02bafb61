"""Cumulative work for each customer, exchanged between nodes for fair queueing."""

from __future__ import annotations

import time

from cachetools import LRUCache

from ..policy import DecayingRate

MAX_CUSTOMERS = 4096
MAX_REPORTED_CUSTOMERS = 16
RATE_WINDOW = 10.0  # seconds
KEY_SEPARATOR = "|"


def make_work_key(pool: str, cls: str, customer: str) -> str:
    """Build the key of a work counter.

    Parameters
    ----------
    pool, cls, customer : str
        Names of pool, request class and customer.

    Returns
    -------
    str
        The three names, joined with ``KEY_SEPARATOR``.
    """
    return KEY_SEPARATOR.join((pool, cls, customer))


class WorkCounter:
    """Cumulative work by pool, request class and customer.

    Notes
    -----
    Only the totals of the busiest customers are sent to other nodes; all other
    customers are below their fair share by construction. Totals are cumulative, so
    that a lost message does no harm: the next one includes its increments.

    Examples
    --------
    >>> counter = WorkCounter()
    >>> counter.add("p", "c", "a", 2.0)
    >>> counter.snapshot()
    {'p|c|a': 2.0}
    """

    def __init__(self) -> None:
        self._totals: LRUCache[str, float] = LRUCache(MAX_CUSTOMERS)
        self._rates: LRUCache[str, DecayingRate] = LRUCache(MAX_CUSTOMERS)
        self._remote_totals: dict[tuple[str, str], float] = {}

    def add(self, pool: str, cls: str, customer: str, work: float) -> None:
        """Add work that this node has done for a customer.

        Parameters
        ----------
        pool, cls, customer : str
            Names of pool, request class and customer.
        work : float
            Output-token equivalents divided by the customer's weight; negative for
            a correction.
        """
        key = make_work_key(pool, cls, customer)
        self._totals[key] = self._totals.get(key, 0.0) + work
        rate = self._rates.get(key)
        if rate is None:
            rate = self._rates[key] = DecayingRate(RATE_WINDOW)
        rate.observe(time.monotonic(), abs(work))

    def snapshot(self) -> dict[str, float]:
        """Return the totals of the busiest customers.

        Returns
        -------
        dict of str to float
            Cumulative work by counter key, for at most ``MAX_REPORTED_CUSTOMERS``
            counters with the highest recent rate.
        """
        now = time.monotonic()
        busiest = sorted(
            self._rates, key=lambda key: self._rates[key].get_rate(now), reverse=True
        )
        return {
            key: round(self._totals[key], 1) for key in busiest[:MAX_REPORTED_CUSTOMERS]
        }

    def apply_remote_totals(
        self, node: str, totals: dict[str, float]
    ) -> list[tuple[str, str, str, float]]:
        """Store the totals of another node and return their increments.

        The first total of a counter gives no increment.

        Parameters
        ----------
        node : str
            Incarnation of the other node.
        totals : dict of str to float
            Cumulative work by counter key, from the other node's ``snapshot``.

        Returns
        -------
        list of (str, str, str, float)
            Pool, request class, customer and work added since the previous totals.
        """
        increments = []
        for key, total in totals.items():
            previous = self._remote_totals.get((node, key))
            self._remote_totals[node, key] = total
            if previous is not None and total != previous:
                pool, cls, customer = key.split(KEY_SEPARATOR, 2)
                increments.append((pool, cls, customer, total - previous))
        if len(self._remote_totals) > MAX_CUSTOMERS * 4:
            self._remote_totals.clear()
        return increments
