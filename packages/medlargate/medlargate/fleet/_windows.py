"""Seals each usage window once and reports the sealed bytes."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import orjson
from returns.result import Failure, Result, Success

from ..platform import (
    Compare,
    Delete,
    Entry,
    PlatformCallError,
    PlatformResponse,
    Put,
    Store,
)
from ._leases import DutyLease
from ._usage import PREFIX, UsagePart, UsageRow, decode_part

log = logging.getLogger(__name__)

NEXT_KEY = PREFIX + "next"
SEALED_PREFIX = PREFIX + "sealed/"
ACCOUNTED_PREFIX = PREFIX + "accounted/"
REPORTED_PREFIX = PREFIX + "reported/"
PART_PREFIX = PREFIX + "part/"
MAX_CORRECTED_WINDOWS = 10  # earlier windows searched for late parts
MAX_SEALS_PER_STEP = 20
MAX_DELETES = 100  # keys per transaction
OK = 200

Rows = dict[str, UsageRow]
SendUsage = Callable[
    [str, bytes, Callable[[], bool]],
    Awaitable[Result[PlatformResponse, PlatformCallError]],
]


def _make_window_key(prefix: str, window: int) -> str:
    return f"{prefix}{window:012d}"


def sum_parts(parts: list[UsagePart]) -> Rows:
    """Return the sums of the rows of a window's parts.

    Parameters
    ----------
    parts : list of UsagePart
        Parts of one window, one for each node.

    Returns
    -------
    dict of str to UsageRow
        Totals by row key, that is by customer and request class.
    """
    rows: Rows = {}
    for part in parts:
        for key, counts in part.rows.items():
            rows.setdefault(key, UsageRow()).add(counts)
    return rows


def subtract_rows(rows: Rows, accounted: Rows) -> Rows:
    """Return the difference between rows and the rows accounted for so far.

    Parameters
    ----------
    rows, accounted : dict of str to UsageRow
        Totals by row key.

    Returns
    -------
    dict of str to UsageRow
        Differences by row key, only for rows that differ.
    """
    changed = {}
    for key, counts in rows.items():
        difference = counts.subtract(accounted.get(key, UsageRow()))
        if difference != UsageRow():
            changed[key] = difference
    return changed


def _dump(rows: Rows) -> dict[str, dict[str, int]]:
    return {key: rows[key].model_dump() for key in sorted(rows)}


def _load(raw: bytes) -> Rows:
    return {k: UsageRow.model_validate(v) for k, v in orjson.loads(raw).items()}


@dataclass
class WindowReporter:
    """Seals and reports windows while this node holds the duty ``usage``.

    Parameters
    ----------
    store : Store
        The key-value service.
    lease : DutyLease
        Lease of the duty.
    send : callable
        Sends a report; calls the given guard right before the write and sends
        nothing if the guard returns False.
    window_length : float
        Length of a window in seconds.
    grace : float
        Seconds between a window's end and its sealing.
    wall_clock : callable
        Returns the time in seconds since the epoch.

    Notes
    -----
    A window's sealed record is created by compare-and-swap, so there is only one. A
    part that arrives after the sealing is reported as a correction in the record of
    a later window. The same transaction updates the totals accounted for.
    """

    store: Store
    lease: DutyLease
    send: SendUsage
    window_length: float
    grace: float
    wall_clock: Callable[[], float]

    async def step(self) -> Result[int, PlatformCallError]:
        """Seal the windows that are due and report all sealed windows.

        Returns
        -------
        Result of int or PlatformCallError
            Number of windows reported.
        """
        if not self.lease.is_holder():
            return Success(0)
        sealed = await self._seal_due()
        if isinstance(sealed, Failure):
            return sealed
        return await self._report_sealed()

    async def _seal_due(self) -> Result[int, PlatformCallError]:
        last_due = int((self.wall_clock() - self.grace) // self.window_length) - 1
        n_sealed = 0
        for _ in range(MAX_SEALS_PER_STEP):
            next_window = await self._read_next(last_due)
            if isinstance(next_window, Failure):
                return next_window
            window, mod_revision = next_window.unwrap()
            if window > last_due:
                break
            sealed = await self._seal(window, mod_revision)
            if isinstance(sealed, Failure):
                return sealed
            n_sealed += 1
        return Success(n_sealed)

    async def _read_next(
        self, last_due: int
    ) -> Result[tuple[int, int], PlatformCallError]:
        answer = await self.store.read(NEXT_KEY)
        if isinstance(answer, Failure):
            return answer
        entries = answer.unwrap().entries
        if entries:
            return Success((int(entries[0].value), entries[0].mod_revision))
        first = await self.store.read(PART_PREFIX, prefix=True, limit=1)
        if isinstance(first, Failure):
            return first
        parts = _decode_parts(first.unwrap().entries)
        return Success((parts[0].window if parts else last_due, 0))

    async def _read_parts(
        self, window: int
    ) -> Result[list[UsagePart], PlatformCallError]:
        prefix = _make_window_key(PART_PREFIX, window) + "/"
        answer = await self.store.read(prefix, prefix=True)
        return answer.map(lambda result: _decode_parts(result.entries))

    async def _seal(
        self, window: int, next_mod: int
    ) -> Result[bool, PlatformCallError]:
        parts = await self._read_parts(window)
        if isinstance(parts, Failure):
            return parts
        corrected = await self._find_corrections(window)
        if isinstance(corrected, Failure):
            return corrected
        corrections, compares, puts = corrected.unwrap()
        rows = sum_parts(parts.unwrap())
        body = {
            "window": window,
            "start": window * self.window_length,
            "end": (window + 1) * self.window_length,
            "rows": _dump(rows),
            "corrections": corrections,
        }
        sealed_key = _make_window_key(SEALED_PREFIX, window)
        accounted_key = _make_window_key(ACCOUNTED_PREFIX, window)
        operations = [
            Put(sealed_key, orjson.dumps(body)),
            Put(accounted_key, orjson.dumps(_dump(rows))),
            Put(NEXT_KEY, str(window + 1).encode()),
            *puts,
        ]
        conditions = [
            Compare(self.lease.key, self.lease.fence),
            Compare(sealed_key, 0),
            Compare(NEXT_KEY, next_mod),
            *compares,
        ]
        answer = await self.store.write(conditions, operations)
        return answer.map(lambda result: result.succeeded)

    async def _find_corrections(self, window: int):
        """Return corrections for late parts, with the writes that account for them."""
        corrections: dict[str, dict] = {}
        compares: list[Compare] = []
        puts: list[Put] = []
        for earlier in range(window - MAX_CORRECTED_WINDOWS, window):
            key = _make_window_key(ACCOUNTED_PREFIX, earlier)
            accounted = await self.store.read(key)
            if isinstance(accounted, Failure):
                return accounted
            if not accounted.unwrap().entries:
                continue
            entry = accounted.unwrap().entries[0]
            parts = await self._read_parts(earlier)
            if isinstance(parts, Failure):
                return parts
            rows = sum_parts(parts.unwrap())
            late = subtract_rows(rows, _load(entry.value))
            if late:
                corrections[str(earlier)] = _dump(late)
                compares.append(Compare(key, entry.mod_revision))
                puts.append(Put(key, orjson.dumps(_dump(rows))))
        return Success((corrections, compares, puts))

    async def _report_sealed(self) -> Result[int, PlatformCallError]:
        sealed = await self.store.read(SEALED_PREFIX, prefix=True)
        if isinstance(sealed, Failure):
            return sealed
        n_reported = 0
        for entry in sealed.unwrap().entries:
            reported = await self._report(entry)
            if isinstance(reported, Failure):
                return reported
            n_reported += reported.unwrap()
        return Success(n_reported)

    async def _report(self, entry: Entry) -> Result[int, PlatformCallError]:
        """Send one window's sealed bytes and move its record to the reported prefix."""
        name = entry.key.removeprefix(SEALED_PREFIX)
        sent = await self.send(name, entry.value, self.lease.is_holder)
        if isinstance(sent, Failure):
            return sent
        if sent.unwrap().status != OK:
            log.error("usage report refused", extra={"window": name})
            return Success(0)
        window = int(name)
        old_reported_key = _make_window_key(
            REPORTED_PREFIX, window - MAX_CORRECTED_WINDOWS
        )
        operations = [
            Put(REPORTED_PREFIX + name, entry.value),
            Delete(entry.key),
            Delete(old_reported_key),
            Delete(
                _make_window_key(ACCOUNTED_PREFIX, window - 2 * MAX_CORRECTED_WINDOWS)
            ),
        ]
        compares = [Compare(entry.key, entry.mod_revision)]
        written = await self.store.write(compares, operations)
        if isinstance(written, Failure):
            return written
        await self._delete_parts(window - 2 * MAX_CORRECTED_WINDOWS)
        return Success(1)

    async def _delete_parts(self, window: int) -> None:
        prefix = _make_window_key(PART_PREFIX, window) + "/"
        answer = await self.store.read(prefix, prefix=True, limit=MAX_DELETES)
        if isinstance(answer, Success) and answer.unwrap().entries:
            deletes = [Delete(entry.key) for entry in answer.unwrap().entries]
            await self.store.write([], deletes)


def _decode_parts(entries: tuple[Entry, ...]) -> list[UsagePart]:
    return [decode_part(entry.value) for entry in entries]
