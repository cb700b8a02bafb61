"""A node's part in the fleet: heartbeats, configuration, trust in keys."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from ..platform import Store, StoreError
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
    """What a peer gives to a node that is behind.

    Attributes
    ----------
    records : tuple of Record
        Changes in order.
    snapshot : tuple of Operation
        The whole configuration, when the records are not kept any more.
    snapshot_revision : int
        Its revision; 0 without a snapshot.
    """

    records: tuple[Record, ...] = ()
    snapshot: tuple[Operation, ...] = ()
    snapshot_revision: int = 0


@dataclass(frozen=True, slots=True)
class CommitResult:
    """A change that is stored.

    Attributes
    ----------
    revision : int
        The revision that it made.
    n_nodes, n_listed : int
        Nodes of this failure domain that have it, and all that are listed.
    accepted : bool
        A majority of the failure domain has it. Only then do the bounds on
        withdrawn keys hold everywhere; otherwise it is stored and still spreading.
    """

    revision: int
    n_nodes: int
    n_listed: int
    accepted: bool


@dataclass
class FleetAgent:
    """Keeps one node in touch with the store and the other nodes.

    Parameters
    ----------
    replica : ConfigReplica
        The node's configuration.
    membership : Membership
        The node's view of the others.
    store : Store
        The key-value service.
    send : callable
        Sends a heartbeat to a peer and returns at once.
    pull : callable
        Asks a peer for what follows a revision.
    clock : callable
        Returns seconds on a clock that counts suspended time.
    heartbeat_interval, trust_timeout : float
        Seconds.
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

    # Trust

    def trusts_keys(self) -> bool:
        """Tell whether no withdrawal can have been accepted unheard for long.

        Returns
        -------
        bool
            False when the last complete word is older than ``trust_timeout``.
        """
        now = self.clock()
        return now - self.membership.complete_as_of(now) <= self.trust_timeout

    # Heartbeats

    async def run_heartbeats(self) -> None:
        """Send heartbeats at an interval, until cancelled."""
        while True:
            for outgoing in self.membership.decide_heartbeats(self.clock()):
                self.send(outgoing)
            jitter = self._random.uniform(0.9, 1.1)
            await self.sleep(self.heartbeat_interval * jitter)

    def observe(self, heartbeat: Heartbeat) -> None:
        """Take in a message, answer it, and catch up with its sender.

        Parameters
        ----------
        heartbeat : Heartbeat
            From another node.
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
        """Answer a peer that is behind.

        Parameters
        ----------
        after : int
            The peer's revision.

        Returns
        -------
        Pulled
            Records, or the whole configuration.
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
        """Tell whether this node reads the store for its failure domain.

        Returns
        -------
        bool
            True for ``N_WATCHERS`` of the nodes that count as alive.
        """
        members = self.membership
        subject = f"watch/{members.domain}"
        return members.is_chosen(subject, N_WATCHERS, self.clock())

    def _must_read_store(self) -> bool:
        """Tell whether this node has to read the store itself."""
        if self.is_watcher() or not self.membership.has_synced:
            return True
        now = self.clock()
        return now - self.membership.complete_as_of(now) > self.trust_timeout / 2

    async def run_sync(self) -> None:
        """Read the store at an interval while it is this node's turn."""
        while True:
            is_watcher = self.is_watcher()
            if self._must_read_store():
                await self.sync()
            base = SYNC_INTERVAL if is_watcher else FALLBACK_INTERVAL
            pause = max(base, self._backoff) * self._random.uniform(0.8, 1.2)
            await self.sleep(pause)

    async def sync(self) -> bool:
        """Take in everything that the store has.

        Returns
        -------
        bool
            False when the store did not answer; the next read comes later each
            time, so that its return meets no rush.
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
    ) -> Result[CommitResult, StoreError]:
        """Make one change and spread it to a majority of the failure domain.

        Parameters
        ----------
        operations : sequence of Operation
            The change.
        change_id : str
            Identifies it; the same id twice makes one change.
        author : str, default=""
            Who asked for it.
        precondition : callable or None
            See ``ConfigReplica.commit``.

        Returns
        -------
        Result of Accepted or StoreError
            ``accepted`` is False while too few nodes have it.

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
