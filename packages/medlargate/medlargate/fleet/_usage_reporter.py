"""Reports the request counts of each accounting window, a fixed interval of time.

The holder of the duty first writes a window's counts to the key-value store, which
seals them, and then sends what is stored there. A window may be sent several times,
for instance by a successor, but always with the same counts.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Annotated, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter
from returns.result import Failure, Result, Success

from ..platform import (
    MAX_NUMBER,
    Compare,
    Delete,
    Entry,
    PlatformCallError,
    Put,
    Store,
    parse_count,
)
from ..policy import Verdict
from ._leases import DutyLease
from ._usage_counts import UsageCounts, WindowCounts

log = logging.getLogger(__name__)

# A part is one node's counts of one window.
PART_PREFIX = "medlargate/usage/"
SEALED_PREFIX = "medlargate/sealed/"
# Era of the store with the time at which its first holder had seen the restore.
ERA_KEY = "medlargate/era"
MAX_CLOCK_ERROR = 2.0  # seconds between the times of day of two nodes
# A window is sealed between MIN_SEAL_DELAY and MAX_SEAL_DELAY after its end, as soon as
# every recently heard node has sent its counts after the end. From MAX_SEAL_DELAY on it
# is sealed in any case. MAX_SEAL_DELAY leaves a successor, which needs up to seven
# seconds to take over, enough time to report before the deadline of ten seconds. Nodes
# send their counts to the holder once a second; a node that the holder does not hear
# has normally written its part to the store before MIN_SEAL_DELAY.
MIN_SEAL_DELAY = 0.8  # seconds after the end, longer than PART_WRITE_DELAY
MAX_SEAL_DELAY = 3.0  # seconds after the end, of the ten allowed
# The same while a partition of the fleet is likely: its nodes still count requests, and
# a partition of a few seconds would otherwise make the windows it touches wrong.
MAX_PARTITION_SEAL_DELAY = 7.5  # seconds after the end
REQUEST_START_MARGIN = 0.2  # seconds after the end, for requests that just began
# Windows that ended earlier are not reported any more.
MAX_REPORT_DELAY = 40.0  # seconds after the end
PART_WRITE_DELAY = 0.7  # seconds after the end until an unheard node writes its part
# The same while there is no holder: the next one is usually found in this time, and
# hears most nodes directly.
NO_HOLDER_WRITE_DELAY = 2.2  # seconds
RETRY_DELAY = 1.2  # seconds until a failed write of a part is retried
MAX_DELETES = 30  # keys per transaction
CLEANUP_INTERVAL = 6  # windows; each cleanup costs three calls to the store
# More than the windows that may still be sent again, at the default length of 5 s.
WINDOWS_SEALED_KEPT = 12
# Windows before the newest one whose parts are written too, if their totals changed.
WINDOWS_REWRITTEN = 3
WRITTEN_TOTALS_KEPT = 8  # windows whose written totals are remembered


class _EraRecord(BaseModel):
    model_config = ConfigDict(allow_inf_nan=False)

    era: int
    time: float


_COUNTS = TypeAdapter(dict[str, Annotated[int, Field(ge=0, le=MAX_NUMBER)]])

SendUsage = Callable[[int, WindowCounts], Awaitable[Result[int, PlatformCallError]]]


@dataclass
class UsageReporter:
    """Seals and sends the usage of ended windows while this node holds the duty.

    Parameters
    ----------
    store : Store
        The key-value service.
    lease : DutyLease
        Lease of the duty.
    counts : UsageCounts
        Counts of this node and those received from peers.
    send : callable
        Sends the counts of a sealed window.
    now : callable
        Returns the time of day in seconds since 1970.
    all_heard_since : callable
        Returns whether every recently heard node has sent its counts since a time of
        day.
    get_era : callable
        Returns the store's era, which rises when the store is restored from an older
        copy; 0 if it is unknown.
    may_be_first : callable
        Returns whether a store without a record of its era has never been restored.
    is_partitioned_since : callable
        Returns whether so many nodes have not been heard since a time of day that they
        are probably partitioned and not stopped.
    clock : callable, default=time.monotonic
        Returns the time in seconds on a monotonic clock.

    Notes
    -----
    A restored store has lost the newest seals. A window that ended before the restore
    may have been sealed and sent by a holder that this node cannot ask, so it is
    reported only with the counts that the store or this node still has. These are the
    windows that ended up to ``MAX_CLOCK_ERROR - MIN_SEAL_DELAY`` after a node first
    saw the restore. How long the next holder waits afterwards does not matter.
    """

    store: Store
    lease: DutyLease
    counts: UsageCounts
    send: SendUsage
    now: Callable[[], float]
    all_heard_since: Callable[[float], bool] = lambda _: True
    get_era: Callable[[], int] = lambda: 0
    may_be_first: Callable[[], bool] = lambda: False
    is_partitioned_since: Callable[[float], bool] = lambda _: False
    clock: Callable[[], float] = time.monotonic
    _sealed: dict[int, WindowCounts] = field(default_factory=dict)
    _reported: set[int] = field(default_factory=set)
    _first_window: int | None = None
    _known_era: int = 0
    _first_unsealed: int = 0
    _restore_seen_at: float = float("inf")

    def observe_restore(self) -> None:
        """Record the time at which this node learns of a restore of the store."""
        self._restore_seen_at = self.clock()

    async def step(self) -> None:
        """Seal and send the windows that are due.

        The first call begins with the last two windows that have ended; this node never
        sends older ones. Windows older than ``MAX_REPORT_DELAY`` are left out as well.
        """
        if self.get_era() != self._known_era and not await self._observe_era():
            return
        now = self.now()
        window_length = self.counts.window_length
        last = self.counts.window_at(now - MIN_SEAL_DELAY) - 1
        oldest = self.counts.window_at(now - MAX_REPORT_DELAY)
        if self._first_window is None:
            self._first_window = max(oldest, last - 1)
        for window in range(max(oldest, self._first_window), last + 1):
            if window in self._reported or not self.lease.is_holder():
                continue
            end = (window + 1) * window_length
            if now < end + self._decide_seal_delay(end):
                continue
            try:
                await self._report(window, age=now - end)
            except Exception:
                # The other windows are reported all the same.
                log.exception("usage window not reported", extra={"window": window})
        self._reported = {window for window in self._reported if window >= oldest}
        self._sealed = {w: c for w, c in self._sealed.items() if w >= oldest}

    def _decide_seal_delay(self, end: float) -> float:
        """Return how long after its end a window is sealed, in seconds."""
        heard_since = end + REQUEST_START_MARGIN
        if self.all_heard_since(heard_since):
            return MIN_SEAL_DELAY
        if self.is_partitioned_since(heard_since):
            return MAX_PARTITION_SEAL_DELAY
        return MAX_SEAL_DELAY

    async def _observe_era(self) -> bool:
        """Find the first window that no node can have sealed before a restore."""
        era = self.get_era()
        found = await self.store.read(ERA_KEY)
        if isinstance(found, Failure):
            return False
        entries = found.unwrap().entries
        record = _decode_era(entries[0].value) if entries else {}
        if record.get("era") != era:
            is_first = not entries and self.may_be_first()
            record = {"era": era, "time": 0.0 if is_first else self._find_restore()}
            expected = entries[0].mod_revision if entries else 0
            written = await self.store.write(
                [Compare(ERA_KEY, expected)], [Put(ERA_KEY, orjson.dumps(record))]
            )
            if isinstance(written, Failure) or not written.unwrap().succeeded:
                return False
        self._known_era = era
        latest_sealed_end = record["time"] + MAX_CLOCK_ERROR - MIN_SEAL_DELAY
        self._first_unsealed = self.counts.window_at(latest_sealed_end)
        return True

    def _find_restore(self) -> float:
        """Return a time of day at which the store had been restored.

        This is the time at which this node saw the restore; the present time if the
        node saw only the restored store.
        """
        return self.now() - max(0.0, self.clock() - self._restore_seen_at)

    async def _report(self, window: int, *, age: float) -> None:
        if window not in self._sealed:
            sealed = await self._find_sealed(window)
            if sealed is None:
                self._reported.add(window)
                log.warning(
                    "usage window left out: its seal may be lost",
                    extra={"window": window, "era": self._known_era},
                )
                return
            if isinstance(sealed, Failure):
                log.warning(
                    "usage window not sealed",
                    extra={"window": window, "fault": sealed.failure().message},
                )
                return
            self._sealed[window] = sealed.unwrap()
        counts = self._sealed[window]
        sent = await self.send(window, counts)
        if isinstance(sent, Failure):
            log.warning(
                "usage window not sent",
                extra={"window": window, "fault": sent.failure().message},
            )
            return
        self._reported.add(window)
        log.info(
            "usage window reported",
            extra={
                "window": window,
                "n_requests": sum(counts.values()),
                "age": round(age, 2),
                "fence": self.lease.fence,
            },
        )
        await self._delete_old_records(window)

    async def _find_sealed(
        self, window: int
    ) -> Result[WindowCounts, PlatformCallError] | None:
        """Return a window's sealed counts; None if its seal may have been lost."""
        if window >= self._first_unsealed:
            return await self._seal(window)
        found = await self.store.read(f"{SEALED_PREFIX}{window}")
        if isinstance(found, Failure):
            return found
        entries = found.unwrap().entries
        return _decode_sealed(entries[0]) if entries else None

    async def _seal(self, window: int) -> Result[WindowCounts, PlatformCallError]:
        """Write a window's counts if none are stored; return the stored ones."""
        parts = await self.store.read(f"{PART_PREFIX}{window}/", prefix=True)
        if isinstance(parts, Failure):
            return parts
        for entry in parts.unwrap().entries:
            node = entry.key.rpartition("/")[2]
            counts = _decode_counts(entry)
            if counts is not None:
                self.counts.merge(node, {window: counts})
        counts = self.counts.sum_window(window)
        key = f"{SEALED_PREFIX}{window}"
        put = Put(key, orjson.dumps(counts, option=orjson.OPT_SORT_KEYS))
        written = await self.store.write([Compare(key, 0)], [put], reads=[key])
        if isinstance(written, Failure):
            # The write may have taken effect: the stored counts decide. If they
            # can't be read now, the next step tries again.
            return await self._read_sealed(key, written.failure())
        if written.unwrap().succeeded:
            return Success(counts)
        return await self._read_sealed(
            key,
            PlatformCallError(
                Verdict.NOT_RUN, "the counts that were sealed before could not be read"
            ),
        )

    async def _read_sealed(
        self, key: str, error: PlatformCallError
    ) -> Result[WindowCounts, PlatformCallError]:
        found = await self.store.read(key)
        if isinstance(found, Failure) or not found.unwrap().entries:
            return Failure(error)
        return _decode_sealed(found.unwrap().entries[0])

    async def _delete_old_records(self, window: int) -> None:
        """Delete the parts and sealed counts of old windows.

        To save calls to the store, only one window in ``CLEANUP_INTERVAL`` does so.
        """
        if window % CLEANUP_INTERVAL:
            return
        keys = []
        for prefix in (PART_PREFIX, SEALED_PREFIX):
            found = await self.store.read(prefix, prefix=True)
            if isinstance(found, Failure):
                return
            for entry in found.unwrap().entries:
                text = entry.key[len(prefix) :].partition("/")[0]
                number = parse_count(text)
                if number is not None and number < window - WINDOWS_SEALED_KEPT:
                    keys.append(entry.key)
        if keys:
            await self.store.write([], [Delete(key) for key in keys[:MAX_DELETES]])


def _decode_counts(entry: Entry) -> WindowCounts | None:
    """Return the counts by customer of an entry; None if another writer changed it."""
    try:
        return _COUNTS.validate_python(orjson.loads(entry.value))
    except ValueError as exc:
        log.error(
            "usage counts not decodable",
            extra={"key": entry.key, "fault": str(exc)[:200]},
        )
        return None


def _decode_sealed(entry: Entry) -> Result[WindowCounts, PlatformCallError]:
    counts = _decode_counts(entry)
    if counts is not None:
        return Success(counts)
    message = "the counts that were sealed before are not decodable"
    return Failure(PlatformCallError(Verdict.NOT_RUN, message))


def _decode_era(data: bytes) -> dict[str, Any]:
    """Return the record of the store's era; {} if it is not decodable."""
    try:
        return _EraRecord.model_validate(orjson.loads(data)).model_dump()
    except ValueError as exc:
        log.error("era record not decodable", extra={"fault": str(exc)[:200]})
        return {}


@dataclass
class UsagePartWriter:
    """Writes this node's counts to the store while the duty's holder can't hear it.

    Parameters
    ----------
    store : Store
        The key-value service.
    counts : UsageCounts
        Counts of this node.
    node : str
        Name of this node with its incarnation.
    now : callable
        Returns the time of day in seconds since 1970.
    """

    store: Store
    counts: UsageCounts
    node: str
    now: Callable[[], float]
    _written_totals: dict[int, int] = field(default_factory=dict)
    _next_attempt_at: float = 0.0

    async def step(self, *, heard_by_holder: bool, has_holder: bool = True) -> None:
        """Write this node's parts of ended windows, unless the holder hears it.

        Parameters
        ----------
        heard_by_holder : bool
            Whether the holder of the duty reports that it hears this node.
        has_holder : bool, default=True
            Whether this node knows a holder of the duty.
        """
        if heard_by_holder or self.now() < self._next_attempt_at:
            return
        delay = PART_WRITE_DELAY if has_holder else NO_HOLDER_WRITE_DELAY
        last = self.counts.window_at(self.now() - delay) - 1
        await self._write(last)

    async def flush(self) -> None:
        """Write this node's parts of the current window and of some before it.

        These are the ``WINDOWS_REWRITTEN`` windows before the current one. Parts whose
        totals have not changed since they were written are left out.
        """
        await self._write(self.counts.window_at(self.now()))

    def observe_restore(self) -> None:
        """Write the parts again that a restored store may have lost."""
        self._written_totals.clear()

    async def _write(self, last: int) -> None:
        parts = self.counts.snapshot(self.node, since=last - WINDOWS_REWRITTEN)
        for window, counts in parts.items():
            total = sum(counts.values())
            if window > last or self._written_totals.get(window) == total:
                continue
            key = f"{PART_PREFIX}{window}/{self.node}"
            written = await self.store.write([], [Put(key, orjson.dumps(counts))])
            if isinstance(written, Failure):
                log.warning(
                    "usage part not written",
                    extra={"window": window, "fault": written.failure().message},
                )
                self._next_attempt_at = self.now() + RETRY_DELAY
                return
            self._written_totals[window] = total
            log.info("usage part written", extra={"window": window, "n": total})
        for window in [
            w for w in self._written_totals if w < last - WRITTEN_TOTALS_KEPT
        ]:
            del self._written_totals[window]
