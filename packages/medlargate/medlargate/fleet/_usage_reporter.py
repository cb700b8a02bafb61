"""Reports each window's usage once: sealed in the store, then sent as sealed."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import orjson
from returns.result import Failure, Result, Success

from ..platform import Compare, Delete, Put, Store, StoreError
from ..policy import Verdict
from ._leases import DutyLease
from ._usage_counts import UsageCounts, WindowCounts

log = logging.getLogger(__name__)

PART_PREFIX = "medlargate/usage/"
SEALED_PREFIX = "medlargate/sealed/"
# A window is sealed once every node that was heard lately has spoken after its end,
# and at the latest early enough that a successor, which takes up to seven seconds,
# still reports it in time. Nodes tell the holder once a second, and what one that is
# not heard has counted lies in the store by then.
MIN_SEAL_DELAY = 0.8  # seconds; parts of unheard nodes are written by then
MAX_SEAL_DELAY = 3.0  # seconds, of the ten allowed
MARGIN = 0.2  # seconds after a window's end, for requests that just began
MAX_LATE = 40.0  # seconds after a window's end; later nobody waits for it
PART_DELAY = 0.7  # seconds after a window's end until an unheard node writes its part
RETRY_PAUSE = 1.2  # seconds until a part that was not written is tried again
MAX_DELETES = 30  # keys in one transaction
CLEAN_EVERY = 6  # windows; each clean-up costs three calls
WINDOWS_SEALED_KEPT = 12  # far beyond what may still be sent again
WINDOWS_REWRITTEN = 3  # ended windows that an unheard node writes
WINDOWS_KEPT_WRITTEN = 8

SendUsage = Callable[[int, WindowCounts], Awaitable[Result[int, StoreError]]]


@dataclass
class UsageReporter:
    """The holder's part in reporting usage.

    Parameters
    ----------
    store : Store
        The key-value service.
    lease : DutyLease
        The duty.
    counts : UsageCounts
        This node's counts and what peers said of theirs.
    send : callable
        Sends a sealed window.
    now : callable
        Returns the time of day, seconds since 1970.
    has_all : callable
        Tells whether every node has spoken since a time of day.
    """

    store: Store
    lease: DutyLease
    counts: UsageCounts
    send: SendUsage
    now: Callable[[], float]
    has_all: Callable[[float], bool] = lambda _: True
    _sealed: dict[int, WindowCounts] = field(default_factory=dict)
    _done: set[int] = field(default_factory=set)
    _first: int | None = None

    async def step(self) -> None:
        """Seal and send the windows that are due."""
        now = self.now()
        length = self.counts.window_length
        last = self.counts.window_at(now - MIN_SEAL_DELAY) - 1
        oldest = self.counts.window_at(now - MAX_LATE)
        if self._first is None:
            self._first = max(oldest, last - 1)
        for window in range(max(oldest, self._first), last + 1):
            if window in self._done or not self.lease.is_holder():
                continue
            end = (window + 1) * length
            if now < end + MAX_SEAL_DELAY and not self.has_all(end + MARGIN):
                continue
            await self._report(window, age=now - end)
        self._done = {window for window in self._done if window >= oldest}
        self._sealed = {w: c for w, c in self._sealed.items() if w >= oldest}

    async def _report(self, window: int, *, age: float) -> None:
        if window not in self._sealed:
            sealed = await self._seal(window)
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
        self._done.add(window)
        log.info(
            "usage window reported",
            extra={
                "window": window,
                "n_requests": sum(counts.values()),
                "age": round(age, 2),
                "fence": self.lease.fence,
            },
        )
        await self._clean(window)

    async def _seal(self, window: int) -> Result[WindowCounts, StoreError]:
        """Write a window's figure once; who comes later takes what stands."""
        parts = await self.store.read(f"{PART_PREFIX}{window}/", prefix=True)
        if isinstance(parts, Failure):
            return parts
        for entry in parts.unwrap().entries:
            node = entry.key.rpartition("/")[2]
            self.counts.merge(node, {window: orjson.loads(entry.value)})
        counts = self.counts.sum_window(window)
        key = f"{SEALED_PREFIX}{window}"
        put = Put(key, orjson.dumps(counts, option=orjson.OPT_SORT_KEYS))
        written = await self.store.write([Compare(key, 0)], [put], reads=[key])
        if isinstance(written, Failure):
            # It may have been written: what stands decides, at the next step.
            return await self._read_sealed(key, written.failure())
        if written.unwrap().succeeded:
            return Success(counts)
        return await self._read_sealed(
            key, StoreError(Verdict.NOT_RUN, "sealed by another")
        )

    async def _read_sealed(
        self, key: str, fault: StoreError
    ) -> Result[WindowCounts, StoreError]:
        found = await self.store.read(key)
        if isinstance(found, Failure) or not found.unwrap().entries:
            return Failure(fault)
        return Success(orjson.loads(found.unwrap().entries[0].value))

    async def _clean(self, window: int) -> None:
        """Delete a reported window's parts and old sealed figures, rarely."""
        if window % CLEAN_EVERY:
            return
        keys = []
        for prefix in (PART_PREFIX, SEALED_PREFIX):
            found = await self.store.read(prefix, prefix=True)
            if isinstance(found, Failure):
                return
            for entry in found.unwrap().entries:
                number = entry.key[len(prefix) :].partition("/")[0]
                if number.isdigit() and int(number) < window - WINDOWS_SEALED_KEPT:
                    keys.append(entry.key)
        if keys:
            await self.store.write([], [Delete(key) for key in keys[:MAX_DELETES]])


@dataclass
class UsagePartWriter:
    """A node's part: writes to the store what the holder has not heard.

    Parameters
    ----------
    store : Store
        The key-value service.
    counts : UsageCounts
        This node's counts.
    node : str
        This node with its incarnation.
    now : callable
        Returns the time of day, seconds since 1970.
    """

    store: Store
    counts: UsageCounts
    node: str
    now: Callable[[], float]
    _written: dict[int, int] = field(default_factory=dict)
    _next_try: float = 0.0

    async def step(self, *, heard_by_holder: bool) -> None:
        """Write the parts of ended windows, unless the holder hears this node.

        Parameters
        ----------
        heard : bool
            The holder of the duty says that it hears this node.
        """
        if heard_by_holder or self.now() < self._next_try:
            return
        last = self.counts.window_at(self.now() - PART_DELAY) - 1
        await self._write(last)

    async def flush(self) -> None:
        """Write all parts, that of the running window included."""
        await self._write(self.counts.window_at(self.now()))

    async def _write(self, last: int) -> None:
        parts = self.counts.snapshot(self.node, since=last - WINDOWS_REWRITTEN)
        for window, counts in parts.items():
            total = sum(counts.values())
            if window > last or self._written.get(window) == total:
                continue
            key = f"{PART_PREFIX}{window}/{self.node}"
            written = await self.store.write([], [Put(key, orjson.dumps(counts))])
            if isinstance(written, Failure):
                log.warning(
                    "usage part not written",
                    extra={"window": window, "fault": written.failure().message},
                )
                self._next_try = self.now() + RETRY_PAUSE
                return
            self._written[window] = total
            log.info("usage part written", extra={"window": window, "n": total})
        for window in [w for w in self._written if w < last - WINDOWS_KEPT_WRITTEN]:
            del self._written[window]
