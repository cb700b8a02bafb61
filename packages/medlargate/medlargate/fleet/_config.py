"""Replica of the operators' configuration, changed by compare-and-swap in the store."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence

import orjson
from pydantic import BaseModel
from returns.result import Failure, Result, Success

from ..platform import Compare, Delete, Entry, PlatformCallError, Put, Store
from ..policy import Verdict
from ._model import Config, Operation, Record, check_operations

log = logging.getLogger(__name__)

PREFIX = "medlargate/config/"
LOG_PREFIX = PREFIX + "log/"
HEAD_KEY = PREFIX + "head"
MAX_RECORDS = 2_000  # records kept in memory
SNAPSHOT_INTERVAL = 1_000  # revisions in the log before the next snapshot
MAX_CHUNK_BYTES = 900_000
MAX_ATTEMPTS = 8  # writes of one change while other changes come first
BATCH_LIMIT = 500  # records per read


class SnapshotHead(BaseModel):
    """Revision and number of chunks of the newest snapshot in the store."""

    revision: int
    n_chunks: int


class ConfigConflictError(Exception):
    """Two records with different change ids have the same revision."""


def make_log_key(revision: int) -> str:
    """Return the store key of a change record.

    Parameters
    ----------
    revision : int
        Revision that the change makes.

    Returns
    -------
    str
        Key in the key-value service; the keys sort by revision.
    """
    return f"{LOG_PREFIX}{revision:012d}"


def _make_chunk_key(revision: int, index: int) -> str:
    return f"{PREFIX}snapshot/{revision:012d}/{index:04d}"


class ConfigReplica:
    """One node's copy of the configuration.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds on a monotonic clock that also advances while the
        machine is suspended.

    Attributes
    ----------
    config : Config
        Configuration in force on this node.
    confirmed_at : float
        Time on ``clock`` up to which this replica is known to be complete: the time
        at which the last read that found nothing newer was sent, or minus infinity
        before the first one.

    Notes
    -----
    Records are applied in the order of their revisions and without gaps, so the
    revision never decreases.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.config = Config()
        self.confirmed_at = float("-inf")
        self._records: OrderedDict[int, Record] = OrderedDict()
        self._revision_by_change: OrderedDict[str, int] = OrderedDict()
        self._head_mod_revision = 0
        self._has_read_head = False
        self._listeners: list[Callable[[Record], None]] = []

    @property
    def revision(self) -> int:
        """Revision of the configuration in force on this node."""
        return self.config.revision

    def add_listener(self, listener: Callable[[Record], None]) -> None:
        """Register a function to be called after each applied record.

        Parameters
        ----------
        listener : callable
            Receives the record.
        """
        self._listeners.append(listener)

    def apply_record(self, record: Record) -> bool:
        """Apply a record if its revision is the next one.

        Parameters
        ----------
        record : Record
            Record from the store or a peer.

        Returns
        -------
        bool
            Whether the record was applied; False if its revision is in force already
            or does not directly follow the one in force.

        Raises
        ------
        ConfigConflictError
            A record with the same revision and another change id was applied.
        """
        known = self._records.get(record.revision)
        if known is not None and known.change_id != record.change_id:
            raise ConfigConflictError(
                f"revision {record.revision} has two different changes"
            )
        if record.revision != self.revision + 1:
            return False
        for operation in record.operations:
            self.config.apply(operation)
        self.config.revision = record.revision
        self._records[record.revision] = record
        self._revision_by_change[record.change_id] = record.revision
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
            self._revision_by_change.popitem(last=False)
        for listener in self._listeners:
            listener(record)
        return True

    def apply_snapshot(self, revision: int, operations: Sequence[Operation]) -> None:
        """Replace the configuration by a newer snapshot.

        Parameters
        ----------
        revision : int
            Revision of the snapshot; a snapshot that is not newer is ignored.
        operations : sequence of Operation
            Operations that rebuild the configuration from an empty one.
        """
        if revision <= self.revision:
            return
        config = Config(revision=revision)
        for operation in operations:
            config.apply(operation)
        self.config = config
        self._records.clear()
        self._revision_by_change.clear()
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
            Operations of the change.

        Raises
        ------
        ConfigError
            The change can't be applied to the configuration.
        """
        check_operations(self.config, operations)

    def records_after(self, revision: int) -> list[Record] | None:
        """List the records after a revision, for a peer.

        Parameters
        ----------
        revision : int
            Revision that the peer has.

        Returns
        -------
        list of Record or None
            At most ``BATCH_LIMIT`` records; None if they are not kept any more, so
            that the peer needs a snapshot.
        """
        if revision >= self.revision:
            return []
        if revision + 1 not in self._records:
            return None
        last = min(self.revision, revision + BATCH_LIMIT)
        return [self._records[number] for number in range(revision + 1, last + 1)]

    async def sync(self, store: Store) -> Result[int, PlatformCallError]:
        """Bring this replica up to date with the store.

        Parameters
        ----------
        store : Store
            The key-value service.

        Returns
        -------
        Result of int or PlatformCallError
            Revision in force afterwards.
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
            if entries and not self._apply_entries(entries):
                before = self.revision
                loaded = await self._load_snapshot(store)
                if isinstance(loaded, Failure):
                    return loaded
                if self.revision == before:
                    message = "the log has a gap that no snapshot covers"
                    return Failure(PlatformCallError(Verdict.NOT_RUN, message))
                continue
            if len(entries) < BATCH_LIMIT:
                break
        if not self._has_read_head:
            loaded = await self._load_snapshot(store)
            if isinstance(loaded, Failure):
                return loaded
        self.confirmed_at = max(self.confirmed_at, sent_at)
        return Success(self.revision)

    def _apply_entries(self, entries: Sequence[Entry]) -> bool:
        """Apply log entries; return False if the log has a gap before them."""
        for entry in entries:
            record = Record.model_validate_json(entry.value)
            if record.revision > self.revision + 1:
                return False
            self.apply_record(record)
        return True

    async def _load_snapshot(self, store: Store) -> Result[int, PlatformCallError]:
        answer = await store.read(HEAD_KEY)
        if isinstance(answer, Failure):
            return answer
        entries = answer.unwrap().entries
        self._has_read_head = True
        if not entries:
            self._head_mod_revision = 0
            return Success(self.revision)
        head = SnapshotHead.model_validate_json(entries[0].value)
        if head.revision > self.revision:
            operations: list[Operation] = []
            for index in range(head.n_chunks):
                chunk = await store.read(_make_chunk_key(head.revision, index))
                if isinstance(chunk, Failure):
                    return chunk
                found = chunk.unwrap().entries
                if not found:
                    message = "the snapshot was replaced while it was read"
                    return Failure(PlatformCallError(Verdict.NOT_RUN, message))
                rows = orjson.loads(found[0].value)
                operations.extend(Operation.model_validate(row) for row in rows)
            self.apply_snapshot(head.revision, operations)
        self._head_mod_revision = entries[0].mod_revision
        return Success(self.revision)

    async def commit(
        self,
        store: Store,
        operations: Sequence[Operation],
        *,
        change_id: str,
        author: str = "",
        precondition: Callable[[Config], None] | None = None,
    ) -> Result[int, PlatformCallError]:
        """Commit one atomic change.

        Parameters
        ----------
        store : Store
            The key-value service.
        operations : sequence of Operation
            Operations of the change.
        change_id : str
            Id of the change; committing the same id twice makes one change.
        author : str, default=""
            Name of the operator who requested the change.
        precondition : callable or None
            Receives the newest configuration before each attempt and raises
            ``ConfigError`` if the change is no longer valid for it.

        Returns
        -------
        Result of int or PlatformCallError
            Revision made by the change.

        Raises
        ------
        ConfigError
            The change can't be applied to the configuration.
        """
        for _ in range(MAX_ATTEMPTS):
            if change_id in self._revision_by_change:
                return Success(self._revision_by_change[change_id])
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
            written = await self._write_record(store, record)
            if not isinstance(written, Success) or written.unwrap():
                return written.map(
                    lambda _: self._revision_by_change.get(change_id, self.revision)
                )
        return Failure(
            PlatformCallError(Verdict.NOT_RUN, "too many concurrent changes")
        )

    async def _write_record(
        self, store: Store, record: Record
    ) -> Result[bool, PlatformCallError]:
        """Write a record; the result is False if its revision is taken already."""
        key = make_log_key(record.revision)
        compares = [Compare(key, 0), Compare(HEAD_KEY, self._head_mod_revision)]
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
    ) -> Result[bool, PlatformCallError]:
        """Read from the store whether a record was written after all.

        The response to its write was lost or negative; the argument ``lost`` tells
        which.
        """
        loaded = await self._load_snapshot(store)
        synced = await self.sync(store) if isinstance(loaded, Success) else loaded
        if isinstance(synced, Failure):
            verdict = Verdict.MAY_HAVE_RUN if lost else Verdict.NOT_RUN
            return Failure(PlatformCallError(verdict, synced.failure().message))
        return Success(record.change_id in self._revision_by_change)

    async def compact(self, store: Store) -> Result[bool, PlatformCallError]:
        """Write a snapshot and delete the log records that it covers.

        Parameters
        ----------
        store : Store
            The key-value service.

        Returns
        -------
        Result of bool or PlatformCallError
            Whether a snapshot was written; False if none was due or another node
            wrote one first.

        Notes
        -----
        The transaction of each change also checks the revision of the head key.
        Hence a node that lags behind the deleted records can't commit a change under
        one of their revisions. The newest record stays in the log, so that a lagging
        reader detects the gap.
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
            written = await store.write(
                [], [Put(_make_chunk_key(revision, index), chunk)]
            )
            if isinstance(written, Failure):
                return written
        head = SnapshotHead(revision=revision, n_chunks=len(chunks))
        put = Put(HEAD_KEY, head.model_dump_json().encode())
        swapped = await store.write([Compare(HEAD_KEY, self._head_mod_revision)], [put])
        if isinstance(swapped, Failure) or not swapped.unwrap().succeeded:
            return swapped.map(lambda _: False)
        await self._load_snapshot(store)
        return await self._delete_log(store, first, revision)

    async def _delete_log(
        self, store: Store, first: int, last: int
    ) -> Result[bool, PlatformCallError]:
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
        Operations of the snapshot.

    Returns
    -------
    list of bytes
        JSON arrays of at most ``MAX_CHUNK_BYTES`` bytes.
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
