"""Keeps a node's cluster state current by watches and periodic polls of the store.

A watch can stop delivering changes, and the store can compact the history that a watch
needs. A linearizable poll at a longer interval bounds the time until such a gap is
detected. The poll is skipped while the last confirmation by the store, received by
this node or by a peer, is recent enough.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from returns.result import Failure

from .._tasks import call_logged
from ..platform import Change, Store, StoreResult
from ._cluster_state import ClusterState
from ._evacuations import list_evacuated

log = logging.getLogger(__name__)

WATCH_TIMEOUT = 10.0  # seconds; a shorter timeout costs more store calls
# Age of the last confirmation that triggers a poll, as a fraction of the time within
# which a change has to be in force. The rest of that time is left for the jitter, one
# read, one retry and the relay to peers.
POLL_AGE_FRACTION = 0.4
# Changes come in bursts, and each answered watch is a billed call; the delay merges the
# changes of a burst into one answer. It is a fraction of the time within which a change
# has to be in force: a larger fleet has more changes, and more time for each.
CHANGE_BATCH_FRACTION = 0.1
# Interval between two checks whether a poll is due, as a fraction of the same time.
POLL_CHECK_FRACTION = 0.05
WATCH_CHECK_INTERVAL = 0.5  # seconds between checks whether this node has to watch
SHARED_READ_TIME = 0.1  # seconds after the start of a read that others wait for
MIN_RETRY_DELAY = 0.15  # seconds after one failed call
# The first calls after a failure tell an outage of the store from single failures.
MAX_FIRST_RETRY_DELAY = 0.3  # seconds
N_FIRST_RETRIES = 2
MAX_RETRY_DELAY = 1.0  # seconds, upper end of the random delay
# Every node polls while the store is away, and each failed call is billed. The delay
# doubles after each failure, up to this fraction of the time within which a change has
# to be in force; peers relay what the first of them reads.
MAX_BACKOFF_FRACTION = 0.5


@dataclass
class StoreWatcher:
    """Watches the configuration and the server registrations in the store.

    Parameters
    ----------
    store : Store
        The key-value service.
    cluster_state : ClusterState
        Receives the store's answers.
    config_key, servers_prefix : str
        Key of the configuration and key prefix of the registrations.
    evacuations_prefix : str, default=""
        Key prefix of the evacuated failure domains, read and watched together with the
        configuration, since each call is billed; empty if they are not read.
    clock : callable
        Returns seconds.
    should_watch : callable
        Returns whether this node has to hold watches at present.
    on_confirmed : callable
        Called after successful polls, so that peers can skip theirs.
    config_bound, servers_bound : float, default=2.0
        Seconds within which a change of the configuration or of an evacuation, and a
        change of a registration, have to be in force.
    poll_delay : callable
        Returns the seconds by which this node's polls follow those of the node that
        polls on behalf of all.
    random_state : random.Random
        Random numbers for the retry delays.

    Attributes
    ----------
    store_up : bool
        Whether the store answered the last call.
    """

    store: Store
    cluster_state: ClusterState
    config_key: str
    servers_prefix: str
    clock: Callable[[], float]
    should_watch: Callable[[], bool] = lambda: True
    on_confirmed: Callable[[], None] = lambda: None
    poll_delay: Callable[[], float] = lambda: 0.0
    config_bound: float = 2.0
    servers_bound: float = 2.0
    random_state: random.Random = field(default_factory=random.Random)
    evacuations_prefix: str = ""
    store_up: bool = True
    _config_read_revision: int = 0
    _config_read_task: asyncio.Task[bool] | None = None
    _servers_read_task: asyncio.Task[bool] | None = None
    _servers_read_at: float = float("-inf")

    async def run_config(self) -> None:
        """Watch the configuration until cancelled."""
        revision = n_failures = 0
        while True:
            if revision == 0:
                revision = await self._read_config(n_failures)
                n_failures = 0 if revision else n_failures + 1
                continue
            if not self.should_watch():
                await asyncio.sleep(WATCH_CHECK_INTERVAL)
                continue
            prefix = self._find_common_prefix()
            got = await self.store.poll(prefix, revision, WATCH_TIMEOUT)
            if isinstance(got, Failure):
                self._record_outcome(False, got.failure().message)
                revision = 0
                continue
            self._record_outcome(True)
            found = got.unwrap()
            if found.compacted:
                log.warning("history of the configuration dropped; reading anew")
                revision = 0
                continue
            for change in found.changes:
                if change.key == self.config_key and change.entry is not None:
                    self.cluster_state.observe_config(
                        change.entry, confirmed_at=self.clock()
                    )
            self._observe_evacuation_changes(found.changes, found.revision)
            revision = found.revision

    def _find_common_prefix(self) -> str:
        """Return the prefix of the configuration's key and of the evacuations."""
        if not self.evacuations_prefix:
            return self.config_key
        prefix = self.config_key.rpartition("/")[0] + "/"
        assert self.evacuations_prefix.startswith(prefix)
        return prefix

    def _observe_evacuation_changes(
        self, changes: Sequence[Change], revision: int
    ) -> None:
        if self.evacuations_prefix:
            state = self.cluster_state
            state.observe_evacuations(state.evacuations.apply(changes), revision)

    async def _read_config(self, n_failures: int) -> int:
        """Read the configuration and return the revision to watch from.

        The result is the store's revision instead of the configuration's own, since
        older history may be compacted; 0 when the store has not returned a
        configuration.
        """
        if await self.refresh_config():
            return self._config_read_revision
        await self._wait_before_retry(n_failures + 1)
        return 0

    async def refresh_config(self) -> bool:
        """Read the configuration; concurrent callers share one read.

        Returns
        -------
        bool
            Whether the store returned a configuration.
        """
        task = self._config_read_task
        if task is None or task.done():
            task = asyncio.create_task(self._fetch_config())
            self._config_read_task = task
        return await asyncio.shield(task)

    async def _fetch_config(self) -> bool:
        sent_at = self.clock()
        got = await self._read_config_entries()
        if isinstance(got, Failure):
            self._record_outcome(False, got.failure().message, sent_at=sent_at)
            return False
        self._record_outcome(True)
        answer = got.unwrap()
        if self.evacuations_prefix:
            self.cluster_state.observe_evacuations(
                list_evacuated(answer.entries), answer.revision
            )
        rows = [it for it in answer.entries if it.key == self.config_key]
        entry = rows[0] if rows else None
        self.cluster_state.observe_config(entry, confirmed_at=sent_at)
        if entry is not None:
            self._config_read_revision = max(answer.revision, entry.mod_revision)
        return entry is not None

    async def _read_config_entries(self) -> StoreResult:
        if not self.evacuations_prefix:
            return await self.store.read(self.config_key)
        return await self.store.read(self._find_common_prefix(), prefix=True)

    async def run_servers(self) -> None:
        """Watch the registrations until cancelled."""
        known, n_failures = False, 0
        while True:
            if not known:
                known = await self._read_servers()
                n_failures = 0 if known else n_failures + 1
                if not known:
                    await self._wait_before_retry(n_failures)
                continue
            if not self.should_watch():
                await asyncio.sleep(WATCH_CHECK_INTERVAL)
                continue
            revision = self.cluster_state.servers_revision
            got = await self.store.poll(self.servers_prefix, revision, WATCH_TIMEOUT)
            if isinstance(got, Failure):
                self._record_outcome(False, got.failure().message)
                known = False
                await asyncio.sleep(MIN_RETRY_DELAY)
                continue
            self._record_outcome(True)
            found = got.unwrap()
            if found.compacted:
                log.warning("history of the registrations dropped; reading anew")
                known = False
                continue
            self.cluster_state.observe_changes(
                found.changes, found.revision, confirmed_at=float("-inf")
            )
            if found.changes:
                await asyncio.sleep(CHANGE_BATCH_FRACTION * self.servers_bound)

    async def refresh_servers(self) -> bool:
        """Read the registrations; calls at about the same time share one read.

        Returns
        -------
        bool
            Whether the store answered.
        """
        now, task = self.clock(), self._servers_read_task
        # The answer to an earlier read may have waited while this node stood still.
        if task is None or now - self._servers_read_at > SHARED_READ_TIME:
            task = asyncio.create_task(self._read_servers())
            self._servers_read_task, self._servers_read_at = task, now
        return await asyncio.shield(task)

    async def _read_servers(self) -> bool:
        sent_at = self.clock()
        got = await self.store.read(self.servers_prefix, prefix=True)
        if isinstance(got, Failure):
            self._record_outcome(False, got.failure().message, sent_at=sent_at)
            return False
        self._record_outcome(True)
        answer = got.unwrap()
        self.cluster_state.observe_servers(
            answer.entries, answer.revision, confirmed_at=sent_at
        )
        return True

    async def run_polls(self) -> None:
        """Poll the store for state with an old confirmation, until cancelled."""
        interval = POLL_CHECK_FRACTION * min(self.config_bound, self.servers_bound)
        delay: float | None = None
        n_failures = 0
        retry_at = float("-inf")
        while True:
            await asyncio.sleep(interval)
            now = self.clock()
            self.cluster_state.drop_lapsed()
            if now < retry_at:
                continue
            # Seconds since the two confirmations became due.
            config_lag = now - self.cluster_state.config_confirmed_at
            config_lag -= POLL_AGE_FRACTION * self.config_bound
            servers_lag = now - self.cluster_state.servers_confirmed_at
            servers_lag -= POLL_AGE_FRACTION * self.servers_bound
            if max(config_lag, servers_lag) <= 0:
                delay = None
                continue
            if delay is None:
                delay = self.poll_delay()
            polls = []
            if config_lag > delay:
                polls.append(self.refresh_config)
            if servers_lag > delay:
                polls.append(self._read_servers)
            if not polls:
                continue
            if await _call_until_failure(polls):
                n_failures = 0
                call_logged(self.on_confirmed)
            else:
                n_failures += 1
                retry_at = self.clock() + self._decide_backoff(n_failures)

    def _decide_backoff(self, n_failures: int) -> float:
        """Return the seconds until the next poll after some failed ones in a row."""
        if n_failures <= N_FIRST_RETRIES:
            return self.random_state.uniform(MIN_RETRY_DELAY, MAX_FIRST_RETRY_DELAY)
        max_delay = MAX_BACKOFF_FRACTION * min(self.config_bound, self.servers_bound)
        delay = min(max_delay, MAX_RETRY_DELAY * 2.0 ** (n_failures - 1))
        return self.random_state.uniform(0.75 * delay, delay)

    async def _wait_before_retry(self, n_failures: int) -> None:
        max_delay = MAX_RETRY_DELAY
        if n_failures <= N_FIRST_RETRIES:
            max_delay = MAX_FIRST_RETRY_DELAY
        await asyncio.sleep(self.random_state.uniform(MIN_RETRY_DELAY, max_delay))

    def _record_outcome(
        self, answered: bool, message: str = "", *, sent_at: float | None = None
    ) -> None:
        if answered:
            # The answer may renew servers whose grace period is over.
            self.cluster_state.store_outage.observe_answer(self.clock())
        else:
            # A watch may have waited for long while the store was there.
            self.cluster_state.observe_store_failure(sent_at)
        if answered != self.store_up:
            self.store_up = answered
            if answered:
                log.warning("store regained")
            else:
                log.warning("store lost", extra={"fault": message})


async def _call_until_failure(calls: Sequence[Callable[[], Awaitable[bool]]]) -> bool:
    """Make calls in turn until one fails; return whether all succeeded."""
    for call in calls:
        if not await call():
            return False
    return True
