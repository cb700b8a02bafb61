"""In-memory key-value store with compare-and-swap, leases and revisions."""

from __future__ import annotations

import asyncio
import contextlib
import copy
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
    """A write refers to a lease that does not exist or has expired."""


@dataclass
class _Lease:
    """Lease with its time to live and expiry in seconds, and its keys."""

    ttl: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class StoreCopy:
    """Content of a store at one revision."""

    revision: int
    entries: SortedDict[str, Entry]
    leases: dict[int, _Lease]
    last_lease_id: int


class MemoryStore:
    """Content of a key-value store, with leases and a history of changes.

    Each method runs without an ``await`` and is therefore atomic, except for
    ``wait_change``.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds, by which leases expire.

    Attributes
    ----------
    revision : int
        Revision of the store, starting at 1. Each transaction that writes and each
        revocation of a lease with keys adds 1.
    compacted_revision : int
        Revision up to which the history of changes has been discarded.
    era : int
        Number of times that the store was restored from a copy, plus 1.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: SortedDict[str, Entry] = SortedDict()
        self._leases: dict[int, _Lease] = {}
        self._last_lease_id = 0
        self._change_event = asyncio.Event()
        self._history: list[Change] = []
        self.compacted_revision = 0
        self.revision = 1
        self.era = 1

    def snapshot(self) -> StoreCopy:
        """Return a copy of the content, from which the store can be restored."""
        return StoreCopy(
            self.revision,
            SortedDict(self._entries),
            copy.deepcopy(self._leases),
            self._last_lease_id,
        )

    def restore(self, content: StoreCopy) -> None:
        """Replace the content by an earlier copy.

        What was written since the copy is lost, leases included, and revisions and
        lease ids are given out again.
        """
        self.revision = self.compacted_revision = content.revision
        self._entries = SortedDict(content.entries)
        self._leases = copy.deepcopy(content.leases)
        self._last_lease_id = content.last_lease_id
        self._history.clear()
        self.era += 1
        self._notify()

    def expire_leases(self) -> None:
        """Revoke the expired leases."""
        now = self._clock()
        for lease_id in [n for n, it in self._leases.items() if it.expires_at <= now]:
            self.revoke(lease_id)

    def _record_change(self, key: str, value: bytes | None) -> None:
        old = self._entries.pop(key, None)
        entry = None
        if value is not None:
            created = old.create_revision if old else self.revision
            entry = Entry(key, value, self.revision, created)
            self._entries[key] = entry
        self._history.append(Change(key, self.revision, entry))

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def read(
        self, key: str, *, prefix: bool = False, start: str = "", limit: int = 0
    ) -> StoreResponse:
        """Read a key, or the keys with a prefix in ascending order.

        Parameters
        ----------
        key : str
            Key, or prefix if ``prefix`` is set.
        prefix : bool, default=False
            Whether to read all keys that start with ``key``.
        start : str, default=""
            First key that is read, inclusive; empty to start at the prefix.
        limit : int, default=0
            Maximum number of entries; 0 for no limit.

        Returns
        -------
        StoreResponse
            Entries found and the store's revision.
        """
        self.expire_leases()
        if not prefix:
            entry = self._entries.get(key)
            return StoreResponse(True, self.revision, (entry,) if entry else ())
        keys = self._entries.irange(minimum=start or key)
        found = itertools.takewhile(lambda name: name.startswith(key), keys)
        matching_keys = list(itertools.islice(found, limit or None))
        entries = tuple(self._entries[name] for name in matching_keys)
        return StoreResponse(True, self.revision, entries)

    def write(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Put | Delete],
        reads: Sequence[str] = (),
    ) -> StoreResponse:
        """Apply operations if all comparisons hold; otherwise read keys.

        Parameters
        ----------
        compares : sequence of Compare
            Expected revisions of keys.
        operations : sequence of Put or Delete
            Writes that are applied together in one revision.
        reads : sequence of str, default=()
            Keys whose entries are returned if a comparison fails.

        Returns
        -------
        StoreResponse
            Whether the writes were applied, and the store's revision.

        Raises
        ------
        UnknownLeaseError
            A put refers to a lease that does not exist.
        ValueError
            A value is larger than ``MAX_VALUE_BYTES``.
        """
        self.expire_leases()
        for compare in compares:
            entry = self._entries.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                found = [self._entries[key] for key in reads if key in self._entries]
                return StoreResponse(False, self.revision, tuple(found))
        for operation in operations:
            if isinstance(operation, Put):
                if len(operation.value) > MAX_VALUE_BYTES:
                    raise ValueError(f"value of {operation.key!r} exceeds 1 MiB")
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
            self._record_change(operation.key, None)
            return
        self._record_change(operation.key, operation.value)
        if operation.lease:
            self._leases[operation.lease].keys.add(operation.key)

    def grant(self, ttl: float) -> int:
        """Create a lease with a time to live in seconds and return its id."""
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = _Lease(ttl, self._clock() + ttl)
        return self._last_lease_id

    def renew(self, lease_id: int) -> float:
        """Renew a lease and return its time to live; 0 if it does not exist."""
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = self._clock() + lease.ttl
        return lease.ttl

    def revoke(self, lease_id: int) -> None:
        """Remove a lease and delete the keys attached to it."""
        lease = self._leases.pop(lease_id, None)
        if lease is None or not lease.keys:
            return
        self.revision += 1
        for key in lease.keys:
            self._record_change(key, None)
        self._notify()

    def compact(self) -> None:
        """Discard the history of changes up to the current revision."""
        self.compacted_revision = self.revision
        self._history.clear()
        self._notify()

    def changes(self, prefix: str, after: int) -> Changes:
        """Return the changes of keys with a prefix after a revision, oldest first.

        The result is marked as compacted if the history no longer reaches back to
        the revision.
        """
        self.expire_leases()
        if not self.compacted_revision <= after <= self.revision:
            return Changes(after, compacted=True)
        found = []
        for change in reversed(self._history):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return Changes(max(after, self.revision), tuple(found[::-1]))

    async def wait_change(self) -> None:
        """Wait for the next transaction, revocation of a lease, or compaction."""
        await self._change_event.wait()


class MemoryStoreClient:
    """Implementation of the fleet's ``Store`` protocol on a ``MemoryStore``.

    Parameters
    ----------
    store : MemoryStore
        Store in the same process; several clients may share it.
    fault_hook : callable or None
        Coroutine function for fault injection. The hook is awaited before and after
        each call with the call's name and ``"before"`` or ``"after"``. Raising
        ``ConnectionError`` before a call prevents its execution; raising after it
        loses the response.

    Attributes
    ----------
    n_calls : dict of str to int
        Number of calls by name, failed calls included.
    """

    def __init__(self, store: MemoryStore, fault_hook: Callable | None = None) -> None:
        self._store = store
        self._fault_hook = fault_hook
        self.n_calls: dict[str, int] = {}

    async def _call(self, name: str, action: Callable) -> Result:
        self.n_calls[name] = self.n_calls.get(name, 0) + 1
        verdict = Verdict.NOT_RUN
        try:
            if self._fault_hook:
                await self._fault_hook(name, "before")
            verdict = Verdict.MAY_HAVE_RUN
            result = action()
            if self._fault_hook:
                await self._fault_hook(name, "after")
        except (ConnectionError, ValueError) as exc:
            return Failure(PlatformCallError(verdict, str(exc)))
        return Success(result)

    async def read(
        self, key: str, *, prefix: bool = False, start: str = "", limit: int = 0
    ) -> StoreResult:
        """Read a key, or the keys with a prefix; see ``MemoryStore.read``."""
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
        """Execute a transaction; see ``MemoryStore.write``."""
        return await self._call(
            "txn", lambda: self._store.write(compares, operations, reads)
        )

    async def grant(self, ttl: float) -> Result[int, PlatformCallError]:
        """Create a lease with a time to live in seconds and return its id."""
        return await self._call("grant", lambda: self._store.grant(ttl))

    async def renew(self, lease: int) -> Result[float, PlatformCallError]:
        """Renew a lease and return its time to live; 0 if it does not exist."""
        return await self._call("keepalive", lambda: self._store.renew(lease))

    async def revoke(self, lease: int) -> Result[int, PlatformCallError]:
        """Remove a lease and return its id."""
        return await self._call("revoke", lambda: self._store.revoke(lease) or lease)

    async def poll(
        self, prefix: str, after: int, wait: float
    ) -> Result[Changes, PlatformCallError]:
        """Return the changes of keys with a prefix after a revision.

        If there are none yet, the call waits for the store's next change, at most
        ``wait`` seconds.
        """
        found = await self._call("watch", lambda: self._store.changes(prefix, after))
        if isinstance(found, Failure) or found.unwrap().changes:
            return found
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self._store.wait_change()
        return Success(self._store.changes(prefix, after))
