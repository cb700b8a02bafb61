"""Revisions of the store that keep rising when the store is restored from a copy.

After a restore the store gives out revisions again that it has given out before, and
counts its restores in a header. The client combines both numbers, so that the rest of
the program can compare revisions as if the store had never lost any.
"""

from __future__ import annotations

REVISION_BITS = 40
REVISION_MASK = (1 << REVISION_BITS) - 1


def make_revision(era: int, store_revision: int) -> int:
    """Combine a store revision with the era in which it was given out.

    Parameters
    ----------
    era : int
        Era of the store, which rises by one with each restore.
    store_revision : int
        Revision as the store counts it; 0 for a key that does not exist.

    Returns
    -------
    int
        Revision that is larger than all of earlier eras; 0 stays 0.

    Examples
    --------
    >>> make_revision(2, 5) > make_revision(1, 900)
    True
    >>> get_era(make_revision(2, 5)), get_store_revision(make_revision(2, 5))
    (2, 5)
    """
    return (era << REVISION_BITS) | store_revision if store_revision else 0


def get_era(revision: int) -> int:
    """Return the era in which a revision was given out."""
    return revision >> REVISION_BITS


def get_store_revision(revision: int) -> int:
    """Return a revision as the store counts it."""
    return revision & REVISION_MASK
