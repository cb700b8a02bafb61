"""Origins of streams in the store, for the case that all nodes stop at once.

The representative of each failure domain gets the origins of its domain and appends
them to the store in batches while servers of several versions serve.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson
from pydantic import BaseModel, ConfigDict
from returns.result import Failure

from ..platform import Delete, Entry, Put, Store
from ..policy import VERSION_LIFETIME
from ._stored_models import iter_stored_models
from ._stream_origins import StreamOrigins

log = logging.getLogger(__name__)

ORIGINS_PREFIX = "medlargate/streams/"
# Versions that served when they last changed. After all nodes stopped at once, a
# version whose last server left meanwhile is known from here only.
VERSIONS_KEY = "medlargate/stream-versions"
# Origins that are not yet written are lost if all nodes stop; calls are billed.
WRITE_INTERVAL = 0.5  # seconds
# A version that is not yet written is unknown if all nodes stop and its servers leave.
VERSIONS_INTERVAL = (
    0.05  # seconds between looks at the versions; no call without change
)
MIN_READ_INTERVAL = 0.2  # seconds between two reads of all batches
MAX_DELETES = 31  # per call, beside one batch


class OriginBatch(BaseModel):
    """Origins of streams that began within a short time.

    Attributes
    ----------
    written_at : float
        Time of day, in seconds since 1970.
    versions : dict of str to dict of str to float
        Seconds since a version served, by service and version.
    origins : dict of str to (str, str)
        Services and versions, by the identity of the caller's attempt.
    """

    model_config = ConfigDict(allow_inf_nan=False)

    written_at: float
    versions: dict[str, dict[str, float]]
    origins: dict[str, tuple[str, str]]


@dataclass
class OriginStore:
    """Writes origins to the store, and reads those of other nodes.

    Parameters
    ----------
    store : Store
        The key-value service.
    origins : StreamOrigins
        Source and target of the origins.
    incarnation : str
        Identifier of this run of the process, part of the keys.
    clock, wall_clock : callable
        Return the node's monotonic time and the time of day, in seconds.
    is_representative : callable
        Returns whether this node represents its domain.
    """

    store: Store
    origins: StreamOrigins
    incarnation: str
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    is_representative: Callable[[], bool]
    _written: deque[tuple[float, str]] = field(default_factory=deque)
    _written_until: float = float("-inf")
    _n_batches: int = 0
    _read_at: float = float("-inf")
    _reading: asyncio.Lock = field(default_factory=asyncio.Lock)
    _has_read_versions: bool = False
    _written_versions: dict[str, list[str]] | None = None

    async def run_writes(self) -> None:
        """Append new origins to the store while representing the domain."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL)
            await self._write_batch()

    async def run_version_writes(self) -> None:
        """Write the versions whenever they change while representing the domain."""
        while True:
            await asyncio.sleep(VERSIONS_INTERVAL)
            await self._write_versions()

    async def _write_versions(self) -> None:
        """Write the versions after a change, once those of earlier nodes are read."""
        versions = self.origins.snapshot_all_versions()
        names = {service: sorted(row) for service, row in versions.items()}
        if names == self._written_versions or not self.is_representative():
            return
        if not await self._read_versions():
            await asyncio.sleep(WRITE_INTERVAL)
            return
        versions = self.origins.snapshot_all_versions()
        batch = OriginBatch(
            written_at=round(self.wall_clock(), 2), versions=versions, origins={}
        )
        put = Put(VERSIONS_KEY, orjson.dumps(batch.model_dump()))
        if isinstance(await self.store.write([], [put]), Failure):
            await asyncio.sleep(WRITE_INTERVAL)
            return
        self._written_versions = {
            service: sorted(row) for service, row in versions.items()
        }

    async def _read_versions(self) -> bool:
        """Read the versions that served before this node started, once."""
        if self._has_read_versions:
            return True
        result = await self.store.read(VERSIONS_KEY)
        if isinstance(result, Failure):
            return False
        self._has_read_versions = True
        for _, batch in iter_stored_models(
            result.unwrap().entries, OriginBatch, log, "stored versions not decodable"
        ):
            age = max(0.0, self.wall_clock() - batch.written_at)
            # A version that served at the time of the write may have served until now.
            self.origins.merge_versions(
                {
                    service: {
                        version: seconds + age if seconds else 0.0
                        for version, seconds in row.items()
                    }
                    for service, row in batch.versions.items()
                }
            )
        return True

    async def _write_batch(self) -> None:
        now = self.clock()
        expired = [key for at, key in self._written if now - at > VERSION_LIFETIME]
        rows = {}
        if self.is_representative():
            rows = self.origins.list_since(self._written_until)
        if not rows and len(expired) < MAX_DELETES:
            return
        puts = []
        if rows:
            self._n_batches += 1
            batch = OriginBatch(
                written_at=round(self.wall_clock(), 2),
                versions=self.origins.snapshot_versions(),
                origins={name: (it.service, it.version) for name, it in rows.items()},
            )
            key = f"{ORIGINS_PREFIX}{self.incarnation}/{self._n_batches}"
            puts.append(Put(key, orjson.dumps(batch.model_dump())))
        deletes = [Delete(key) for key in expired[:MAX_DELETES]]
        result = await self.store.write([], [*puts, *deletes])
        if isinstance(result, Failure):
            log.info(
                "origins of streams not written",
                extra={"n_streams": len(rows), "fault": result.failure().message},
            )
            return
        self._written_until = now if rows else self._written_until
        for _ in deletes:
            self._written.popleft()
        self._written.extend((now, put.key) for put in puts)

    async def read(self) -> bool:
        """Read all batches unless they have just been read.

        Returns
        -------
        bool
            Whether the store answered.
        """
        asked_at = self.clock()
        async with self._reading:
            if self._read_at > asked_at - MIN_READ_INTERVAL:
                return True
            if not await self._read_versions():
                return False
            result = await self.store.read(ORIGINS_PREFIX, prefix=True)
            if isinstance(result, Failure):
                log.info(
                    "origins of streams not read",
                    extra={"fault": result.failure().message},
                )
                return False
            self._read_at = self.clock()
            await self._merge(result.unwrap().entries)
        return True

    async def _merge(self, entries: tuple[Entry, ...]) -> None:
        wall_now = self.wall_clock()
        expired = []
        for key, batch in iter_stored_models(
            entries, OriginBatch, log, "stored origins not decodable"
        ):
            age = max(0.0, wall_now - batch.written_at)
            if age > 2 * VERSION_LIFETIME:
                expired.append(Delete(key))
                continue
            versions = {
                service: {version: seconds + age for version, seconds in row.items()}
                for service, row in batch.versions.items()
            }
            self.origins.merge_versions(versions)
            self.origins.merge(batch.origins)
        if expired and isinstance(
            await self.store.write([], expired[:MAX_DELETES]), Failure
        ):
            log.info("expired origins not deleted", extra={"n_batches": len(expired)})
