"""Detection of requests that repeatedly crash the servers that run them.

A request that crashes servers may be sent again and again, to any node, and each run
costs a server and every other request on it. A crash is distinguished from a lost
response by a connection check: a crashed server can no longer be reached.

Many callers may send equal requests, which then run on several servers at any time. A
partition that makes these unreachable looks like their crashes. A request of which an
answer was completed lately is sound, since one that crashes servers has none.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash
from cachetools import LRUCache

# Number of crashed servers after which a request is blocked. When a server crashes for
# another reason, the crash is recorded for every request that ran there, so that one or
# two crashes are weak evidence.
MAX_CRASHES = 3
MAX_REQUESTS = 1_000  # requests whose crashes are kept, the most recent ones
MAX_SHARED_REQUESTS = 20  # most recent requests that a node reports to its peers
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
class CrashHistory:
    """Servers that crashed while running a request, by the request's digest.

    Examples
    --------
    >>> history = CrashHistory()
    >>> for server in ("a", "b", "c"):
    ...     history.observe_crash("digest", server)
    >>> history.is_blocked("digest"), history.is_blocked("other")
    (True, False)
    """

    _servers: OrderedDict[str, set[str]] = field(default_factory=OrderedDict)

    def observe_crash(self, digest: str, server_id: str) -> None:
        """Record that a server crashed while running a request.

        Parameters
        ----------
        digest : str
            Digest of the request.
        server_id : str
            Identifier of the server and of its start.
        """
        self._servers.setdefault(digest, set()).add(server_id)
        self._servers.move_to_end(digest)
        while len(self._servers) > MAX_REQUESTS:
            self._servers.popitem(last=False)

    def merge(self, crashes: Mapping[str, Iterable[str]]) -> None:
        """Merge the crashes recorded by a peer.

        Parameters
        ----------
        crashes : mapping of str to iterable of str
            Identifiers of the crashed servers by request digest.
        """
        for digest, servers in crashes.items():
            for server_id in servers:
                if server_id not in self._servers.get(digest, ()):
                    self.observe_crash(digest, server_id)

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
        return len(self._servers.get(digest, ())) >= MAX_CRASHES

    def list_blocked(self) -> dict[str, list[str]]:
        """Return the crashed servers of the blocked requests by digest."""
        return {
            digest: sorted(servers)
            for digest, servers in self._servers.items()
            if len(servers) >= MAX_CRASHES
        }

    def snapshot(self) -> dict[str, list[str]]:
        """Return the most recently recorded crashes, to be sent to peers.

        Returns
        -------
        dict of str to list of str
            Identifiers of the crashed servers by request digest.
        """
        latest = list(self._servers.items())[-MAX_SHARED_REQUESTS:]
        return {digest: sorted(servers) for digest, servers in latest}
