"""Usage counters of one node, kept per window and cumulative."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import orjson
from pydantic import BaseModel
from returns.result import Failure, Result, Success

from ..platform import Compare, Put, Store, StoreError

log = logging.getLogger(__name__)

PREFIX = "medlargate/usage/"
KEY_SEPARATOR = "\t"
COMPRESSION_LEVEL = 3


class UsageRow(BaseModel):
    """What one customer used of one class in one window."""

    requests: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0

    def add(self, other: UsageRow) -> None:
        """Add other counts to these.

        Parameters
        ----------
        other : Counts
            What to add.
        """
        self.requests += other.requests
        self.prompt_tokens += other.prompt_tokens
        self.cached_tokens += other.cached_tokens
        self.output_tokens += other.output_tokens

    def subtract(self, other: UsageRow) -> UsageRow:
        """Compute the difference to other counts.

        Parameters
        ----------
        other : Counts
            What to take away.

        Returns
        -------
        Counts
            These minus the other ones.
        """
        return UsageRow(
            requests=self.requests - other.requests,
            prompt_tokens=self.prompt_tokens - other.prompt_tokens,
            cached_tokens=self.cached_tokens - other.cached_tokens,
            output_tokens=self.output_tokens - other.output_tokens,
        )


class UsagePart(BaseModel):
    """One node's cumulative counters of one window.

    Notes
    -----
    Cumulative counters with a sequence number make every write and every copy
    idempotent: of two parts of one node the one with the higher number holds all.
    A part with a base holds only the rows that changed after that number.
    """

    window: int
    node: str
    sequence: int = 0
    base: int = 0
    rows: dict[str, UsageRow] = {}


def make_part_key(window: int, node: str) -> str:
    """Name the key of a part.

    Parameters
    ----------
    window : int
        The window's number.
    node : str
        The node with its incarnation.

    Returns
    -------
    str
        Key; parts of one window share a prefix.
    """
    return f"{PREFIX}part/{window:012d}/{node}"


def make_row_key(customer: str, request_class: str) -> str:
    """Name a row of a part.

    Parameters
    ----------
    customer, request_class : str
        What the row counts.

    Returns
    -------
    str
        The names with a separator.
    """
    return f"{customer}{KEY_SEPARATOR}{request_class}"


def encode_part(part: UsagePart) -> bytes:
    """Encode a part for the store or a peer.

    Parameters
    ----------
    part : Part
        The part.

    Returns
    -------
    bytes
        Compressed JSON.
    """
    return zlib.compress(orjson.dumps(part.model_dump()), COMPRESSION_LEVEL)


def decode_part(raw: bytes) -> UsagePart:
    """Decode a part.

    Parameters
    ----------
    raw : bytes
        From ``encode_part``.

    Returns
    -------
    Part
        The part.
    """
    return UsagePart.model_validate_json(zlib.decompress(raw))


@dataclass
class UsageLedger:
    """Counters of this node, and copies of other nodes' that are not flushed yet.

    Parameters
    ----------
    node : str
        The node's name with its incarnation.
    window_length : float
        Seconds per window.
    clock : callable
        Returns seconds since the epoch.

    Attributes
    ----------
    parts : dict of int to Part
        Own counters by window.
    copies : dict of (int, str) to Part
        Newest copies of other nodes' parts.
    """

    node: str
    window_length: float
    clock: Callable[[], float]
    parts: dict[int, UsagePart] = field(default_factory=dict)
    copies: dict[tuple[int, str], UsagePart] = field(default_factory=dict)
    _flushed: dict[tuple[int, str], int] = field(default_factory=dict)
    _changed: dict[int, dict[str, int]] = field(default_factory=dict)

    def window_of(self, at: float) -> int:
        """Return the window of a point in time.

        Parameters
        ----------
        at : float
            Seconds since the epoch.

        Returns
        -------
        int
            The window's number.
        """
        return int(at // self.window_length)

    def count_request(
        self, customer: str, request_class: str, counts: UsageRow
    ) -> None:
        """Count one finished request in the present window.

        Parameters
        ----------
        customer, request_class : str
            Whose request of which class.
        counts : Counts
            What it used.
        """
        window = self.window_of(self.clock())
        part = self.parts.get(window)
        if part is None:
            part = self.parts[window] = UsagePart(window=window, node=self.node)
        key = make_row_key(customer, request_class)
        part.rows.setdefault(key, UsageRow()).add(counts)
        part.sequence += 1
        self._changed.setdefault(window, {})[key] = part.sequence

    def make_delta(self, window: int, base: int) -> UsagePart:
        """Make the part of a window that a peer with a copy lacks.

        Parameters
        ----------
        window : int
            One of ``parts``.
        base : int
            Sequence number of the peer's copy; 0 for none.

        Returns
        -------
        Part
            The rows that changed since, or all of them.
        """
        part = self.parts[window]
        changed = self._changed.get(window, {})
        rows = {
            key: row for key, row in part.rows.items() if changed.get(key, 0) > base
        }
        return part.model_copy(update={"rows": rows, "base": base})

    def store_copy(self, part: UsagePart) -> bool:
        """Keep a copy of another node's part.

        Parameters
        ----------
        part : Part
            The whole part, or what changed since the copy that is kept.

        Returns
        -------
        bool
            False when the copy that it builds on is not here.
        """
        key = (part.window, part.node)
        known = self.copies.get(key)
        if part.base == 0:
            if known is None or known.sequence < part.sequence:
                self.copies[key] = part
            return True
        if known is None or known.sequence < part.base:
            return False
        if known.sequence < part.sequence:
            # Rows are cumulative: the later one holds the earlier.
            known.rows.update(part.rows)
            known.sequence = part.sequence
        return True

    def unflushed_parts(self) -> list[UsagePart]:
        """List own parts that the store does not have yet.

        Returns
        -------
        list of Part
            Oldest window first.
        """
        return [
            part
            for window, part in sorted(self.parts.items())
            if self._flushed.get((window, part.node), 0) < part.sequence
        ]

    async def flush(
        self, store: Store, parts: Iterable[UsagePart]
    ) -> Result[int, StoreError]:
        """Write parts to the store, never replacing a newer one.

        Parameters
        ----------
        store : Store
            The key-value service.
        parts : iterable of Part
            Own parts, or copies of a dead node's.

        Returns
        -------
        Result of int or StoreError
            Number of parts written.
        """
        n_written = 0
        # Counting goes on during the writes: only what was copied here is flushed.
        for part in [part.model_copy(deep=True) for part in parts]:
            written = await flush_part(store, part)
            if isinstance(written, Failure):
                return written
            n_written += written.unwrap()
            key = (part.window, part.node)
            self._flushed[key] = max(self._flushed.get(key, 0), part.sequence)
            kept = self.copies.get(key)
            if kept is not None and kept.sequence <= part.sequence:
                del self.copies[key]
        self._forget()
        return Success(n_written)

    def drop_flushed_copy(self, window: int, node: str, sequence: int) -> None:
        """Drop a copy that its node has flushed itself.

        Parameters
        ----------
        window : int
            The window's number.
        node : str
            The node with its incarnation.
        sequence : int
            What the store has.
        """
        kept = self.copies.get((window, node))
        if kept is not None and kept.sequence <= sequence:
            del self.copies[window, node]

    def flushed_sequences(self) -> list[tuple[int, str, int]]:
        """List what this node has flushed of its own parts.

        Returns
        -------
        list of (int, str, int)
            Window, node and sequence number.
        """
        return [(window, node, n) for (window, node), n in self._flushed.items()]

    def _forget(self) -> None:
        """Drop own parts of past windows that are flushed."""
        present = self.window_of(self.clock())
        for window in [w for w in self.parts if w < present - 1]:
            key = (window, self.parts[window].node)
            if self._flushed.get(key, 0) >= self.parts[window].sequence:
                del self.parts[window]
                self._changed.pop(window, None)
        for key in [k for k in self._flushed if k[0] < present - 60]:
            del self._flushed[key]


async def flush_part(store: Store, part: UsagePart) -> Result[bool, StoreError]:
    """Write one part unless the store has a newer one.

    Parameters
    ----------
    store : Store
        The key-value service.
    part : Part
        What to write.

    Returns
    -------
    Result of bool or StoreError
        False when the store had as much already.
    """
    key = make_part_key(part.window, part.node)
    body = encode_part(part)
    created = await store.write([Compare(key, 0)], [Put(key, body)], reads=[key])
    if isinstance(created, Failure) or created.unwrap().succeeded:
        return created.map(lambda _: True)
    while True:
        entries = created.unwrap().entries
        if not entries:
            return await flush_part(store, part)
        known = decode_part(entries[0].value)
        if known.sequence >= part.sequence:
            return Success(False)
        compare = Compare(key, entries[0].mod_revision)
        created = await store.write([compare], [Put(key, body)], reads=[key])
        if isinstance(created, Failure) or created.unwrap().succeeded:
            return created.map(lambda _: True)
