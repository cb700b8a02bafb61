"""Keeps a node's beliefs current: watches of the store, and polls beside them.

A watch can go quiet while changes are made, and its history can be dropped; a slow
linearizable poll beside it bounds how long that goes unnoticed. A poll is left out
while the store's word, heard here or by a peer, is recent enough.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure

from ..platform import Store
from ._cluster_state import ClusterState

log = logging.getLogger(__name__)

WATCH_WAIT = 10.0  # seconds; a call each is the price of a shorter one
# Part of the time within which a change has to be in force, after which the store is
# asked; the rest is for the jitter, a read, its repetition and the relay to peers.
POLL_AGE_FRACTION = 0.4
# Changes come in bursts, and each answered watch is a priced call.
BATCH_PAUSE = 0.2  # seconds
POLL_CHECK_INTERVAL = 0.1  # seconds
MIN_PAUSE = 0.15  # seconds after a failed call
MAX_PAUSE = 1.0  # seconds after failed calls in a row


@dataclass
class StoreWatcher:
    """Watches the configuration and the registrations.

    Parameters
    ----------
    store : Store
        The key-value service.
    beliefs : Beliefs
        Told what it says.
    config_key, servers_prefix : str
        Where it lies.
    clock : callable
        Returns seconds.
    watches : callable
        Tells whether this node is to hold watches at present.
    on_confirmed : callable
        Called after a poll, so that peers need not ask the same.
    config_bound, servers_bound : float, default=2.0
        Seconds within which a change has to be in force.
    poll_delay : callable
        Returns seconds by which this node's polls come later than those of the node
        that asks for all.
    random_state : random.Random
        For jitter.

    Attributes
    ----------
    store_up : bool
        The last call was answered.
    """

    store: Store
    beliefs: ClusterState
    config_key: str
    servers_prefix: str
    clock: Callable[[], float]
    should_watch: Callable[[], bool] = lambda: True
    on_confirmed: Callable[[], None] = lambda: None
    poll_delay: Callable[[], float] = lambda: 0.0
    config_bound: float = 2.0
    servers_bound: float = 2.0
    random_state: random.Random = field(default_factory=random.Random)
    store_up: bool = True
    _config_read_at: int = 0
    _pending_config: asyncio.Task[bool] | None = None

    async def run_config(self) -> None:
        """Watch the configuration, until cancelled."""
        revision = 0
        while True:
            if revision == 0:
                revision = await self._read_config()
                continue
            if not self.should_watch():
                await asyncio.sleep(POLL_CHECK_INTERVAL)
                continue
            got = await self.store.poll(self.config_key, revision, WATCH_WAIT)
            if isinstance(got, Failure):
                self._note(False, got.failure().message)
                revision = 0
                continue
            self._note(True)
            found = got.unwrap()
            if found.compacted:
                log.warning("history of the configuration dropped; reading anew")
                revision = 0
                continue
            for change in found.changes:
                if change.key == self.config_key and change.entry is not None:
                    self.beliefs.observe_config(change.entry, confirmed_at=self.clock())
            revision = found.revision

    async def _read_config(self) -> int:
        """Read the configuration; return where a watch goes on, 0 when unanswered.

        That is the store's revision, not the configuration's own: history before it
        may be dropped.
        """
        if await self.refresh_config():
            return self._config_read_at
        await self._pause()
        return 0

    async def refresh_config(self) -> bool:
        """Read the configuration, once for all who ask at the same time.

        Returns
        -------
        bool
            The store answered.
        """
        task = self._pending_config
        if task is None or task.done():
            task = asyncio.create_task(self._fetch_config())
            self._pending_config = task
        return await asyncio.shield(task)

    async def _fetch_config(self) -> bool:
        sent_at = self.clock()
        got = await self.store.read(self.config_key)
        if isinstance(got, Failure):
            self._note(False, got.failure().message)
            return False
        self._note(True)
        answer = got.unwrap()
        entry = answer.entries[0] if answer.entries else None
        self.beliefs.observe_config(entry, confirmed_at=sent_at)
        if entry is not None:
            self._config_read_at = max(answer.revision, entry.mod_revision)
        return entry is not None

    async def run_servers(self) -> None:
        """Watch the registrations, until cancelled."""
        known = False
        while True:
            if not known:
                known = await self._read_servers()
                if not known:
                    await self._pause()
                continue
            if not self.should_watch():
                await asyncio.sleep(POLL_CHECK_INTERVAL)
                continue
            revision = self.beliefs.servers_revision
            got = await self.store.poll(self.servers_prefix, revision, WATCH_WAIT)
            if isinstance(got, Failure):
                self._note(False, got.failure().message)
                known = False
                await asyncio.sleep(MIN_PAUSE)
                continue
            self._note(True)
            found = got.unwrap()
            if found.compacted:
                log.warning("history of the registrations dropped; reading anew")
                known = False
                continue
            self.beliefs.observe_changes(
                found.changes, found.revision, confirmed_at=float("-inf")
            )
            if found.changes:
                await asyncio.sleep(BATCH_PAUSE)

    async def _read_servers(self) -> bool:
        sent_at = self.clock()
        got = await self.store.read(self.servers_prefix, prefix=True)
        if isinstance(got, Failure):
            self._note(False, got.failure().message)
            return False
        self._note(True)
        answer = got.unwrap()
        self.beliefs.observe_servers(
            answer.entries, answer.revision, confirmed_at=sent_at
        )
        return True

    async def run_polls(self) -> None:
        """Read again what has not been confirmed for too long, until cancelled."""
        delay = self.poll_delay()
        while True:
            await asyncio.sleep(POLL_CHECK_INTERVAL)
            now = self.clock()
            self.beliefs.drop_lapsed()
            config_age = now - self.beliefs.config_confirmed_at
            servers_age = now - self.beliefs.servers_confirmed_at
            polls = []
            if config_age > POLL_AGE_FRACTION * self.config_bound + delay:
                polls.append(self.refresh_config)
            if servers_age > POLL_AGE_FRACTION * self.servers_bound + delay:
                polls.append(self._read_servers)
            delay = self.poll_delay()
            answers = [await poll() for poll in polls]
            if not all(answers):
                await self._pause()
            elif answers:
                self.on_confirmed()

    async def _pause(self) -> None:
        spread = MAX_PAUSE - MIN_PAUSE
        await asyncio.sleep(MIN_PAUSE + spread * self.random_state.random())

    def _note(self, up: bool, message: str = "") -> None:
        if not up:
            self.beliefs.observe_store_failure()
        if up != self.store_up:
            self.store_up = up
            if up:
                log.warning("store regained")
            else:
                log.warning("store lost", extra={"fault": message})
