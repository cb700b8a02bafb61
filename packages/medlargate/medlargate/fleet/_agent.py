"""A node's fleet tasks: heartbeats, configuration sync and key validity."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from ..platform import PlatformCallError, Store
from ._config import ConfigReplica
from ._heartbeats import Heartbeat, OutgoingHeartbeat
from ._membership import Membership
from ._model import Config, Operation, Record

log = logging.getLogger(__name__)

N_WATCHERS = 2
SYNC_INTERVAL = 1.0  # seconds
FALLBACK_INTERVAL = 2.0  # seconds
REPLICATION_INTERVAL = 0.1  # seconds
REPLICATION_TIMEOUT = 4.0  # seconds
MAX_BACKOFF = 8.0  # seconds


@dataclass(frozen=True, slots=True)
class PullResponse:
    """Configuration changes for a node with an older revision.

    Attributes
    ----------
    records : tuple of Record
        Changes in the order of their revisions.
    snapshot : tuple of Operation
        Whole configuration, when the records are no longer stored.
    snapshot_revision : int
        Revision of the snapshot; 0 without a snapshot.
    """

    records: tuple[Record, ...] = ()
    snapshot: tuple[Operation, ...] = ()
    snapshot_revision: int = 0


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Result of a stored configuration change.

    Attributes
    ----------
    revision : int
        Revision that the change created.
    n_nodes, n_listed : int
        Number of nodes of this failure domain with the revision, and number of all
        its listed nodes.
    accepted : bool
        Whether a majority of the failure domain has the revision. Only then do the
        bounds on withdrawn keys hold on all nodes; otherwise the change is stored but
        not yet replicated to a majority.
    """

    revision: int
    n_nodes: int
    n_listed: int
    accepted: bool


@dataclass
class FleetAgent:
    """Exchanges heartbeats and configuration with the store and the other nodes.

    Parameters
    ----------
    replica : ConfigReplica
        Configuration replica of this node.
    membership : Membership
        Liveness and revisions of the other nodes.
    store : Store
        Client of the key-value store.
    send : callable
        Sends a heartbeat to a peer without waiting.
    pull : callable
        Asks a peer for the changes after a revision.
    clock : callable
        Returns seconds, including the time while the machine was suspended.
    heartbeat_interval : float
        Seconds between heartbeat rounds.
    trust_timeout : float
        Seconds after the last confirmation for which keys count as valid.
    """

    replica: ConfigReplica
    membership: Membership
    store: Store
    send: Callable[[OutgoingHeartbeat], None]
    pull: Callable[[str, int], Awaitable[PullResponse | None]]
    clock: Callable[[], float]
    heartbeat_interval: float = 1.0
    trust_timeout: float = 4.0
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    random_state: int = 0
    _backoff: float = SYNC_INTERVAL
    _pulling: bool = False
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.membership.node}/{self.random_state}")
        self.replica.add_listener(self._observe_record)

    def _observe_record(self, record: Record) -> None:
        self.membership.revision = self.replica.revision

    # Key validity

    def trusts_keys(self) -> bool:
        """Return whether this node's keys are recent enough to accept requests.

        Returns
        -------
        bool
            False when an accepted key withdrawal may have been missing here for longer
            than ``trust_timeout``.
        """
        now = self.clock()
        return now - self.membership.complete_as_of(now) <= self.trust_timeout

    # Heartbeats

    async def run_heartbeats(self) -> None:
        """Send heartbeats every ``heartbeat_interval`` until cancelled."""
        while True:
            for outgoing in self.membership.decide_heartbeats(self.clock()):
                self.send(outgoing)
            jitter = self._random.uniform(0.9, 1.1)
            await self.sleep(self.heartbeat_interval * jitter)

    def observe(self, heartbeat: Heartbeat) -> None:
        """Process a message, answer it, and pull changes if the sender is ahead.

        Parameters
        ----------
        heartbeat : Heartbeat
            Received message.
        """
        answer = self.membership.observe(heartbeat, self.clock())
        if answer is not None:
            self.send(answer)
        is_ahead = heartbeat.facts.revision > self.replica.revision
        if is_ahead and not self._pulling:
            self._pulling = True
            task = asyncio.get_running_loop().create_task(
                self._catch_up(heartbeat.facts.node)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _catch_up(self, peer: str) -> None:
        try:
            pulled = await self.pull(peer, self.replica.revision)
            if pulled is None:
                return
            if pulled.snapshot_revision:
                self.replica.apply_snapshot(pulled.snapshot_revision, pulled.snapshot)
            for record in pulled.records:
                self.replica.apply_record(record)
        finally:
            self._pulling = False

    def make_pull_response(self, after: int) -> PullResponse:
        """Make the answer to a pull from a peer with an older revision.

        Parameters
        ----------
        after : int
            Configuration revision of the peer.

        Returns
        -------
        PullResponse
            Records after the revision, or the whole configuration.
        """
        records = self.replica.records_after(after)
        if records is not None:
            return PullResponse(records=tuple(records))
        return PullResponse(
            snapshot=tuple(self.replica.config.snapshot()),
            snapshot_revision=self.replica.revision,
        )

    # Store

    def is_watcher(self) -> bool:
        """Return whether this node reads the store for its failure domain.

        Returns
        -------
        bool
            True for ``N_WATCHERS`` of the domain's live nodes.
        """
        members = self.membership
        subject = f"watch/{members.domain}"
        return members.is_chosen(subject, N_WATCHERS, self.clock())

    def _must_read_store(self) -> bool:
        """Return whether this node has to read the store itself."""
        if self.is_watcher() or not self.membership.has_synced:
            return True
        now = self.clock()
        return now - self.membership.complete_as_of(now) > self.trust_timeout / 2

    async def run_sync(self) -> None:
        """Read the store periodically while required, until cancelled."""
        while True:
            is_watcher = self.is_watcher()
            if self._must_read_store():
                await self.sync()
            base = SYNC_INTERVAL if is_watcher else FALLBACK_INTERVAL
            pause = max(base, self._backoff) * self._random.uniform(0.8, 1.2)
            await self.sleep(pause)

    async def sync(self) -> bool:
        """Read all new configuration changes from the store.

        Returns
        -------
        bool
            False when the store did not answer. The delay to the next read then
            doubles, so that a returning store is not overloaded.
        """
        done = await self.replica.sync(self.store)
        if isinstance(done, Failure):
            self._backoff = min(MAX_BACKOFF, self._backoff * 2)
            return False
        self._backoff = SYNC_INTERVAL
        self.membership.observe_sync()
        self.membership.observe_confirmation(
            self.replica.confirmed_at, self.replica.revision
        )
        return True

    async def commit(
        self,
        operations: Sequence[Operation],
        *,
        change_id: str,
        author: str = "",
        precondition: Callable[[Config], None] | None = None,
    ) -> Result[CommitResult, PlatformCallError]:
        """Commit a change and replicate it to a majority of the failure domain.

        Parameters
        ----------
        operations : sequence of Operation
            Operations of the change.
        change_id : str
            Idempotency key: two commits with the same id make one change.
        author : str, default=""
            Author of the change.
        precondition : callable or None
            See ``ConfigReplica.commit``.

        Returns
        -------
        Result of CommitResult or PlatformCallError
            ``accepted`` is False if too few nodes have the change at the timeout.

        Raises
        ------
        ConfigError
            The change does not fit the configuration.
        """
        stored = await self.replica.commit(
            self.store,
            operations,
            change_id=change_id,
            author=author,
            precondition=precondition,
        )
        if isinstance(stored, Failure):
            return stored
        return Success(await self._replicate(stored.unwrap()))

    async def _replicate(self, revision: int) -> CommitResult:
        deadline = self.clock() + REPLICATION_TIMEOUT
        members = self.membership
        while True:
            now = self.clock()
            n_nodes, n_listed = members.count_nodes_at_revision(revision)
            accepted = n_nodes > n_listed // 2
            if accepted or now >= deadline:
                return CommitResult(revision, n_nodes, n_listed, accepted)
            for outgoing in members.make_heartbeats(members.mesh(), now):
                self.send(outgoing)
            await self.sleep(REPLICATION_INTERVAL)
