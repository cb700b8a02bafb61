"""How nodes split a backend server's slots without asking each other."""

from __future__ import annotations

import math
from collections.abc import Mapping
from functools import lru_cache

import xxhash

Demand = Mapping[int, float]

MAX_RANKINGS = 2048


def rank_by_hash(subject: str, names: list[str]) -> list[str]:
    """Order names for a subject by rendezvous hashing.

    Parameters
    ----------
    subject : str
        What the names are ranked for.
    names : list of str
        For instance nodes.

    Returns
    -------
    list of str
        The same order on every node; removing a name leaves the rest in order.

    Examples
    --------
    >>> sorted(rank_by_hash("engine", ["a", "b"]))
    ['a', 'b']
    """
    return list(_rank_cached(subject, tuple(names)))


@lru_cache(MAX_RANKINGS)
def _rank_cached(subject: str, names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(
        sorted(
            names,
            key=lambda name: xxhash.xxh64_intdigest(f"{subject}\0{name}".encode()),
            reverse=True,
        )
    )


def decide_quotas(capacity: float, demands: Mapping[str, Demand]) -> dict[str, float]:
    """Split a pool's slots among nodes by their demand, highest tier first.

    Parameters
    ----------
    capacity : float
        Slots of the pool.
    demands : mapping of str to mapping of int to float
        For each node the requests that wait or run, by tier.

    Returns
    -------
    dict of str to float
        Slots for each node; their sum is the capacity.

    Notes
    -----
    Each tier takes its demand from what the higher ones left; the first tier that
    does not fit is scaled down alike on every node. What no tier asks for is split
    evenly, so that an idle node can start at once.

    Examples
    --------
    >>> decide_quotas(10, {"a": {0: 4}, "b": {1: 100}})
    {'a': 4.0, 'b': 6.0}
    """
    quotas = dict.fromkeys(demands, 0.0)
    left = float(capacity)
    tiers = sorted({tier for demand in demands.values() for tier in demand})
    for tier in tiers:
        total = sum(demand.get(tier, 0) for demand in demands.values())
        scale = min(1.0, left / total) if total else 0.0
        for node, demand in demands.items():
            quotas[node] += demand.get(tier, 0) * scale
        left = max(0.0, left - total * scale)
    for node in quotas:
        quotas[node] += left / len(quotas)
    return quotas


def decide_share(
    backend: str, limit: int, quotas: Mapping[str, float], node: str
) -> int:
    """Round one backend server's slots so that the nodes' shares sum to its limit.

    Parameters
    ----------
    backend : str
        The server, which fixes the order of rounding.
    limit : int
        Its slots.
    quotas : mapping of str to float
        From ``decide_quotas`` with equal input on each node.
    node : str
        Whose share is asked for.

    Returns
    -------
    int
        Slots of this node.

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
