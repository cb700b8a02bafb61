"""Largest values accepted in data that other programs write."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address

# Whole numbers up to this one are exact as a double and fit into JSON.
MAX_NUMBER = 2**53 - 1
MAX_REVISION = 2**63 - 1
MAX_DURATION = 31_536_000.0  # seconds, a year
MAX_SLOTS = 65_536  # requests that one server runs concurrently
MAX_RATE = 1e6  # requests a second of one server
MAX_TEXT = 200  # characters of a name
MAX_PORT = 65_535
_MAX_DIGITS = 19  # int() fails for very long texts


def parse_count(text: str | None, *, largest: int = MAX_NUMBER) -> int | None:
    """Parse a whole number of a header.

    Parameters
    ----------
    text : str or None
        Decimal digits, with whitespace around them.
    largest : int, default=MAX_NUMBER
        Largest valid number, at most ``MAX_REVISION``.

    Returns
    -------
    int or None
        Number; None for a missing or invalid text.
    """
    digits = (text or "").strip()
    if not (digits.isascii() and digits.isdigit()):
        return None
    digits = digits.lstrip("0") or "0"
    if len(digits) > _MAX_DIGITS or int(digits) > largest:
        return None
    return int(digits)


def parse_address(text: object) -> tuple[str, int] | None:
    """Parse the address of a server or node.

    Parameters
    ----------
    text : object
        Address as ``IP:PORT``.

    Returns
    -------
    tuple of (str, int) or None
        IPv4 address of one machine, and TCP or UDP port; None if the text is no such
        address.
    """
    if not isinstance(text, str):
        return None
    host, _, digits = text.rpartition(":")
    port = parse_count(digits) if digits.strip() == digits else None
    try:
        address = IPv4Address(host)
    except AddressValueError:
        return None
    first_octet = address.packed[0]
    if not 0 < first_octet < 224 or port is None or not 0 < port <= MAX_PORT:
        return None
    return host, port
