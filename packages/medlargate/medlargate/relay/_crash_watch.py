"""Recognition of crashed servers, and of the requests that they had.

A crash is a fact about one run of a server, not about one answer. Its first sign may be
a broken connection, a refused one, another server at the same address, or the
registration of the next run. Every request that the run had is evidence, also where its
own connection says nothing.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from .._tasks import call_logged, share_task
from ..routing import Registration
from ._crash_guard import CrashGuard
from ._exchange import AttemptProgress, Exchange, RequestFeatures
from ._load_tracker import LoadTracker
from ._reach import ReachMonitor

log = logging.getLogger(__name__)

# After a broken connection, new ones are tried after these delays: they fail if the
# server has crashed, and succeed if only the answer was lost. A server that ends may
# accept connections a little longer than it answers.
CHECK_DELAYS = (0.02, 0.08)  # seconds
# Signs that a run has ended may come later than the connections break, for example the
# registration of the next one.
EVIDENCE_TIME = 10.0  # seconds for which broken answers are kept
MAX_RUNS = 500  # runs of servers with broken answers or crashes that are kept
MAX_BROKEN = 64  # broken answers of one run that are kept
# A connection to a silent server is tried once in this time.
SILENCE_CHECK_INTERVAL = 1.0  # seconds
# A caller that leaves a silent answer may have waited for a crashed server.
MIN_SILENCE = 0.3  # seconds
# An answer without a length that ends with its connection shows that its request is
# sound if the server does not turn out to have crashed in this time.
UNFRAMED_DELAY = 2.0  # seconds
# A run that renews its registration so often after its crash has not crashed. One
# renewal may be on its way, or come from a restored copy of the store.
MIN_RENEWALS = 2
# An early crash may show how much memory a server has. Answers with more events were
# broken off by a crash that another request has caused.
MAX_EARLY_EVENTS = 1


@dataclass(eq=False)
class _Attempt:
    """Request at a server.

    Attributes
    ----------
    features : RequestFeatures
        What is kept of the request.
    server : Registration
        The server.
    progress : AttemptProgress
        What has arrived of the answer.
    broken_at : float or None
        Time at which the attempt ended without an answer, in seconds.
    memory_full : bool
        Whether the server's memory was full then.
    is_blamed : bool
        Whether a crash of the server was recorded for the request.
    """

    features: RequestFeatures
    server: Registration
    progress: AttemptProgress
    broken_at: float | None = None
    memory_full: bool = False
    is_blamed: bool = False


@dataclass
class _Run:
    """What this node sent to one run of a server.

    Attributes
    ----------
    open : dict of int to _Attempt
        Attempts in progress, by exchange id.
    broken : list of _Attempt
        Attempts that ended without an answer, which no crash has explained yet.
    crashed_at : float or None
        Time at which this node learned of the run's crash, in seconds.
    n_renewals : int
        Renewals of the registration since a node has noticed a crash.
    checked_at : float
        Time of the last check because of its silence, in seconds.
    """

    open: dict[int, _Attempt] = field(default_factory=dict)
    broken: list[_Attempt] = field(default_factory=list)
    crashed_at: float | None = None
    n_renewals: int = 0
    checked_at: float = float("-inf")


class CrashWatch:
    """Collects the requests of each run of a server, and reports its crash.

    Parameters
    ----------
    guard : CrashGuard
        Gets the requests that a crashed server had.
    loads : LoadTracker
        Tells whether the memory of a server was full.
    reach : ReachMonitor
        Tells whether this node reaches any server at all.
    can_reach : callable
        Returns whether a server accepts connections.
    has_left : callable
        Returns whether a server, given by its id, has announced that it leaves, or is
        no longer registered.
    clock : callable
        Returns the node's monotonic time in seconds.

    Attributes
    ----------
    crash_listeners : list of callable
        Called without arguments after a crash was noticed.
    """

    def __init__(
        self,
        guard: CrashGuard,
        loads: LoadTracker,
        reach: ReachMonitor,
        *,
        can_reach: Callable[[Registration], Coroutine[Any, Any, bool]],
        has_left: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        self._guard = guard
        self._loads = loads
        self._reach = reach
        self._can_reach = can_reach
        self._has_left = has_left
        self._clock = clock
        self.crash_listeners: list[Callable[[], None]] = []
        self._runs: OrderedDict[str, _Run] = OrderedDict()
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._registered: dict[str, Registration] = {}
        self._by_address: dict[str, Registration] = {}

    # Attempts

    def observe_begin(self, exch: Exchange, server: Registration) -> None:
        """Record that a request is about to be sent to a server."""
        run = self._get_run(server.run_id)
        run.open[exch.exchange_id] = _Attempt(exch.features, server, exch.attempt)

    def observe_answered(self, exch: Exchange, server: Registration) -> None:
        """Record that an attempt ended in a way that shows no crash."""
        run = self._runs.get(server.run_id)
        if run is not None:
            attempt = run.open.pop(exch.exchange_id, None)
            if attempt is not None and self._shows_life(run, attempt):
                self._withdraw_crash(run, server)
            self._drop_if_empty(server.run_id, run)

    def observe_unframed_end(self, exch: Exchange, server: Registration) -> None:
        """Record the end of an answer whose server may have crashed instead."""
        attempt = self._break_off(exch, server)
        if attempt is None:
            return

        def confirm() -> None:
            run = self._runs.get(server.run_id)
            if run is not None and attempt in run.broken:
                run.broken.remove(attempt)
                self._drop_if_empty(server.run_id, run)
                self._guard.observe_completed(attempt.features)

        asyncio.get_running_loop().call_later(UNFRAMED_DELAY, confirm)

    def observe_broken(self, exch: Exchange, server: Registration) -> None:
        """Record that the connection of an attempt broke, or fell silent."""
        since = self._clock()
        if self._break_off(exch, server) is not None:
            self._start_check(server, since)

    def observe_abandoned(self, exch: Exchange, server: Registration) -> None:
        """Record that the caller left, or that its time was over."""
        if self._clock() - exch.attempt.heard_at < MIN_SILENCE:
            self.observe_answered(exch, server)
            return
        self._break_off(exch, server)

    def _break_off(self, exch: Exchange, server: Registration) -> _Attempt | None:
        """Keep an ended attempt as evidence; return None if it is not needed."""
        run = self._runs.get(server.run_id)
        attempt = run.open.pop(exch.exchange_id, None) if run is not None else None
        if run is None or attempt is None:
            return None
        if not attempt.progress.is_sent or self._has_left(server.server_id):
            self._drop_if_empty(server.run_id, run)
            return None
        attempt.broken_at = self._clock()
        attempt.memory_full = self._loads.is_memory_full(server.server_id)
        if self._shows_life(run, attempt):
            self._withdraw_crash(run, server)
        if run.crashed_at is not None:
            if attempt.progress.began_at < run.crashed_at:
                self._blame([attempt])
            return None
        run.broken.append(attempt)
        del run.broken[:-MAX_BROKEN]
        return attempt

    # Signs of a crash

    def observe_unreachable(self, server: Registration) -> None:
        """Record that no connection to a server could be opened."""
        run = self._runs.get(server.run_id)
        if run is not None and run.crashed_at is None and (run.open or run.broken):
            self._start_check(server, self._clock())

    def observe_silent(self, server_id: str) -> None:
        """Record that a server sends nothing for longer than expected."""
        server = self._registered.get(server_id)
        run = self._runs.get(server.run_id) if server is not None else None
        if server is None or run is None or run.crashed_at is not None:
            return
        if self._clock() - run.checked_at > SILENCE_CHECK_INTERVAL:
            run.checked_at = self._clock()
            self._start_check(server, run.checked_at)

    def observe_replaced(self, server: Registration) -> None:
        """Record that another server answers at a server's address."""
        self._observe_run_end(server.run_id, "another server answers at its address")

    def observe_registration(self, server: Registration | None, server_id: str) -> None:
        """Record a change of a server's registration.

        Parameters
        ----------
        server : Registration or None
            Registration of the server; None if it was removed.
        server_id : str
            Id of the server.
        """
        before = self._registered.get(server_id)
        if server is None:
            if before is not None:
                del self._registered[server_id]
                if not before.draining:
                    self._observe_run_end(before.run_id, "its registration ended")
            return
        self._registered[server_id] = server
        if before is not None and before.run_id == server.run_id:
            if before.revision != server.revision:
                self._observe_renewal(server)
            return
        if before is not None and not before.draining:
            reason = "it has started again"
            self._observe_run_end(before.run_id, reason, is_certain=True)
        previous = self._by_address.get(server.address)
        if (
            previous is not None
            and previous.run_id != server.run_id
            and not self._has_left(previous.server_id)
        ):
            reason = "another server has its address"
            self._observe_run_end(previous.run_id, reason, is_certain=True)
        self._by_address[server.address] = server
        while len(self._by_address) > MAX_RUNS + len(self._registered):
            self._by_address.pop(next(iter(self._by_address)))

    def _observe_renewal(self, server: Registration) -> None:
        run = self._runs.get(server.run_id)
        has_noticed = run is not None and run.crashed_at is not None
        if has_noticed or self._guard.has_crashed(server):
            run = self._get_run(server.run_id)
            run.n_renewals += 1
            if run.n_renewals >= MIN_RENEWALS:
                self._withdraw_crash(run, server)

    @staticmethod
    def _shows_life(run: _Run, attempt: _Attempt) -> bool:
        """Return whether an answer began after the crash that a node has noticed."""
        began_at = attempt.progress.began_at
        return (
            run.crashed_at is not None
            and began_at > run.crashed_at
            and attempt.progress.has_head
        )

    def _withdraw_crash(self, run: _Run, server: Registration) -> None:
        run.crashed_at, run.n_renewals = None, 0
        self._guard.observe_alive(server)

    def _observe_run_end(
        self, run_id: str, reason: str, *, is_certain: bool = False
    ) -> None:
        """Take the end of a run for a crash if it has broken off answers.

        Where the end is certain, open answers are broken off too: connections may be
        silent instead of closed, and the next run accepts new ones.
        """
        run = self._runs.get(run_id)
        if run is None or run.crashed_at is not None:
            return
        if self._list_recent(run) or (is_certain and self._list_sent(run)):
            self._observe_crash(run_id, run, reason)

    def _list_recent(self, run: _Run) -> list[_Attempt]:
        since = self._clock() - EVIDENCE_TIME
        return [it for it in run.broken if (it.broken_at or 0.0) > since]

    def _list_sent(self, run: _Run) -> list[_Attempt]:
        """Return the attempts in progress that the run may have."""
        return [it for it in run.open.values() if it.progress.is_sent]

    def _start_check(self, server: Registration, since: float) -> None:
        share_task(self._checks, server.run_id, lambda: self._check(server, since))

    async def _check(self, server: Registration, since: float) -> None:
        """Try to connect to a server that may have crashed since a time."""
        for delay in CHECK_DELAYS:
            await asyncio.sleep(delay)
            if not await self._can_reach(server):
                break
        else:
            self._record_no_crash(server, since, "the server accepts connections")
            return
        if not await self._reach.reaches_any_server(server.service):
            self._record_no_crash(server, since, "this node reaches no server")
            return
        run = self._runs.get(server.run_id)
        if run is None or run.crashed_at is not None:
            return
        if any(it.progress.heard_at > since for it in run.open.values()):
            self._record_no_crash(server, since, "another answer goes on")
            return
        self._observe_crash(server.run_id, run, "it accepts no connection")

    def _record_no_crash(self, server: Registration, since: float, reason: str) -> None:
        """Record the result of a check for the answers that have broken off since."""
        run = self._runs.get(server.run_id)
        broken = run.broken if run is not None else ()
        for attempt in (it for it in broken if (it.broken_at or 0.0) >= since):
            attempt.features.record(
                "no_crash",
                server=server.server_id,
                reason=reason,
                has_head=attempt.progress.has_head,
                n_events=attempt.progress.n_events,
            )

    def _observe_crash(self, run_id: str, run: _Run, reason: str) -> None:
        """Report a crash with all requests that the run had."""
        run.crashed_at = self._clock()
        attempts = [*self._list_recent(run), *self._list_sent(run)]
        run.broken = []
        log.warning(
            "backend server crashed",
            extra={"run": run_id, "reason": reason, "n_requests": len(attempts)},
        )
        for listener in self.crash_listeners:
            call_logged(listener)
        self._blame(attempts)

    def _blame(self, attempts: list[_Attempt]) -> None:
        """Record a crash for requests of one run of a server."""
        attempts = [it for it in attempts if not it.is_blamed]
        for attempt in attempts:
            attempt.is_blamed, server = True, attempt.server
            if attempt.progress.n_events <= MAX_EARLY_EVENTS:
                self._loads.memory.observe_crash(server.server_id, server.run_id)
            if attempt.broken_at is None:
                attempt.memory_full = self._loads.is_memory_full(server.server_id)
            self._guard.observe_crash(
                attempt.features,
                server,
                attempt.progress,
                attempt.broken_at or self._clock(),
                memory_full=attempt.memory_full,
            )
        if attempts:
            self._guard.observe_crash_end()

    # Bounds

    def _get_run(self, run_id: str) -> _Run:
        run = self._runs.setdefault(run_id, _Run())
        self._runs.move_to_end(run_id)
        while len(self._runs) > MAX_RUNS:
            # Runs without attempts in progress are dropped first.
            idle = (key for key, it in self._runs.items() if not it.open)
            del self._runs[next(idle, next(iter(self._runs)))]
        return run

    def _drop_if_empty(self, run_id: str, run: _Run) -> None:
        has_attempts = run.open or run.broken
        if not has_attempts and run.crashed_at is None and not run.n_renewals:
            self._runs.pop(run_id, None)
