"""Requests that crash servers: evidence, blocks and their exchange with peers."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Collection
from typing import Any

from .._tasks import call_logged
from ..fleet import StatusMessage
from ..policy import CrashHistory, PartCrashes, SoundRequests
from ..routing import Registration
from ._exchange import AttemptProgress, Exchange

log = logging.getLogger(__name__)

# A server that crashes on a prompt part does so as it begins to answer. Streams that
# were further on were broken off by the crash.
MAX_BLAMED_EVENTS = 1
MAX_OBSERVED = 500  # digests and parts
MAX_LOGGED_PARTS = MAX_LOGGED_SERVERS = 8  # named in a log line


class CrashGuard:
    """Blocks requests and prompt parts that crash servers.

    Parameters
    ----------
    clock : callable
        Returns the node's monotonic time in seconds.

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
        Called without arguments after this node has observed a crash of a server that
        had begun to answer.
    block_listeners : list of callable
        Called without arguments when a request or a part becomes blocked, or a part
        is no longer blocked.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.requests = CrashHistory()
        self.sound_requests = SoundRequests()
        self.parts = PartCrashes()
        self.observed: deque[str] = deque(maxlen=MAX_OBSERVED)
        self.crash_listeners: list[Callable[[], None]] = []
        self.block_listeners: list[Callable[[], None]] = []
        self._blocked_requests: frozenset[str] = frozenset()
        self._blocked_parts: frozenset[str] = frozenset()
        self._isolated: dict[int, str] = {}  # server by exchange id

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

    def observe_send(self, exch: Exchange, server_id: str) -> None:
        """Record that a request was placed on a server."""
        if self.requests.needs_isolation(exch.request_digest):
            self._isolated[exch.exchange_id] = server_id

    def observe_end(self, exch: Exchange) -> None:
        """Record that an attempt at a request has ended."""
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
        return self.parts.find_blocked(exch.shared_parts, now=self._clock())

    def observe_crash(
        self,
        exch: Exchange,
        server: Registration,
        attempt: AttemptProgress,
        crashed_at: float,
        *,
        memory_full: bool = False,
    ) -> None:
        """Blame a request, and its parts if its answer had just begun, for a crash.

        Parameters
        ----------
        exch : Exchange
            Request whose answer the crash broke off.
        server : Registration
            Server that crashed.
        attempt : AttemptProgress
            What had arrived of the answer.
        crashed_at : float
            Time on the node's clock at which the answer broke off, in seconds.
        memory_full : bool, default=False
            Whether the server's memory was full, which explains the crash: no request
            or part is blamed.
        """
        if memory_full:
            exch.record("crash_by_memory", server=server.server_id)
            return
        is_sound = self.sound_requests.is_sound(exch.request_digest, now=self._clock())
        if not is_sound:
            self.requests.observe_crash(
                exch.request_digest,
                server.run_id,
                began_at=attempt.began_at,
                now=crashed_at,
            )
            self.observed.append(exch.request_digest)
        had_begun = attempt.has_head and attempt.n_events <= MAX_BLAMED_EVENTS
        if had_begun:
            self.parts.observe_crash(exch.shared_parts, server.run_id, now=crashed_at)
            self.observed.extend(exch.shared_parts)
        exch.record(
            "crash",
            server=server.server_id,
            mark=exch.request_digest,
            is_sound=is_sound,
            parts=exch.shared_parts[:MAX_LOGGED_PARTS],
            blames_parts=had_begun,
            has_head=attempt.has_head,
            n_events=attempt.n_events,
        )
        self._update_blocks()
        if had_begun:
            for listener in self.crash_listeners:
                call_logged(listener)

    def observe_completed(self, exch: Exchange) -> None:
        """Record that the answer to a request was completed by its server."""
        now = self._clock()
        self.sound_requests.observe_completed(exch.request_digest, now=now)
        self.parts.observe_sound(exch.shared_parts, now=now)
        if self._blocked_parts:
            self._update_blocks()

    def merge_crashes(
        self,
        *,
        requests: dict[str, list[str]],
        parts: dict[str, dict[str, float]],
        sound_at: dict[str, float],
    ) -> None:
        """Merge crashes and completed answers that other nodes observed.

        Parameters
        ----------
        requests : dict of str to list of str
            Crashed servers by request digest.
        parts : dict of str to dict
            Crashes by prompt part: times on this node's clock by run of the server.
        sound_at : dict of str to float
            Times of completed answers by prompt part, on this node's clock.
        """
        if not requests and not parts and not sound_at:
            return
        self.requests.merge(requests, now=self._clock())
        self.parts.merge(parts, sound_at)
        self._update_blocks()

    def merge_status(self, status: StatusMessage) -> None:
        """Merge the crashes that a status message reports."""
        now = self._clock()
        self.merge_crashes(
            requests=status.crashes,
            parts={
                part: {run: now - age for run, age in ages.items()}
                for part, ages in status.part_crashes.items()
            },
            sound_at={part: now - age for part, age in status.sound_parts.items()},
        )

    def make_status_fields(self) -> dict[str, Any]:
        """Return the fields of a status message that report crashes."""
        now = self._clock()
        sound_at = self.parts.list_recently_sound(now=now)
        return {
            "crashes": self.requests.list_recent(now=now),
            "part_crashes": {
                part: {run: round(now - at, 2) for run, at in record.items()}
                for part, record in self.parts.list_recent(now=now).items()
            },
            "sound_parts": {part: round(now - at, 2) for part, at in sound_at.items()},
        }

    def _update_blocks(self) -> None:
        """Log what has become blocked or is no longer, and call the listeners."""
        requests = frozenset(self.requests.list_blocked())
        blocked = self.parts.list_blocked(now=self._clock())
        parts = frozenset(blocked)
        for digest in requests - self._blocked_requests:
            log.warning("request blocked", extra={"mark": digest})
        for part in parts - self._blocked_parts:
            servers = sorted(blocked[part])[:MAX_LOGGED_SERVERS]
            log.warning("prompt part blocked", extra={"part": part, "servers": servers})
        for part in self._blocked_parts - parts:
            log.warning("prompt part no longer blocked", extra={"part": part})
        before = (self._blocked_requests, self._blocked_parts)
        self._blocked_requests, self._blocked_parts = requests, parts
        if before != (requests, parts):
            for listener in self.block_listeners:
                call_logged(listener)
