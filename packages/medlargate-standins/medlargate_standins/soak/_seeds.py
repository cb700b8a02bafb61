"""Seeds of runs as given on a command line."""

from __future__ import annotations


def read_seeds(text: str) -> list[int]:
    """Return the seeds that a text names.

    Examples
    --------
    >>> read_seeds("1-3,7")
    [1, 2, 3, 7]
    """
    seeds: list[int] = []
    for part in filter(None, text.split(",")):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds
