"""Requests that crash backend servers: suspects and quarantine."""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass, field

from cachetools import LRUCache

MAX_ENTRIES = 10_000
QUARANTINE_LIFETIME = 600.0  # seconds
MAX_CRASHES = 2
ZONE_LOSS_WINDOW = 1.0  # seconds
ZONE_LOSS_SERVERS = 2
SUSPECT_DELAY = 1.2  # seconds


def decide_suspect_placement(
    decision: CrashDecision, domains: dict[str, str], usable: set[str]
) -> tuple[set[str], float]:
    """Decide where a suspect must not run, or how long it has to wait.

    Parameters
    ----------
    decision : CrashDecision
        What is known of the request.
    domains : dict of str to str
        Failure domain of each backend server.
    usable : set of str
        Servers that could take the request.

    Returns
    -------
    tuple of (set of str, float)
        Servers to exclude, and seconds to wait.

    Notes
    -----
    A suspect that crashes a second server of the same failure domain at once could
    not be told from a loss of the domain. It goes to another one, or waits.

    Examples
    --------
    >>> suspect = CrashDecision(True, True, crashed=("a",), wait=1.0)
    >>> decide_suspect_placement(suspect, {"a": "x", "b": "x", "c": "y"}, {"b", "c"})
    ({'b'}, 0.0)
    """
    crashed = {domains.get(name, "") for name in decision.crashed}
    excluded = {name for name in usable if domains.get(name, "") in crashed}
    if usable - excluded:
        return excluded, 0.0
    return set(), decision.wait


def make_fingerprint(customer: str, route: str, body: bytes) -> str:
    """Identify a request by who sends what where.

    Parameters
    ----------
    customer, route : str
        Sender and route.
    body : bytes
        Canonical body.

    Returns
    -------
    str
        Sixteen hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (customer.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@dataclass(slots=True)
class CrashEntry:
    """What is known of one fingerprint.

    Attributes
    ----------
    backends : set of str
        Backend servers that crashed while they ran it.
    at : float
        Time of the last crash, seconds.
    """

    backends: set[str] = field(default_factory=set)
    at: float = 0.0


@dataclass(frozen=True, slots=True)
class CrashDecision:
    """Whether a request may run.

    Attributes
    ----------
    run : bool
        False while quarantined.
    isolated : bool
        It is a suspect and may not share a server with another suspect.
    retry_after : float
        Seconds until the quarantine ends.
    crashed : tuple of str
        Servers that crashed while they ran it.
    wait : float
        Seconds until a second crash in the same failure domain could not be taken
        for a loss of the domain.
    """

    run: bool
    isolated: bool = False
    retry_after: float = 0.0
    crashed: tuple[str, ...] = ()
    wait: float = 0.0


class CrashTracker:
    """Remembers which requests were running when backend servers crashed.

    Parameters
    ----------
    lifetime : float, default=600.0
        Seconds that suspicion and quarantine last.

    Notes
    -----
    Servers of one failure domain that vanish within ``ZONE_LOSS_WINDOW`` of each
    other are a loss of the domain and mark nobody. When a suspect ran on the
    crashed server, the crash is laid to it and not to the others that ran there.

    Examples
    --------
    >>> tracker = CrashTracker()
    >>> tracker.observe_crash("b1", ["f"], now=0.0, domain="d1")
    ['f']
    >>> tracker.decide("f", now=1.0).isolated
    True
    """

    def __init__(self, *, lifetime: float = QUARANTINE_LIFETIME) -> None:
        self._lifetime = lifetime
        self._entries: LRUCache[str, CrashEntry] = LRUCache(MAX_ENTRIES)
        self._vanished: dict[str, deque[tuple[float, str]]] = {}
        self._marked: deque[tuple[float, str, str, str]] = deque(maxlen=1000)

    def _entry(self, fingerprint: str, now: float) -> CrashEntry | None:
        entry = self._entries.get(fingerprint)
        if entry is not None and now - entry.at > self._lifetime:
            del self._entries[fingerprint]
            return None
        return entry

    def has_record(self, fingerprint: str) -> bool:
        """Tell whether anything is held against a request.

        Parameters
        ----------
        fingerprint : str
            From ``make_fingerprint``.

        Returns
        -------
        bool
            A cheap test before ``decide``.
        """
        return fingerprint in self._entries

    def decide(self, fingerprint: str, now: float) -> CrashDecision:
        """Decide whether a request may run.

        Parameters
        ----------
        fingerprint : str
            From ``make_fingerprint``.
        now : float
            Seconds.

        Returns
        -------
        CrashDecision
            Free, isolated or refused.
        """
        entry = self._entry(fingerprint, now)
        if entry is None:
            return CrashDecision(True)
        if len(entry.backends) >= MAX_CRASHES:
            return CrashDecision(False, True, entry.at + self._lifetime - now)
        wait = max(0.0, entry.at + SUSPECT_DELAY - now)
        crashed = tuple(sorted(entry.backends))
        return CrashDecision(True, isolated=True, crashed=crashed, wait=wait)

    def observe_crash(
        self,
        backend: str,
        running: list[str],
        *,
        now: float,
        domain: str,
        announced: bool = False,
    ) -> list[str]:
        """Take in a crashed backend server.

        Parameters
        ----------
        backend : str
            Its name.
        running : list of str
            Fingerprints of the requests that it ran.
        now : float
            Seconds.
        domain : str
            Its failure domain.
        announced : bool, default=False
            The platform had announced its eviction; nobody is marked.

        Returns
        -------
        list of str
            Fingerprints marked by this crash, to be shared with other nodes.
        """
        if announced or self._observe_vanished(backend, domain, now):
            return []
        suspects = [f for f in running if self._entry(f, now) is not None]
        blamed = suspects or running
        for fingerprint in blamed:
            self.add_suspect(fingerprint, backend, now)
            self._marked.append((now, domain, backend, fingerprint))
        return list(blamed)

    def _observe_vanished(self, backend: str, domain: str, now: float) -> bool:
        vanished = self._vanished.setdefault(domain, deque(maxlen=64))
        vanished.append((now, backend))
        recent = {name for at, name in vanished if now - at <= ZONE_LOSS_WINDOW}
        if len(recent) < ZONE_LOSS_SERVERS:
            return False
        self._acquit(domain, now)
        return True

    def _acquit(self, domain: str, now: float) -> None:
        """Undo the marks of a crash that turned out to be a loss of the domain."""
        for at, marked_domain, backend, fingerprint in self._marked:
            if marked_domain != domain or now - at > ZONE_LOSS_WINDOW:
                continue
            entry = self._entries.get(fingerprint)
            if entry is not None:
                entry.backends.discard(backend)
                if not entry.backends:
                    del self._entries[fingerprint]

    def add_suspect(self, fingerprint: str, backend: str, now: float) -> None:
        """Take in a mark, own or from another node.

        Parameters
        ----------
        fingerprint, backend : str
            The request, and the server that crashed while running it.
        now : float
            Seconds.
        """
        entry = self._entry(fingerprint, now) or CrashEntry()
        entry.backends.add(backend)
        entry.at = max(entry.at, now)
        self._entries[fingerprint] = entry

    def observe_success(self, fingerprint: str) -> None:
        """Clear a suspect that ran to its end.

        Parameters
        ----------
        fingerprint : str
            The request.
        """
        entry = self._entries.get(fingerprint)
        if entry is not None and len(entry.backends) < MAX_CRASHES:
            del self._entries[fingerprint]

    def lift_quarantine(self, fingerprint: str) -> None:
        """Lift a quarantine by an operator's word.

        Parameters
        ----------
        fingerprint : str
            The request.
        """
        self._entries.pop(fingerprint, None)

    def snapshot(self) -> list[dict[str, object]]:
        """Report suspects and quarantined requests.

        Returns
        -------
        list of dict
            Fingerprint, state, servers and time of the last crash.
        """
        return [
            {
                "fingerprint": fingerprint,
                "state": "quarantined"
                if len(entry.backends) >= MAX_CRASHES
                else "suspect",
                "backends": sorted(entry.backends),
                "at": entry.at,
            }
            for fingerprint, entry in self._entries.items()
        ]
