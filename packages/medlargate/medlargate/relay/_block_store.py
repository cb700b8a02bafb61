"""Blocks of requests that crash servers, kept in the store.

All nodes may stop at the same time, and a node that is cut off from its peers may still
reach the store. Blocks that only the nodes remembered would be lost to them.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import orjson
import xxhash
from pydantic import BaseModel, ConfigDict
from returns.result import Failure

from ..platform import Delete, Entry, Put, Store
from ..policy import BLOCK_TIME, PartReport
from ._crash_guard import CrashGuard
from ._stored_models import iter_stored_models

log = logging.getLogger(__name__)

BLOCKS_PREFIX = "medlargate/blocked/"
WATCH_TIMEOUT = 30.0  # seconds
WATCH_CHECK_INTERVAL = 0.5  # seconds between checks whether this node has to watch
RETRY_DELAY = 1.0  # seconds after a failed call
# The nodes that observed a crash write the block. If none of them has done so after
# this time, for example because they were stopped, representatives of domains do.
TAKEOVER_DELAY = 3.0  # seconds


class StoredBlock(BaseModel):
    """Blocked request or prompt part as kept in the store.

    Attributes
    ----------
    request : str
        Digest of the request; empty for a prompt part.
    part : str
        Id of the prompt part; empty for a request.
    crashed_at : dict of str to float
        Times of day of the crashes, in seconds since 1970, by run of the server.
    """

    model_config = ConfigDict(allow_inf_nan=False)

    request: str = ""
    part: str = ""
    crashed_at: dict[str, float]

    @property
    def store_key(self) -> str:
        """Key of the entry; the id of a part may be of any length."""
        kind = "request" if self.request else "part"
        digest = xxhash.xxh64_hexdigest((self.request or self.part).encode())
        return f"{BLOCKS_PREFIX}{kind}/{digest}"


@dataclass
class BlockStore:
    """Reads blocks from the store, and writes those that this node knows.

    Parameters
    ----------
    store : Store
        The key-value service.
    guard : CrashGuard
        Source and target of the blocks.
    clock, wall_clock : callable
        Return the node's monotonic time and the time of day, in seconds.
    should_watch : callable
        Returns whether this node has to watch the store for its domain.
    is_representative : callable
        Returns whether this node represents its domain.
    """

    store: Store
    guard: CrashGuard
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    should_watch: Callable[[], bool]
    is_representative: Callable[[], bool]
    # Keys of the blocks that the store has, with the parts; empty for requests.
    _saved: dict[str, str] = field(default_factory=dict)
    _first_seen_at: dict[str, float] = field(default_factory=dict)
    _has_changed: asyncio.Event = field(default_factory=asyncio.Event)

    def observe_change(self) -> None:
        """Write new blocks, and delete those of cleared parts, soon."""
        self._has_changed.set()

    def observe_restore(self) -> None:
        """Write all blocks again, since a restored store may have lost them."""
        self._saved.clear()
        self._has_changed.set()

    async def run_reads(self) -> None:
        """Read all blocks, then watch them if required, until cancelled."""
        revision = 0
        while True:
            if revision == 0:
                revision = await self._read_all()
                if revision == 0:
                    await asyncio.sleep(RETRY_DELAY)
                continue
            if not self.should_watch():
                await asyncio.sleep(WATCH_CHECK_INTERVAL)
                continue
            result = await self.store.poll(BLOCKS_PREFIX, revision, WATCH_TIMEOUT)
            if isinstance(result, Failure):
                await asyncio.sleep(RETRY_DELAY)
                continue
            changes = result.unwrap()
            if changes.compacted:
                revision = 0
                continue
            entries = [it.entry for it in changes.changes if it.entry is not None]
            await self._observe_entries(entries)
            revision = changes.revision

    async def _read_all(self) -> int:
        """Read all blocks; return the store's revision, or 0 if it did not answer."""
        result = await self.store.read(BLOCKS_PREFIX, prefix=True)
        if isinstance(result, Failure):
            return 0
        response = result.unwrap()
        await self._observe_entries(response.entries)
        return response.revision

    async def _observe_entries(self, entries: Iterable[Entry]) -> None:
        wall_now, now = self.wall_clock(), self.clock()
        requests: dict[str, list[str]] = {}
        parts: dict[str, PartReport] = {}
        expired = []
        for key, block in iter_stored_models(
            entries, StoredBlock, log, "stored block not decodable"
        ):
            if wall_now - max(block.crashed_at.values(), default=0.0) > BLOCK_TIME:
                expired.append(Delete(key))
                continue
            self._saved[key] = block.part
            if block.request:
                requests[block.request] = list(block.crashed_at)
            else:
                crashes = {
                    run: now - max(0.0, wall_now - at)
                    for run, at in block.crashed_at.items()
                }
                parts[block.part] = PartReport(crashes)
        self.guard.merge_crashes(
            requests=requests, parts=parts, sound_at={}, convicted=parts
        )
        if expired and isinstance(await self.store.write([], expired[:32]), Failure):
            log.info("expired blocks not deleted", extra={"n_blocks": len(expired)})

    async def run_writes(self) -> None:
        """Write new blocks and delete those of cleared parts, until cancelled."""
        while True:
            while True:
                blocks, cleared = self._list_unsaved(), self._list_cleared()
                if not blocks and not cleared:
                    break
                for block in filter(self._is_due, blocks):
                    await self._write(block)
                for key in cleared:
                    await self._delete(key)
                await asyncio.sleep(RETRY_DELAY)
            await self._has_changed.wait()
            self._has_changed.clear()

    async def _write(self, block: StoredBlock) -> None:
        value = orjson.dumps(block.model_dump(exclude_defaults=True))
        result = await self.store.write([], [Put(block.store_key, value)])
        if isinstance(result, Failure):
            log.info(
                "block not written",
                extra={"key": block.store_key, "fault": result.failure().message},
            )
            return
        self._saved[block.store_key] = block.part

    async def _delete(self, key: str) -> None:
        if isinstance(await self.store.write([], [Delete(key)]), Failure):
            log.info("block not deleted", extra={"key": key})
            return
        self._saved.pop(key, None)

    def _list_cleared(self) -> list[str]:
        """Return the keys of the parts that completed answers have cleared.

        Only nodes that have observed a crash on a part delete its entry.
        """
        parts, observed = self.guard.parts, self.guard.observed
        blocked = parts.list_blocked(now=self.clock())
        return [
            key
            for key, part in self._saved.items()
            if part in parts.sound_at and part not in blocked and part in observed
        ]

    def _was_observed(self, block: StoredBlock) -> bool:
        return (block.request or block.part) in self.guard.observed

    def _is_due(self, block: StoredBlock) -> bool:
        if self._was_observed(block):
            return True
        first_seen_at = self._first_seen_at.setdefault(block.store_key, self.clock())
        return self.clock() - first_seen_at > TAKEOVER_DELAY

    def _list_unsaved(self) -> list[StoredBlock]:
        """Return the blocks that this node has to write now or later.

        These are blocks that the store, as far as known, does not have. Only nodes
        that observed one of the crashes, and representatives of domains, write.
        """
        wall_now, now = self.wall_clock(), self.clock()
        blocks = [
            StoredBlock(
                request=digest, crashed_at=dict.fromkeys(servers, round(wall_now, 2))
            )
            for digest, servers in self.guard.requests.list_blocked().items()
        ]
        for part, record in self.guard.parts.list_blocked(now=now).items():
            crashed_at = {
                run: round(wall_now - (now - at), 2) for run, at in record.items()
            }
            blocks.append(StoredBlock(part=part, crashed_at=crashed_at))
        is_representative = self.is_representative()
        return [
            it
            for it in blocks
            if it.store_key not in self._saved
            and (is_representative or self._was_observed(it))
        ]
