"""Detection of requests that repeatedly crash the servers that run them.

A request that crashes servers may be sent again and again, to any node, and each run
costs a server and every other request on it. A crash is distinguished from a lost
response by a connection check: a crashed server can no longer be reached.

Many callers may send equal requests, which then run on several servers at any time. A
partition that makes these unreachable looks like their crashes. A request of which an
answer was completed lately is sound, since one that crashes servers has none. Servers
that crash at the same time have a common cause and count as one.

A request may crash its server at any point of its answer, so that each crash is
recorded for all requests that ran there. Only one that comes again gathers crashes.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash
from cachetools import LRUCache

from ._part_crashes import MIN_CRASH_SPACING, SHARE_TIME

# Number of crashed servers after which a request is blocked. When a server crashes for
# another reason, the crash is recorded for every request that ran there, so that one or
# two crashes are weak evidence.
MAX_CRASHES = 3
MAX_REQUESTS = 1_000  # requests whose crashes are kept, the most recent ones
# Requests that a node reports to its peers: as many as a server may run at a time,
# since each may be the one that has crashed it.
MAX_SHARED_REQUESTS = 64
SOUND_LIFETIME = 60.0  # seconds for which a completed answer shows that one is sound
MAX_SOUND_REQUESTS = 20_000  # digests of completed answers, about 3 MB


def make_request_digest(route: str, customer: str, target: str, body: bytes) -> str:
    """Compute a digest that is equal for all repetitions of a request.

    Parameters
    ----------
    route : str
        Name of the request's route.
    customer : str
        Name of the customer; empty for none.
    target : str
        Request target: path and query.
    body : bytes
        Complete request body.

    Returns
    -------
    str
        Digest of sixteen hexadecimal digits.
    """
    digest = xxhash.xxh64(f"{route}\0{customer}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


@dataclass
class SoundRequests:
    """Requests of which answers were completed lately, by digest.

    Examples
    --------
    >>> sound = SoundRequests()
    >>> sound.observe_completed("digest", now=1.0)
    >>> sound.is_sound("digest", now=2.0), sound.is_sound("other", now=2.0)
    (True, False)
    """

    _completed_at: LRUCache[str, float] = field(
        default_factory=lambda: LRUCache(MAX_SOUND_REQUESTS)
    )

    def observe_completed(self, digest: str, *, now: float) -> None:
        """Record a completed answer.

        Parameters
        ----------
        digest : str
            Digest of the request.
        now : float
            Current time, in seconds.
        """
        self._completed_at[digest] = now

    def is_sound(self, digest: str, *, now: float) -> bool:
        """Return whether an answer was completed within ``SOUND_LIFETIME``.

        Parameters
        ----------
        digest : str
            Digest of the request.
        now : float
            Current time, in seconds.
        """
        return now - self._completed_at.get(digest, -math.inf) < SOUND_LIFETIME


@dataclass
class _CrashRecord:
    """Crashed servers of one request, and times in seconds."""

    servers: set[str] = field(default_factory=set)
    crashed_at: float = -math.inf
    changed_at: float = -math.inf

    @property
    def is_blocked(self) -> bool:
        return len(self.servers) >= MAX_CRASHES


@dataclass
class CrashHistory:
    """Servers that crashed while running a request, by the request's digest.

    Examples
    --------
    >>> history = CrashHistory()
    >>> for number, server in enumerate("abc"):  # one a second
    ...     history.observe_crash("digest", server, began_at=number, now=number)
    >>> history.is_blocked("digest"), history.is_blocked("other")
    (True, False)
    """

    _records: OrderedDict[str, _CrashRecord] = field(default_factory=OrderedDict)

    def observe_crash(
        self, digest: str, server_id: str, *, began_at: float, now: float
    ) -> None:
        """Record that a server crashed while running a request.

        Parameters
        ----------
        digest : str
            Digest of the request.
        server_id : str
            Identifier of the server and of its start.
        began_at : float
            Time at which the request was sent to the server, in seconds.
        now : float
            Time of the crash, in seconds.
        """
        record = self._records.get(digest)
        if (
            record is not None
            and began_at <= record.crashed_at
            and abs(now - record.crashed_at) < MIN_CRASH_SPACING
        ):
            return
        self._add(digest, server_id, now).crashed_at = now

    def _add(self, digest: str, server_id: str, now: float) -> _CrashRecord:
        record = self._records.setdefault(digest, _CrashRecord())
        if server_id not in record.servers:
            record.servers.add(server_id)
            record.changed_at = now
            self._records.move_to_end(digest)
        while len(self._records) > MAX_REQUESTS:
            self._records.popitem(last=False)
        return record

    def merge(self, crashes: Mapping[str, Iterable[str]], *, now: float) -> None:
        """Merge the crashes recorded by a peer.

        Parameters
        ----------
        crashes : mapping of str to iterable of str
            Identifiers of the crashed servers by request digest.
        now : float
            Current time, in seconds.
        """
        for digest, servers in crashes.items():
            for server_id in servers:
                self._add(digest, server_id, now)

    def is_blocked(self, digest: str) -> bool:
        """Return whether a request must not be run any more.

        Parameters
        ----------
        digest : str
            Digest of the request.

        Returns
        -------
        bool
            True once the request has crashed ``MAX_CRASHES`` servers.
        """
        record = self._records.get(digest)
        return record is not None and record.is_blocked

    def needs_isolation(self, digest: str) -> bool:
        """Return whether one more crash blocks a request.

        Another request that ran on the same crashed servers has the same evidence
        against it. Which of them crashes servers shows only if they run apart.

        Parameters
        ----------
        digest : str
            Digest of the request.
        """
        record = self._records.get(digest)
        return record is not None and len(record.servers) == MAX_CRASHES - 1

    def list_blocked(self) -> dict[str, list[str]]:
        """Return the crashed servers of the blocked requests by digest."""
        return {
            digest: sorted(record.servers)
            for digest, record in self._records.items()
            if record.is_blocked
        }

    def list_recent(self, *, now: float) -> dict[str, list[str]]:
        """Return the crashes that peers should know.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        dict of str to list of str
            Identifiers of the crashed servers by request digest: of blocked requests,
            and of those with a crash in the last ``SHARE_TIME``, at most
            ``MAX_SHARED_REQUESTS``. Those that crashed the most servers come first.
        """
        recent = [
            (digest, record)
            for digest, record in reversed(self._records.items())
            if record.is_blocked or now - record.changed_at < SHARE_TIME
        ]
        recent.sort(key=lambda item: -len(item[1].servers))
        return {
            digest: sorted(record.servers)
            for digest, record in recent[:MAX_SHARED_REQUESTS]
        }
