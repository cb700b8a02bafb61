"""The replica of the operators' configuration, and its changes by compare-and-swap."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence

import orjson
from pydantic import BaseModel
from returns.result import Failure, Result, Success

from ..platform import Compare, Delete, Entry, Put, Store, StoreError
from ..policy import Verdict
from ._model import Config, Operation, Record, check_operations

log = logging.getLogger(__name__)

PREFIX = "medlargate/config/"
LOG_PREFIX = PREFIX + "log/"
HEAD_KEY = PREFIX + "head"
MAX_RECORDS = 2_000
SNAPSHOT_INTERVAL = 1_000  # revisions
MAX_CHUNK_BYTES = 900_000
MAX_ATTEMPTS = 8
BATCH_LIMIT = 500  # records per read


class SnapshotHead(BaseModel):
    """Where the newest snapshot is."""

    revision: int
    n_chunks: int


class ConfigConflictError(Exception):
    """Two changes named the same revision with different contents."""


def make_log_key(revision: int) -> str:
    """Name the key of a change record.

    Parameters
    ----------
    revision : int
        The change's number.

    Returns
    -------
    str
        Key; the keys sort by revision.
    """
    return f"{LOG_PREFIX}{revision:012d}"


def _chunk_key(revision: int, index: int) -> str:
    return f"{PREFIX}snapshot/{revision:012d}/{index:04d}"


class ConfigReplica:
    """One node's copy of the configuration.

    Parameters
    ----------
    clock : callable
        Returns seconds on a clock that counts suspended time.

    Attributes
    ----------
    config : Config
        The configuration in force here.
    confirmed_at : float
        The time up to which this replica is known to be complete: when a read that
        found nothing newer was sent; minus infinity before the first.

    Notes
    -----
    Records are applied in the order of their revisions without gaps, so the
    revision never falls.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.config = Config()
        self.confirmed_at = float("-inf")
        self._records: OrderedDict[int, Record] = OrderedDict()
        self._changes: OrderedDict[str, int] = OrderedDict()
        self._head_mod = 0
        self._has_read_head = False
        self._listeners: list[Callable[[Record], None]] = []

    @property
    def revision(self) -> int:
        """Revision in force here."""
        return self.config.revision

    def add_listener(self, listener: Callable[[Record], None]) -> None:
        """Call a function after each applied record.

        Parameters
        ----------
        listener : callable
            Gets the record.
        """
        self._listeners.append(listener)

    def apply_record(self, record: Record) -> bool:
        """Apply the next record.

        Parameters
        ----------
        record : Record
            From the store or a peer.

        Returns
        -------
        bool
            False when it was known already or comes too early.

        Raises
        ------
        ConfigConflictError
            A record of the same revision with another change id is in force.
        """
        known = self._records.get(record.revision)
        if known is not None and known.change_id != record.change_id:
            raise ConfigConflictError(f"revision {record.revision} was changed")
        if record.revision != self.revision + 1:
            return False
        for operation in record.operations:
            self.config.apply(operation)
        self.config.revision = record.revision
        self._records[record.revision] = record
        self._changes[record.change_id] = record.revision
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
            self._changes.popitem(last=False)
        for listener in self._listeners:
            listener(record)
        return True

    def apply_snapshot(self, revision: int, operations: Sequence[Operation]) -> None:
        """Replace the configuration by a newer snapshot.

        Parameters
        ----------
        revision : int
            The snapshot's revision; an older one is ignored.
        operations : sequence of Operation
            What rebuilds it.
        """
        if revision <= self.revision:
            return
        config = Config(revision=revision)
        for operation in operations:
            config.apply(operation)
        self.config = config
        self._records.clear()
        self._changes.clear()
        change = Record(
            revision=revision, change_id=f"snapshot-{revision}", operations=()
        )
        for listener in self._listeners:
            listener(change)

    def check(self, operations: Sequence[Operation]) -> None:
        """Check a change against the configuration in force.

        Parameters
        ----------
        operations : sequence of Operation
            The change.

        Raises
        ------
        ConfigError
            It does not fit.
        """
        check_operations(self.config, operations)

    def records_after(self, revision: int) -> list[Record] | None:
        """List the records after a revision, for a peer.

        Parameters
        ----------
        revision : int
            What the peer has.

        Returns
        -------
        list of Record or None
            None when they are not kept any more and the peer needs a snapshot.
        """
        if revision >= self.revision:
            return []
        if revision + 1 not in self._records:
            return None
        last = min(self.revision, revision + BATCH_LIMIT)
        return [self._records[number] for number in range(revision + 1, last + 1)]

    async def sync(self, store: Store) -> Result[int, StoreError]:
        """Take in everything that the store has.

        Parameters
        ----------
        store : Store
            The key-value service.

        Returns
        -------
        Result of int or StoreError
            The revision in force afterwards.
        """
        while True:
            sent_at = self._clock()
            start = make_log_key(self.revision + 1)
            answer = await store.read(
                LOG_PREFIX, prefix=True, start=start, limit=BATCH_LIMIT
            )
            if isinstance(answer, Failure):
                return answer
            entries = answer.unwrap().entries
            if entries and not self._observe_entries(entries):
                before = self.revision
                loaded = await self._load_snapshot(store)
                if isinstance(loaded, Failure):
                    return loaded
                if self.revision == before:
                    message = "the log has a gap that no snapshot covers"
                    return Failure(StoreError(Verdict.NOT_RUN, message))
                continue
            if len(entries) < BATCH_LIMIT:
                break
        if not self._has_read_head:
            loaded = await self._load_snapshot(store)
            if isinstance(loaded, Failure):
                return loaded
        self.confirmed_at = max(self.confirmed_at, sent_at)
        return Success(self.revision)

    def _observe_entries(self, entries: Sequence[Entry]) -> bool:
        """Apply log entries; False when the log begins after a gap."""
        for entry in entries:
            record = Record.model_validate_json(entry.value)
            if record.revision > self.revision + 1:
                return False
            self.apply_record(record)
        return True

    async def _load_snapshot(self, store: Store) -> Result[int, StoreError]:
        answer = await store.read(HEAD_KEY)
        if isinstance(answer, Failure):
            return answer
        entries = answer.unwrap().entries
        self._has_read_head = True
        if not entries:
            self._head_mod = 0
            return Success(self.revision)
        head = SnapshotHead.model_validate_json(entries[0].value)
        if head.revision > self.revision:
            operations: list[Operation] = []
            for index in range(head.n_chunks):
                chunk = await store.read(_chunk_key(head.revision, index))
                if isinstance(chunk, Failure):
                    return chunk
                found = chunk.unwrap().entries
                if not found:
                    message = "the snapshot was replaced while it was read"
                    return Failure(StoreError(Verdict.NOT_RUN, message))
                rows = orjson.loads(found[0].value)
                operations.extend(Operation.model_validate(row) for row in rows)
            self.apply_snapshot(head.revision, operations)
        self._head_mod = entries[0].mod_revision
        return Success(self.revision)

    async def commit(
        self,
        store: Store,
        operations: Sequence[Operation],
        *,
        change_id: str,
        author: str = "",
        precondition: Callable[[Config], None] | None = None,
    ) -> Result[int, StoreError]:
        """Make one atomic change.

        Parameters
        ----------
        store : Store
            The key-value service.
        operations : sequence of Operation
            The change.
        change_id : str
            Identifies it; committing the same id twice makes one change.
        author : str, default=""
            Who asked for it.
        precondition : callable or None
            Gets the newest configuration before each attempt and raises
            ``ConfigError`` when the change does not follow from it any more.

        Returns
        -------
        Result of int or StoreError
            The revision that it made.

        Raises
        ------
        ConfigError
            The change does not fit the configuration.
        """
        for _ in range(MAX_ATTEMPTS):
            if change_id in self._changes:
                return Success(self._changes[change_id])
            if precondition is not None:
                precondition(self.config)
            check_operations(self.config, operations)
            record = Record(
                revision=self.revision + 1,
                change_id=change_id,
                author=author,
                at=time.time(),
                operations=tuple(operations),
            )
            done = await self._offer(store, record)
            if not isinstance(done, Success) or done.unwrap():
                return done.map(lambda _: self._changes.get(change_id, self.revision))
        return Failure(StoreError(Verdict.NOT_RUN, "too many racing changes"))

    async def _offer(self, store: Store, record: Record) -> Result[bool, StoreError]:
        """Write a record; False when another one took its revision."""
        key = make_log_key(record.revision)
        compares = [Compare(key, 0), Compare(HEAD_KEY, self._head_mod)]
        puts = [Put(key, record.model_dump_json().encode())]
        answer = await store.write(compares, puts)
        if isinstance(answer, Success) and answer.unwrap().succeeded:
            self.apply_record(record)
            return Success(True)
        if isinstance(answer, Failure) and answer.failure().verdict is Verdict.NOT_RUN:
            return answer
        return await self._read_back(store, record, lost=isinstance(answer, Failure))

    async def _read_back(
        self, store: Store, record: Record, *, lost: bool
    ) -> Result[bool, StoreError]:
        """Find out what became of a write whose answer was lost or negative."""
        loaded = await self._load_snapshot(store)
        synced = await self.sync(store) if isinstance(loaded, Success) else loaded
        if isinstance(synced, Failure):
            verdict = Verdict.MAY_HAVE_RUN if lost else Verdict.NOT_RUN
            return Failure(StoreError(verdict, synced.failure().message))
        return Success(record.change_id in self._changes)

    async def compact(self, store: Store) -> Result[bool, StoreError]:
        """Write a snapshot and delete the log that it covers.

        Parameters
        ----------
        store : Store
            The key-value service.

        Returns
        -------
        Result of bool or StoreError
            False when none was due or another node was first.

        Notes
        -----
        A change's transaction checks the head's revision too, so a node that lags
        behind a deleted part of the log can't reuse one of its numbers. The newest
        record stays in the log, so that a reader that lags sees the gap.
        """
        loaded = await self._load_snapshot(store)
        if isinstance(loaded, Failure):
            return loaded
        first = next(iter(self._records), self.revision + 1)
        if self.revision - first < SNAPSHOT_INTERVAL:
            return Success(False)
        revision = self.revision
        chunks = make_chunks(self.config.snapshot())
        for index, chunk in enumerate(chunks):
            written = await store.write([], [Put(_chunk_key(revision, index), chunk)])
            if isinstance(written, Failure):
                return written
        head = SnapshotHead(revision=revision, n_chunks=len(chunks))
        put = Put(HEAD_KEY, head.model_dump_json().encode())
        swapped = await store.write([Compare(HEAD_KEY, self._head_mod)], [put])
        if isinstance(swapped, Failure) or not swapped.unwrap().succeeded:
            return swapped.map(lambda _: False)
        await self._load_snapshot(store)
        return await self._delete_log(store, first, revision)

    async def _delete_log(
        self, store: Store, first: int, last: int
    ) -> Result[bool, StoreError]:
        keys = [make_log_key(number) for number in range(first, last)]
        for begin in range(0, len(keys), 100):
            deletes = [Delete(key) for key in keys[begin : begin + 100]]
            deleted = await store.write([], deletes)
            if isinstance(deleted, Failure):
                return deleted
        for number in [n for n in self._records if n <= last - BATCH_LIMIT]:
            del self._records[number]
        return Success(True)


def make_chunks(operations: Sequence[Operation]) -> list[bytes]:
    """Split a snapshot into values that the store accepts.

    Parameters
    ----------
    operations : sequence of Operation
        The snapshot.

    Returns
    -------
    list of bytes
        JSON arrays of at most ``MAX_CHUNK_BYTES``.
    """
    chunks: list[bytes] = []
    rows: list[bytes] = []
    size = 0
    for operation in operations:
        row = operation.model_dump_json().encode()
        if rows and size + len(row) > MAX_CHUNK_BYTES:
            chunks.append(b"[" + b",".join(rows) + b"]")
            rows, size = [], 0
        rows.append(row)
        size += len(row) + 1
    chunks.append(b"[" + b",".join(rows) + b"]")
    return chunks
