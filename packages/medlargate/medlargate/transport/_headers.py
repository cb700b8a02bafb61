"""Header lookup."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

Headers = Sequence[tuple[bytes, bytes]]


def find_header(headers: Iterable[tuple[bytes, bytes]], name: str) -> str | None:
    """Return the first value of a header.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Headers with names in lower case.
    name : str
        Name of the header in any case.

    Returns
    -------
    str or None
        Value of the header; None if it is absent.
    """
    lower_name = name.lower().encode()
    for key, value in headers:
        if key == lower_name:
            return value.decode("latin-1")
    return None
