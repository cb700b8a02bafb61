"""Revisions of the store that keep rising when the store is restored from a copy.

After a restore the store gives out revisions again that it has given out before, and
counts its restores in a header. The client combines both numbers, so that the rest of
the program can compare revisions as if the store had never lost any.
"""

from __future__ import annotations

REVISION_BITS = 40
REVISION_MASK = (1 << REVISION_BITS) - 1
# Combined revisions stay below 2**63, which all receivers of fencing tokens can read.
MAX_ERA = (1 << 23) - 1


def parse_era(text: str | None) -> int | None:
    """Return the era that a header states; None if it is absent or invalid.

    Examples
    --------
    >>> parse_era("7"), parse_era(None), parse_era("-1"), parse_era("9" * 30)
    (7, None, None, None)
    """
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    era = int(text) if len(text) < 10 else MAX_ERA + 1
    return era if era <= MAX_ERA else None


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
