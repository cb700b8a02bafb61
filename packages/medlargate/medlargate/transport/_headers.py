"""Looking up headers."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

Headers = Sequence[tuple[bytes, bytes]]


def find_header(headers: Iterable[tuple[bytes, bytes]], name: str) -> str | None:
    """Return the first value of a header.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.
    name : str
        In any case.

    Returns
    -------
    str or None
        None when it is absent.
    """
    wanted = name.lower().encode()
    for key, value in headers:
        if key == wanted:
            return value.decode("latin-1")
    return None
