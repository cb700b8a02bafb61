"""Which callers lose what a node holds for them when all together hold too much."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Holding:
    """Memory that a node holds for one caller.

    Attributes
    ----------
    n_bytes : int
        Size, in bytes.
    since : float
        Time at which the node began to hold it, in seconds.
    """

    n_bytes: int
    since: float


def choose_evicted(
    holdings: Iterable[tuple[KeyT, Holding]], n_excess: int, *, now: float
) -> list[KeyT]:
    """Return the callers to give up, by memory times the time that it was held.

    A caller that sends or reads at an ordinary speed holds memory for a short time, so
    that it is given up last, even if it holds as much as the others. The pattern
    of load is many large bodies or answers that make little headway beside few that do.

    Parameters
    ----------
    holdings : iterable of (hashable, Holding)
        What may be given up, by caller.
    n_excess : int
        Bytes that have to be freed.
    now : float
        Current time, in seconds.

    Returns
    -------
    list of hashable
        Callers in the order in which they are given up; all if that is not enough.

    Examples
    --------
    >>> slow, fast = Holding(4_000_000, since=0.0), Holding(4_000_000, since=9.5)
    >>> choose_evicted([("fast", fast), ("slow", slow)], 1_000, now=10.0)
    ['slow']
    """
    evicted = []
    ranked = sorted(holdings, key=lambda it: it[1].n_bytes * (now - it[1].since))
    while n_excess > 0 and ranked:
        key, holding = ranked.pop()
        evicted.append(key)
        n_excess -= holding.n_bytes
    return evicted
