"""Requests that crash servers: evidence, blocks and their exchange with peers."""

from __future__ import annotations

import itertools
import logging
import math
import secrets
from collections import deque
from collections.abc import Callable, Collection
from typing import Any

from .._tasks import call_logged
from ..fleet import StatusMessage
from ..policy import (
    CrashHistory,
    PartCrashes,
    PartReport,
    ServerState,
    SoundRequests,
    Suspicion,
    choose_confined_servers,
)
from ..routing import Registration
from ._exchange import AttemptProgress, Exchange, RequestFeatures

log = logging.getLogger(__name__)

MAX_OBSERVED = 500  # digests and parts
MAX_LOGGED_PARTS = 8  # named in a log line


class CrashGuard:
    """Blocks requests and prompt parts that crash servers.

    Parameters
    ----------
    clock : callable
        Returns the node's monotonic time in seconds.
    count_nodes : callable
        Returns the number of nodes of the fleet.

    Attributes
    ----------
    requests : CrashHistory
        Crashes by the digest of the whole request.
    sound_requests : SoundRequests
        Requests that are not blamed for crashes.
    parts : PartCrashes
        Crashes by prompt part.
    observed : deque of str
        Digests and parts of the crashes that this node has itself observed, up to
        ``MAX_OBSERVED``.
    crash_listeners : list of callable
        Called without arguments after this node has observed a crash.
    merge_listeners : list of callable
        Called without arguments after another node has reported a new crash.
    block_listeners : list of callable
        Called without arguments when a request or a part becomes blocked, or a part
        is no longer blocked.
    """

    def __init__(
        self, clock: Callable[[], float], count_nodes: Callable[[], int] = lambda: 1
    ) -> None:
        self._clock = clock
        self._count_nodes = count_nodes
        self.requests = CrashHistory()
        self.sound_requests = SoundRequests()
        self.parts = PartCrashes()
        self.observed: deque[str] = deque(maxlen=MAX_OBSERVED)
        self.crash_listeners: list[Callable[[], None]] = []
        self.merge_listeners: list[Callable[[], None]] = []
        self.block_listeners: list[Callable[[], None]] = []
        self._blocked_requests: frozenset[str] = frozenset()
        self._blocked_parts: frozenset[str] = frozenset()
        self._isolated: dict[int, str] = {}  # server by exchange id
        self._parts_in_progress: dict[int, tuple[str, ...]] = {}  # by exchange id
        self._token = secrets.token_hex(3)  # prefix of the ids of answers
        self._answer_numbers = itertools.count()

    def list_avoided_servers(self, exch: Exchange) -> Collection[str]:
        """Return the servers that a request must not share, if there are others.

        Parameters
        ----------
        exch : Exchange
            Request that is to be placed.

        Returns
        -------
        collection of str
            Servers of this node's other requests that are isolated; empty for a
            request that need not be.
        """
        if self._isolated and self.requests.needs_isolation(exch.request_digest):
            return frozenset(self._isolated.values())
        return ()

    def find_suspicion(self, exch: Exchange) -> Suspicion | None:
        """Return the evidence against the most suspected part of a request.

        Parameters
        ----------
        exch : Exchange
            Request that is to be placed.
        """
        return self.parts.find_suspicion(exch.part_ids)

    def choose_confined_servers(
        self, suspicion: Suspicion, states: Collection[ServerState], domain: str
    ) -> Collection[str]:
        """Return the servers that run requests with a suspected part.

        Parameters
        ----------
        suspicion : Suspicion
            Evidence against the part.
        states : collection of ServerState
            Servers that have capacity.
        domain : str
            Failure domain of this node.

        Returns
        -------
        collection of str
            Server ids; empty if the request should be placed like others.
        """
        if not states:
            return ()
        n_own = sum(suspicion.part in it for it in self._parts_in_progress.values())
        # One request of this node does not show that all nodes have one.
        n_in_progress = max(0, n_own - 1) * self._count_nodes()
        return choose_confined_servers(
            suspicion,
            {it.name: it.domain for it in states},
            domain=domain,
            n_in_progress=n_in_progress,
            n_slots=max(it.n_slots for it in states),
        )

    def observe_send(self, exch: Exchange, server_id: str) -> None:
        """Record that a request was placed on a server."""
        self._parts_in_progress[exch.exchange_id] = exch.part_ids
        if self.requests.needs_isolation(exch.request_digest):
            self._isolated[exch.exchange_id] = server_id

    def observe_end(self, exch: Exchange) -> None:
        """Record that an attempt at a request has ended."""
        self._parts_in_progress.pop(exch.exchange_id, None)
        self._isolated.pop(exch.exchange_id, None)

    def find_blocked(self, exch: Exchange) -> str | None:
        """Return what a request is blocked for; None if it may be run.

        Parameters
        ----------
        exch : Exchange
            Accepted request.

        Returns
        -------
        str or None
            Digest of the request or id of one of its prompt parts.
        """
        if self.requests.is_blocked(exch.request_digest):
            return exch.request_digest
        return self.parts.find_blocked(exch.part_ids, now=self._clock())

    def is_blocked(self, exch: Exchange) -> bool:
        """Return whether a request must not be run."""
        return self.find_blocked(exch) is not None

    def compute_suspicion(self, exch: Exchange) -> float:
        """Return the share of the evidence that would block a request, 0 for none.

        Parameters
        ----------
        exch : Exchange
            Request of which an attempt was broken off.
        """
        return self.parts.compute_suspicion(exch.part_ids)

    def observe_crash(
        self,
        features: RequestFeatures,
        server: Registration,
        attempt: AttemptProgress,
        crashed_at: float,
        *,
        memory_full: bool = False,
    ) -> None:
        """Record that a server crashed while it had a request.

        Parameters
        ----------
        features : RequestFeatures
            Request whose answer the crash broke off.
        server : Registration
            Server that crashed.
        attempt : AttemptProgress
            What had arrived of the answer.
        crashed_at : float
            Time of the crash on the node's clock, in seconds.
        memory_full : bool, default=False
            Whether the server's memory was full, which may explain the crash: the
            request is not blamed, and its parts are blamed less.
        """
        is_sound = self.sound_requests.is_sound(
            features.request_digest, now=self._clock()
        )
        if not is_sound and not memory_full:
            self.requests.observe_crash(
                features.request_digest,
                server.run_id,
                began_at=attempt.began_at,
                now=crashed_at,
            )
            self.observed.append(features.request_digest)
        self.parts.observe_crash(
            features.part_ids, server.run_id, now=crashed_at, memory_full=memory_full
        )
        self.observed.extend(features.part_ids)
        features.record(
            "crash",
            server=server.server_id,
            mark=features.request_digest,
            is_sound=is_sound,
            memory_full=memory_full,
            parts=features.part_ids[:MAX_LOGGED_PARTS],
            has_head=attempt.has_head,
            n_events=attempt.n_events,
        )

    def observe_crash_end(self) -> None:
        """Update the blocks after a crash was recorded for all requests of a server."""
        self._update_blocks()
        for listener in self.crash_listeners:
            call_logged(listener)

    def observe_completed(self, features: RequestFeatures) -> None:
        """Record that the answer to a request was completed by its server."""
        now = self._clock()
        self.sound_requests.observe_completed(features.request_digest, now=now)
        answer_id = f"{self._token}{next(self._answer_numbers):x}"
        self.parts.observe_sound(features.part_ids, answer_id, now=now)
        if self._blocked_parts:
            self._update_blocks()

    def has_crashed(self, server: Registration) -> bool:
        """Return whether any node has noticed a crash of a run of a server."""
        return self.parts.has_crashed(server.run_id)

    def list_crashed_runs(self) -> Collection[str]:
        """Return the runs of servers of which any node has noticed a crash."""
        return self.parts.list_crashed_runs()

    def observe_alive(self, server: Registration) -> None:
        """Withdraw the crash of a run of a server that has shown signs of life.

        Parameters
        ----------
        server : Registration
            Run of the server.
        """
        if self.parts.observe_alive(server.run_id, now=self._clock()):
            log.info("crash withdrawn", extra={"server": server.server_id})
            self._update_blocks()

    def merge_crashes(
        self,
        *,
        requests: dict[str, list[str]],
        parts: dict[str, PartReport],
        sound_at: dict[str, float],
        memory_crashes: dict[str, float] | None = None,
        convicted: Collection[str] = (),
    ) -> None:
        """Merge crashes and completed answers that other nodes observed.

        Parameters
        ----------
        requests : dict of str to list of str
            Crashed servers by request digest.
        parts : dict of str to PartReport
            Evidence by prompt part, with times on this node's clock.
        sound_at : dict of str to float
            Times at which completed answers cleared a prompt part, on this node's
            clock.
        memory_crashes : dict of str to float, or None
            Times of the crashes of servers with a full memory, by run of the server.
        convicted : collection of str
            Prompt parts that another node or the store has blocked.
        """
        if not requests and not parts and not sound_at:
            return
        version, n_crashes = self.parts.version, self.parts.n_crashes
        now = self._clock()
        self.requests.merge(requests, now=now)
        self.parts.merge(parts, sound_at, memory_crashes)
        self.parts.observe_convicted(convicted, now=now)
        if self.parts.version != version or requests:
            self._update_blocks()
        if self.parts.n_crashes != n_crashes:
            for listener in self.merge_listeners:
                call_logged(listener)

    def merge_status(self, status: StatusMessage) -> None:
        """Merge the crashes that a status message reports."""
        now = self._clock()
        self.merge_crashes(
            requests=status.crashes,
            parts={
                part: PartReport(
                    _subtract(now, ages),
                    _subtract(now, status.part_answers.get(part, {})),
                    now - status.part_sound.get(part, math.inf),
                )
                for part, ages in status.part_crashes.items()
            },
            sound_at=_subtract(now, status.sound_parts),
            memory_crashes=_subtract(now, status.memory_crashes),
            convicted=status.blocked_parts,
        )

    def make_status_fields(self) -> dict[str, Any]:
        """Return the fields of a status message that report crashes."""
        now = self._clock()
        records = self.parts.list_recent(now=now)
        answers = {part: it.answers for part, it in records.items() if it.answers}
        return {
            "crashes": self.requests.list_recent(now=now),
            "part_crashes": {
                part: _subtract(now, it.crashes) for part, it in records.items()
            },
            "part_answers": {part: _subtract(now, it) for part, it in answers.items()},
            "part_sound": {
                part: round(now - it.sound_at, 2)
                for part, it in records.items()
                if it.sound_at > -math.inf
            },
            "sound_parts": _subtract(now, self.parts.list_recently_sound(now=now)),
            "memory_crashes": _subtract(now, self.parts.list_memory_crashes(now=now)),
            "blocked_parts": self.parts.list_convicted(now=now),
        }

    def _update_blocks(self) -> None:
        """Log what has become blocked or is no longer, and call the listeners."""
        requests = frozenset(self.requests.list_blocked())
        blocked = self.parts.list_blocked(now=self._clock())
        parts = frozenset(blocked)
        for digest in requests - self._blocked_requests:
            log.warning("request blocked", extra={"mark": digest})
        for part in parts - self._blocked_parts:
            log.warning(
                "prompt part blocked",
                extra={"part": part, **self.parts.describe(part)},
            )
        for part in self._blocked_parts - parts:
            log.warning(
                "prompt part no longer blocked",
                extra={"part": part, **self.parts.describe(part)},
            )
        before = (self._blocked_requests, self._blocked_parts)
        self._blocked_requests, self._blocked_parts = requests, parts
        if before != (requests, parts):
            for listener in self.block_listeners:
                call_logged(listener)


def _subtract(now: float, times: dict[str, float]) -> dict[str, float]:
    """Turn times into ages, or ages into times."""
    return {key: round(now - it, 2) for key, it in times.items()}
