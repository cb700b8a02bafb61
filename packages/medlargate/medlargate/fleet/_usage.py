"""Cumulative usage counters of one node, per window, customer and request class."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import orjson
from pydantic import BaseModel
from returns.result import Failure, Result, Success

from ..platform import Compare, PlatformCallError, Put, Store

log = logging.getLogger(__name__)

PREFIX = "medlargate/usage/"
KEY_SEPARATOR = "\t"
COMPRESSION_LEVEL = 3


class UsageRow(BaseModel):
    """Requests and tokens of one customer in one request class and window."""

    requests: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0

    def add(self, other: UsageRow) -> None:
        """Add the counts of another row to this row.

        Parameters
        ----------
        other : UsageRow
            Row to add.
        """
        self.requests += other.requests
        self.prompt_tokens += other.prompt_tokens
        self.cached_tokens += other.cached_tokens
        self.output_tokens += other.output_tokens

    def subtract(self, other: UsageRow) -> UsageRow:
        """Return this row minus another row.

        Parameters
        ----------
        other : UsageRow
            Row to subtract.

        Returns
        -------
        UsageRow
            Differences of the counts; this row is not changed.
        """
        return UsageRow(
            requests=self.requests - other.requests,
            prompt_tokens=self.prompt_tokens - other.prompt_tokens,
            cached_tokens=self.cached_tokens - other.cached_tokens,
            output_tokens=self.output_tokens - other.output_tokens,
        )


class UsagePart(BaseModel):
    """Cumulative counters of one node in one window.

    Notes
    -----
    The counters are cumulative and the part has a sequence number, so every write
    and every copy is idempotent: of two parts of one node and window, the one with
    the higher sequence number includes the other. A part whose base is not 0 is a
    delta: only the rows that changed after the sequence number ``base``.
    """

    window: int
    node: str
    sequence: int = 0
    base: int = 0
    rows: dict[str, UsageRow] = {}


def make_part_key(window: int, node: str) -> str:
    """Return the store key of a part.

    Parameters
    ----------
    window : int
        Number of the window.
    node : str
        Name of the node with its incarnation.

    Returns
    -------
    str
        Key in the key-value service; parts of one window share a prefix.
    """
    return f"{PREFIX}part/{window:012d}/{node}"


def make_row_key(customer: str, request_class: str) -> str:
    """Return the key of a row within a part.

    Parameters
    ----------
    customer, request_class : str
        Names of the customer and the request class that the row counts.

    Returns
    -------
    str
        Both names, joined by ``KEY_SEPARATOR``.
    """
    return f"{customer}{KEY_SEPARATOR}{request_class}"


def encode_part(part: UsagePart) -> bytes:
    """Encode a part for the store or a peer.

    Parameters
    ----------
    part : UsagePart
        Part to encode.

    Returns
    -------
    bytes
        Compressed JSON.
    """
    return zlib.compress(orjson.dumps(part.model_dump()), COMPRESSION_LEVEL)


def decode_part(raw: bytes) -> UsagePart:
    """Decode a part from the store or a peer.

    Parameters
    ----------
    raw : bytes
        Compressed JSON from ``encode_part``.

    Returns
    -------
    UsagePart
        Decoded part.
    """
    return UsagePart.model_validate_json(zlib.decompress(raw))


@dataclass
class UsageLedger:
    """Counters of this node and copies of other nodes' parts not yet in the store.

    Parameters
    ----------
    node : str
        Name of this node with its incarnation.
    window_length : float
        Length of a window in seconds.
    clock : callable
        Returns the time in seconds since the epoch.

    Attributes
    ----------
    parts : dict of int to UsagePart
        Counters of this node by window.
    copies : dict of (int, str) to UsagePart
        Newest copies of other nodes' parts by window and node.
    """

    node: str
    window_length: float
    clock: Callable[[], float]
    parts: dict[int, UsagePart] = field(default_factory=dict)
    copies: dict[tuple[int, str], UsagePart] = field(default_factory=dict)
    _flushed: dict[tuple[int, str], int] = field(default_factory=dict)
    _row_sequences: dict[int, dict[str, int]] = field(default_factory=dict)

    def window_of(self, at: float) -> int:
        """Return the number of the window that contains a point in time.

        Parameters
        ----------
        at : float
            Time in seconds since the epoch.

        Returns
        -------
        int
            Number of the window.
        """
        return int(at // self.window_length)

    def count_request(
        self, customer: str, request_class: str, counts: UsageRow
    ) -> None:
        """Count one finished request in the current window.

        Parameters
        ----------
        customer, request_class : str
            Names of the customer and the request class of the request.
        counts : UsageRow
            Usage of the request.
        """
        window = self.window_of(self.clock())
        part = self.parts.get(window)
        if part is None:
            part = self.parts[window] = UsagePart(window=window, node=self.node)
        key = make_row_key(customer, request_class)
        part.rows.setdefault(key, UsageRow()).add(counts)
        part.sequence += 1
        self._row_sequences.setdefault(window, {})[key] = part.sequence

    def make_delta(self, window: int, base: int) -> UsagePart:
        """Make a part with the rows of a window that a peer's copy lacks.

        Parameters
        ----------
        window : int
            Number of a window in ``parts``.
        base : int
            Sequence number of the peer's copy; 0 if the peer has none.

        Returns
        -------
        UsagePart
            Part with the rows that changed after ``base``; all rows if it is 0.
        """
        part = self.parts[window]
        changed = self._row_sequences.get(window, {})
        rows = {
            key: row for key, row in part.rows.items() if changed.get(key, 0) > base
        }
        return part.model_copy(update={"rows": rows, "base": base})

    def store_copy(self, part: UsagePart) -> bool:
        """Store or update the copy of another node's part.

        Parameters
        ----------
        part : UsagePart
            Full part, or a delta to the copy that is stored already.

        Returns
        -------
        bool
            False if the part is a delta and the copy that it is based on is missing.
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
            # Rows are cumulative: a newer row includes the older one.
            known.rows.update(part.rows)
            known.sequence = part.sequence
        return True

    def unflushed_parts(self) -> list[UsagePart]:
        """List this node's parts whose newest state is not in the store.

        Returns
        -------
        list of UsagePart
            Parts in the order of their windows, oldest first.
        """
        return [
            part
            for window, part in sorted(self.parts.items())
            if self._flushed.get((window, part.node), 0) < part.sequence
        ]

    async def flush(
        self, store: Store, parts: Iterable[UsagePart]
    ) -> Result[int, PlatformCallError]:
        """Write parts to the store without replacing newer ones.

        Parameters
        ----------
        store : Store
            The key-value service.
        parts : iterable of UsagePart
            Parts of this node, or copies of the parts of a failed node.

        Returns
        -------
        Result of int or PlatformCallError
            Number of parts written.
        """
        n_written = 0
        # Requests are counted during the writes too: only the state copied here is
        # marked as flushed.
        for part in [part.model_copy(deep=True) for part in parts]:
            written = await flush_part(store, part)
            if isinstance(written, Failure):
                return written
            n_written += written.unwrap()
            key = (part.window, part.node)
            self._flushed[key] = max(self._flushed.get(key, 0), part.sequence)
            copy = self.copies.get(key)
            if copy is not None and copy.sequence <= part.sequence:
                del self.copies[key]
        self._drop_flushed_parts()
        return Success(n_written)

    def drop_flushed_copy(self, window: int, node: str, sequence: int) -> None:
        """Drop the copy of a part that its own node has written to the store.

        Parameters
        ----------
        window : int
            Number of the window.
        node : str
            Name of the node with its incarnation.
        sequence : int
            Sequence number of the part in the store; a newer copy is kept.
        """
        copy = self.copies.get((window, node))
        if copy is not None and copy.sequence <= sequence:
            del self.copies[window, node]

    def flushed_sequences(self) -> list[tuple[int, str, int]]:
        """List the sequence numbers up to which this node has flushed parts.

        Returns
        -------
        list of (int, str, int)
            Window, node and sequence number of each part.
        """
        return [
            (window, node, sequence)
            for (window, node), sequence in self._flushed.items()
        ]

    def _drop_flushed_parts(self) -> None:
        """Drop this node's flushed parts of past windows."""
        current = self.window_of(self.clock())
        for window in [w for w in self.parts if w < current - 1]:
            key = (window, self.parts[window].node)
            if self._flushed.get(key, 0) >= self.parts[window].sequence:
                del self.parts[window]
                self._row_sequences.pop(window, None)
        for key in [k for k in self._flushed if k[0] < current - 60]:
            del self._flushed[key]


async def flush_part(store: Store, part: UsagePart) -> Result[bool, PlatformCallError]:
    """Write one part unless the store has an equal or newer one.

    Parameters
    ----------
    store : Store
        The key-value service.
    part : UsagePart
        Part to write.

    Returns
    -------
    Result of bool or PlatformCallError
        Whether the part was written; False if the stored one is not older.
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
