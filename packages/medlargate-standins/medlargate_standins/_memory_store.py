"""A key-value store with compare-and-swap, leases and revisions, in memory."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from medlargate.platform import (
    Change,
    Changes,
    Compare,
    Delete,
    Entry,
    PlatformCallError,
    Put,
    StoreResponse,
    StoreResult,
)
from medlargate.policy import Verdict
from returns.result import Failure, Result, Success
from sortedcontainers import SortedDict

MAX_VALUE_BYTES = 1_048_576


class UnknownLeaseError(ValueError):
    """A write names a lease that has ended."""


@dataclass
class _Lease:
    ttl: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


class MemoryStore:
    """The state of the key-value service; every call is atomic.

    Parameters
    ----------
    clock : callable
        Returns seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: SortedDict[str, Entry] = SortedDict()
        self._leases: dict[int, _Lease] = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._log: list[Change] = []
        self.compacted_revision = 0
        self.revision = 1

    def expire(self) -> None:
        """End the leases whose time has run out."""
        now = self._clock()
        for number in [n for n, it in self._leases.items() if it.expires_at <= now]:
            self.revoke(number)

    def _touch(self, key: str, value: bytes | None) -> None:
        old = self._entries.pop(key, None)
        entry = None
        if value is not None:
            created = old.create_revision if old else self.revision
            entry = Entry(key, value, self.revision, created)
            self._entries[key] = entry
        self._log.append(Change(key, self.revision, entry))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def read(
        self, key: str, *, prefix: bool = False, start: str = "", limit: int = 0
    ) -> StoreResponse:
        """Read a key or the keys with a prefix."""
        self.expire()
        if not prefix:
            entry = self._entries.get(key)
            return StoreResponse(True, self.revision, (entry,) if entry else ())
        keys = self._entries.irange(minimum=start or key)
        found = itertools.takewhile(lambda name: name.startswith(key), keys)
        names = list(itertools.islice(found, limit or None))
        entries = tuple(self._entries[name] for name in names)
        return StoreResponse(True, self.revision, entries)

    def write(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Put | Delete],
        reads: Sequence[str] = (),
    ) -> StoreResponse:
        """Apply operations when every condition holds, else read keys."""
        self.expire()
        for compare in compares:
            entry = self._entries.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                found = [self._entries[key] for key in reads if key in self._entries]
                return StoreResponse(False, self.revision, tuple(found))
        for operation in operations:
            if isinstance(operation, Put):
                if len(operation.value) > MAX_VALUE_BYTES:
                    raise ValueError(f"value of {operation.key!r} exceeds a megabyte")
                if operation.lease and operation.lease not in self._leases:
                    message = f"lease {operation.lease} does not exist"
                    raise UnknownLeaseError(message)
        if operations:
            self.revision += 1
        for operation in operations:
            self._apply(operation)
        self._notify()
        return StoreResponse(True, self.revision)

    def _apply(self, operation: Put | Delete) -> None:
        for lease in self._leases.values():
            lease.keys.discard(operation.key)
        if isinstance(operation, Delete):
            self._touch(operation.key, None)
            return
        self._touch(operation.key, operation.value)
        if operation.lease:
            self._leases[operation.lease].keys.add(operation.key)

    def grant(self, ttl: float) -> int:
        """Create a lease."""
        number = next(self._numbers)
        self._leases[number] = _Lease(ttl, self._clock() + ttl)
        return number

    def renew(self, number: int) -> float:
        """Renew a lease; 0 when it is gone."""
        self.expire()
        lease = self._leases.get(number)
        if lease is None:
            return 0
        lease.expires_at = self._clock() + lease.ttl
        return lease.ttl

    def revoke(self, number: int) -> None:
        """End a lease and delete its keys."""
        lease = self._leases.pop(number, None)
        if lease is None or not lease.keys:
            return
        self.revision += 1
        for key in lease.keys:
            self._touch(key, None)
        self._notify()

    def compact(self) -> None:
        """Forget the history of changes."""
        self.compacted_revision = self.revision
        self._log.clear()
        self._notify()

    def changes(self, prefix: str, after: int) -> Changes:
        """List the changes with a prefix after a revision."""
        self.expire()
        if after < self.compacted_revision:
            return Changes(after, compacted=True)
        found = []
        for change in reversed(self._log):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return Changes(max(after, self.revision), tuple(found[::-1]))

    async def wait_change(self) -> None:
        """Wait for the next write."""
        await self._changed.wait()


class StoreClient:
    """The fleet's ``Store`` over a ``MemoryStore`` in the same process.

    Parameters
    ----------
    store : MemoryStore
        Shared state.
    gate : callable or None
        Awaited before and after each call with the call's name and ``"before"``
        or ``"after"``; raising ``ConnectionError`` loses the call or its answer.
    """

    def __init__(self, store: MemoryStore, gate: Callable | None = None) -> None:
        self._store = store
        self._gate = gate
        self.n_calls: dict[str, int] = {}

    async def _call(self, name: str, action: Callable) -> Result:
        self.n_calls[name] = self.n_calls.get(name, 0) + 1
        verdict = Verdict.NOT_RUN
        try:
            if self._gate:
                await self._gate(name, "before")
            verdict = Verdict.MAY_HAVE_RUN
            answer = action()
            if self._gate:
                await self._gate(name, "after")
        except (ConnectionError, ValueError) as exc:
            return Failure(PlatformCallError(verdict, str(exc)))
        return Success(answer)

    async def read(
        self, key: str, *, prefix: bool = False, start: str = "", limit: int = 0
    ) -> StoreResult:
        """Read a key or the keys with a prefix."""
        return await self._call(
            "range",
            lambda: self._store.read(key, prefix=prefix, start=start, limit=limit),
        )

    async def write(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Put | Delete],
        *,
        reads: Sequence[str] = (),
    ) -> StoreResult:
        """Apply a transaction."""
        return await self._call(
            "txn", lambda: self._store.write(compares, operations, reads)
        )

    async def grant(self, ttl: float) -> Result[int, PlatformCallError]:
        """Create a lease."""
        return await self._call("grant", lambda: self._store.grant(ttl))

    async def renew(self, lease: int) -> Result[float, PlatformCallError]:
        """Renew a lease."""
        return await self._call("keepalive", lambda: self._store.renew(lease))

    async def revoke(self, lease: int) -> Result[int, PlatformCallError]:
        """End a lease."""
        return await self._call("revoke", lambda: self._store.revoke(lease) or lease)

    async def poll(
        self, prefix: str, after: int, wait: float
    ) -> Result[Changes, PlatformCallError]:
        """Wait for changes of keys with a prefix."""
        found = await self._call("watch", lambda: self._store.changes(prefix, after))
        if isinstance(found, Failure) or found.unwrap().changes:
            return found
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self._store.wait_change()
        return Success(self._store.changes(prefix, after))
