"""Coordination-free division of a backend server's slots among router nodes.

Every node computes the same division from the same demands.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from functools import lru_cache

import xxhash

DemandByTier = Mapping[int, float]

RANKING_CACHE_SIZE = 2048


def rank_by_hash(subject: str, names: list[str]) -> list[str]:
    """Rank names by rendezvous hashing.

    Parameters
    ----------
    subject : str
        Hash key for which the names are ranked.
    names : list of str
        Names to rank, for instance of nodes.

    Returns
    -------
    list of str
        Ranked names. The order is the same on every node, and removing a name does
        not change the order of the others.

    Examples
    --------
    >>> sorted(rank_by_hash("engine", ["a", "b"]))
    ['a', 'b']
    """
    return list(_rank_cached(subject, tuple(names)))


@lru_cache(RANKING_CACHE_SIZE)
def _rank_cached(subject: str, names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(
        sorted(
            names,
            key=lambda name: xxhash.xxh64_intdigest(f"{subject}\0{name}".encode()),
            reverse=True,
        )
    )


def decide_quotas(
    capacity: float, demands: Mapping[str, DemandByTier]
) -> dict[str, float]:
    """Divide a pool's slots among nodes by demand, highest tier first.

    Parameters
    ----------
    capacity : float
        Number of slots in the pool.
    demands : mapping of str to mapping of int to float
        Waiting and running requests of each node, by tier.

    Returns
    -------
    dict of str to float
        Number of slots for each node; the sum equals ``capacity``.

    Notes
    -----
    Each tier is served from the slots that the higher tiers leave. The first tier
    whose demand exceeds them is scaled down by the same factor on every node. Slots
    without demand are divided evenly, so that an idle node can dispatch at once.

    Examples
    --------
    >>> decide_quotas(10, {"a": {0: 4}, "b": {1: 100}})
    {'a': 4.0, 'b': 6.0}
    """
    quotas = dict.fromkeys(demands, 0.0)
    remaining = float(capacity)
    tiers = sorted({tier for demand in demands.values() for tier in demand})
    for tier in tiers:
        total = sum(demand.get(tier, 0) for demand in demands.values())
        scale = min(1.0, remaining / total) if total else 0.0
        for node, demand in demands.items():
            quotas[node] += demand.get(tier, 0) * scale
        remaining = max(0.0, remaining - total * scale)
    for node in quotas:
        quotas[node] += remaining / len(quotas)
    return quotas


def decide_share(
    backend: str, limit: int, quotas: Mapping[str, float], node: str
) -> int:
    """Compute a node's integer share of a backend server's slots.

    Parameters
    ----------
    backend : str
        Name of the server, which determines the order of rounding.
    limit : int
        Number of slots of the server.
    quotas : mapping of str to float
        Result of ``decide_quotas``, computed from the same input on every node.
    node : str
        Name of the node whose share is computed.

    Returns
    -------
    int
        Number of slots for the node. The shares of all nodes in ``quotas`` sum to
        ``limit`` unless all quotas are 0. A node that ``quotas`` does not list gets
        all slots.

    Examples
    --------
    >>> quotas = {"a": 1.0, "b": 1.0, "c": 1.0}
    >>> sum(decide_share("engine", 16, quotas, name) for name in quotas)
    16
    """
    total = sum(quotas.values())
    if node not in quotas or not total:
        return limit if node not in quotas else 0
    offset = (xxhash.xxh64_intdigest(backend.encode()) % 1000) / 1000
    before = offset
    for name in rank_by_hash(backend, list(quotas)):
        after = before + limit * quotas[name] / total
        if name == node:
            return _floor(after) - _floor(before)
        before = after
    return 0


def _floor(value: float) -> int:
    return math.floor(value + 1e-9)
