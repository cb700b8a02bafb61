"""Shares of customers in the work of a service, over all nodes.

Load pattern: more work than the servers can handle, most of it from one customer, whose
requests arrive at every node. Served in order of arrival, each customer gets the
fraction of the capacity that it has of the requests, so that the large one takes from
the small ones whatever it sends in excess.

Work is counted when it is sent to a server and decays, so that only the last seconds
count. A customer's share is an equal part of the work of all customers that had any.
Share that a customer does not use is used by the others at once, because the order of
the queue never leaves a server unused. A customer that was idle is at most as far below
its share as one whose work has just decayed, however long it was idle.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Time constant of the decay. Nodes learn of each other's work with a delay of 0.2 to 1
# s, and a shorter memory than that would order customers by noise.
MEMORY = 2.0  # seconds
# A customer with less than this fraction of a service's work is not counted as one
# among which the work is divided; it is below any share.
MIN_COUNTED_FRACTION = 0.005
# Customers whose work differs by less than this fraction of a share are served in order
# of arrival. The steps are placed so that customers with about equal work are in the
# middle of one.
SHARE_STEP = 0.25
OVER_SHARE_EXCESS = 0.1  # excess from which a customer counts as above its share
MAX_LOWEST_EXCESS = -0.4  # excess below which a customer is served first
MAX_CUSTOMERS = 2_000  # customers of a service whose work a node keeps
MAX_REPORTED_CONSUMERS = 8  # rows of all services in a node's status message
REFRESH_INTERVAL = 0.02  # seconds between two computations of the shares


@dataclass(slots=True)
class _PeerWork:
    work: Mapping[str, float]
    valid_until: float


class CustomerShares:
    """Work of the customers of one service on all nodes, and their excess.

    Parameters
    ----------
    memory : float, default=2.0
        Time constant of the decay of past work, in seconds.

    Examples
    --------
    >>> shares = CustomerShares()
    >>> shares.observe_work("large", 300.0, 1.0)
    >>> shares.observe_work("small", 100.0, 1.0)
    >>> [round(shares.compute_excess(it, 1.1), 9) for it in ("large", "small")]
    [0.5, -0.5]
    """

    def __init__(self, *, memory: float = MEMORY) -> None:
        self._memory = memory
        self._work: dict[str, tuple[float, float]] = {}
        self._arrived_at: dict[str, float] = {}
        self._peers: dict[str, _PeerWork] = {}
        self._totals: dict[str, float] = {}
        self._share = 0.0
        self._refreshed_at = -math.inf

    def observe_arrival(self, customer: str, now: float) -> None:
        """Count a customer among those that the work is divided among.

        Parameters
        ----------
        customer : str
            Name of the customer of a request that arrived.
        now : float
            Current time, in seconds.
        """
        if customer not in self._arrived_at:
            self._refreshed_at = -math.inf
        self._arrived_at[customer] = now

    def observe_work(self, customer: str, work: float, now: float) -> None:
        """Count work of a customer that this node sends to a server.

        Parameters
        ----------
        customer : str
            Name of the customer.
        work : float
            Tokens of the prompt and the expected output, or calls of a plain service.
        now : float
            Current time, in seconds.
        """
        self._work[customer] = (self._get_own(customer, now) + work, now)
        if customer in self._totals:
            # The next decisions of a pass through the queue count the work already.
            self._totals[customer] += work
        if len(self._work) > MAX_CUSTOMERS:
            self._drop_smallest(now)

    def _get_own(self, customer: str, now: float) -> float:
        work, at = self._work.get(customer, (0.0, now))
        return work * math.exp((at - now) / self._memory)

    def _drop_smallest(self, now: float) -> None:
        ranked = sorted(self._work, key=lambda it: self._get_own(it, now))
        for customer in ranked[: len(ranked) // 2]:
            del self._work[customer]

    def observe_peer(
        self, peer: str, work: Mapping[str, float], now: float, *, lifetime: float
    ) -> None:
        """Replace the work that a peer or another failure domain has reported.

        Parameters
        ----------
        peer : str
            Name of the peer or of the failure domain.
        work : mapping of str to float
            Decayed work of its largest consumers, by customer.
        now : float
            Current time, in seconds.
        lifetime : float
            Time for which the report is used unless another one arrives, in seconds.
        """
        valid = {name: amount for name, amount in work.items() if 0 < amount < math.inf}
        if valid:
            self._peers[peer] = _PeerWork(valid, now + lifetime)
        else:
            self._peers.pop(peer, None)

    def snapshot(self, now: float) -> dict[str, float]:
        """Return the decayed work of this node's customers."""
        return {name: self._get_own(name, now) for name in self._work}

    def snapshot_fleet(self, now: float, peers: Iterable[str]) -> dict[str, float]:
        """Return the decayed work on this node and the given peers, by customer."""
        sums = self.snapshot(now)
        for peer in peers:
            report = self._peers.get(peer)
            if report is not None and now < report.valid_until:
                for customer, work in report.work.items():
                    sums[customer] = sums.get(customer, 0.0) + work
        return sums

    def compute_excess(self, customer: str, now: float) -> float:
        """Return how far a customer's work on all nodes exceeds its share.

        Parameters
        ----------
        customer : str
            Name of the customer.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Excess as a multiple of the share; negative below the share, and -1 for a
            customer without work. 0 if no customer had any.
        """
        if now - self._refreshed_at > REFRESH_INTERVAL:
            self._refresh(now)
        if not self._share:
            return 0.0
        return self._totals.get(customer, 0.0) / self._share - 1.0

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        self._work = {
            name: row
            for name, row in self._work.items()
            if now - row[1] < 5 * self._memory
        }
        self._arrived_at = {
            name: at for name, at in self._arrived_at.items() if now - at < self._memory
        }
        self._peers = {
            name: it for name, it in self._peers.items() if now < it.valid_until
        }
        self._totals = self.snapshot_fleet(now, self._peers)
        total = sum(self._totals.values())
        counted = {
            name
            for name, work in self._totals.items()
            if work >= MIN_COUNTED_FRACTION * total
        }
        counted.update(self._arrived_at)
        self._share = total / len(counted) if counted else 0.0

    @property
    def is_contended(self) -> bool:
        """Whether a customer is noticeably above its share."""
        most = max(self._totals.values(), default=0.0)
        return self._share > 0 and is_over_share(most / self._share - 1.0)


def is_over_share(excess: float) -> bool:
    """Return whether a customer is noticeably above its share.

    Parameters
    ----------
    excess : float
        Excess over the customer's share, as a multiple of the share.

    Returns
    -------
    bool
        False for customers with about equal work.
    """
    return excess >= OVER_SHARE_EXCESS


def compute_share_rank(excess: float) -> int:
    """Return the rank of a customer's requests among those of equal priority.

    Parameters
    ----------
    excess : float
        Excess over the customer's share, as a multiple of the share.

    Returns
    -------
    int
        Rank in steps of ``SHARE_STEP``; 0 for the customers that are served first.
    """
    # Beside many large customers, a small one is far below its share although none is
    # far above, so there are steps below the share too.
    if excess < MAX_LOWEST_EXCESS:
        return 0
    return 1 + int((excess - MAX_LOWEST_EXCESS) / SHARE_STEP)


def choose_reported_consumers(
    work_by_service: Mapping[str, Mapping[str, float]],
    *,
    max_rows: int = MAX_REPORTED_CONSUMERS,
) -> dict[str, dict[str, float]]:
    """Choose the consumers that a node reports to its peers.

    Parameters
    ----------
    work_by_service : mapping of str to mapping
        Decayed work by service and customer.
    max_rows : int, default=8
        Number of rows of all services together.

    Returns
    -------
    dict of str to dict
        Rows with the largest fractions of their service's work, by service.
    """
    rows = []
    for service, work in work_by_service.items():
        total = sum(work.values())
        rows += [
            (amount / total, service, customer, amount)
            for customer, amount in work.items()
            if amount >= MIN_COUNTED_FRACTION * total > 0
        ]
    chosen: dict[str, dict[str, float]] = {}
    for _, service, customer, amount in sorted(rows, reverse=True)[:max_rows]:
        chosen.setdefault(service, {})[customer] = round(amount, 2)
    return chosen
