"""Detection, placement and quarantine of requests that crash backend servers."""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass, field

from cachetools import LRUCache

MAX_ENTRIES = 10_000
QUARANTINE_LIFETIME = 600.0  # seconds
# Number of different crashed servers from which a request is quarantined.
QUARANTINE_MIN_SERVERS = 2
DOMAIN_LOSS_WINDOW = 1.0  # seconds
MIN_DOMAIN_LOSS_SERVERS = 2
SUSPECT_RETRY_DELAY = 1.2  # seconds


def decide_suspect_placement(
    decision: CrashDecision, domains: dict[str, str], usable: set[str]
) -> tuple[set[str], float]:
    """Decide which servers a suspect must avoid, or how long it has to wait.

    Parameters
    ----------
    decision : CrashDecision
        Decision on the request, with the servers that it has crashed.
    domains : dict of str to str
        Failure domain of each backend server.
    usable : set of str
        Names of the servers that could run the request, without those that it has
        crashed.

    Returns
    -------
    excluded : set of str
        Names of the usable servers in the failure domains of the crashed ones, which
        must not run the request; empty if no other failure domain has a usable
        server. The crashed servers themselves are not listed.
    wait : float
        Time until the request may be dispatched, in seconds.

    Notes
    -----
    A suspect that crashes a second server of the same failure domain shortly after
    the first could not be distinguished from an outage of the domain. It is sent to
    another failure domain, or it waits when there is none.

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
    """Compute a fingerprint that is equal for all repetitions of a request.

    Parameters
    ----------
    customer : str
        Name of the customer that sends the request.
    route : str
        Name of the request's route.
    body : bytes
        Request body in canonical form.

    Returns
    -------
    str
        Fingerprint of sixteen hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (customer.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@dataclass(slots=True)
class CrashRecord:
    """Crashes attributed to one fingerprint.

    Attributes
    ----------
    backends : set of str
        Names of the backend servers that crashed while running the request.
    at : float
        Time of the last crash, in seconds.
    """

    backends: set[str] = field(default_factory=set)
    at: float = 0.0


@dataclass(frozen=True, slots=True)
class CrashDecision:
    """Decision on whether and how a request may run.

    Attributes
    ----------
    run : bool
        Whether the request may run; False while it is quarantined.
    isolated : bool
        Whether the request is a suspect, which must not share a server with another
        suspect.
    retry_after : float
        Time until the quarantine ends, in seconds.
    crashed : tuple of str
        Names of the servers that crashed while running the request; empty unless the
        request may run as a suspect.
    wait : float
        Time in seconds after which a second crash in the same failure domain can no
        longer be mistaken for an outage of the domain.
    """

    run: bool
    isolated: bool = False
    retry_after: float = 0.0
    crashed: tuple[str, ...] = ()
    wait: float = 0.0


class CrashTracker:
    """Attribute crashes of backend servers to the requests that were running.

    Parameters
    ----------
    lifetime : float, default=600.0
        Time that a suspicion or a quarantine lasts after the last crash, in seconds.

    Notes
    -----
    Servers of one failure domain that are lost within ``DOMAIN_LOSS_WINDOW`` seconds
    of each other count as an outage of the domain, which this node attributes to no
    request. An attribution that was already sent to other nodes is not withdrawn there.
    Announced losses are not counted.

    When suspects ran on the crashed server, the crash is attributed to them and not
    to the other requests that ran there.

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
        self._records: LRUCache[str, CrashRecord] = LRUCache(MAX_ENTRIES)
        self._lost_servers: dict[str, deque[tuple[float, str]]] = {}
        self._attributions: deque[tuple[float, str, str, str]] = deque(maxlen=1000)

    def _find_record(self, fingerprint: str, now: float) -> CrashRecord | None:
        record = self._records.get(fingerprint)
        if record is not None and now - record.at > self._lifetime:
            del self._records[fingerprint]
            return None
        return record

    def has_record(self, fingerprint: str) -> bool:
        """Return whether crashes are recorded for a request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request, from ``make_fingerprint``.

        Returns
        -------
        bool
            True also for expired records. ``decide`` is only needed when True.
        """
        return fingerprint in self._records

    def decide(self, fingerprint: str, now: float) -> CrashDecision:
        """Decide whether a request may run.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request, from ``make_fingerprint``.
        now : float
            Current time, in seconds.

        Returns
        -------
        CrashDecision
            Decision to run the request, to run it apart from other suspects, or to
            refuse it.
        """
        record = self._find_record(fingerprint, now)
        if record is None:
            return CrashDecision(True)
        if len(record.backends) >= QUARANTINE_MIN_SERVERS:
            return CrashDecision(False, True, record.at + self._lifetime - now)
        wait = max(0.0, record.at + SUSPECT_RETRY_DELAY - now)
        crashed = tuple(sorted(record.backends))
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
        """Record a crashed backend server.

        Parameters
        ----------
        backend : str
            Name of the backend server.
        running : list of str
            Fingerprints of the requests that the server was running.
        now : float
            Current time, in seconds.
        domain : str
            Failure domain of the server.
        announced : bool, default=False
            Whether the platform had announced the server's eviction. An announced
            loss is attributed to no request.

        Returns
        -------
        list of str
            Fingerprints to which the crash is attributed, to be shared with other
            nodes.
        """
        if announced or self._detect_domain_loss(backend, domain, now):
            return []
        suspects = [f for f in running if self._find_record(f, now) is not None]
        attributed = suspects or running
        for fingerprint in attributed:
            self.add_suspect(fingerprint, backend, now)
            self._attributions.append((now, domain, backend, fingerprint))
        return list(attributed)

    def _detect_domain_loss(self, backend: str, domain: str, now: float) -> bool:
        losses = self._lost_servers.setdefault(domain, deque(maxlen=64))
        losses.append((now, backend))
        recent = {name for at, name in losses if now - at <= DOMAIN_LOSS_WINDOW}
        if len(recent) < MIN_DOMAIN_LOSS_SERVERS:
            return False
        self._revert_attributions(domain, now)
        return True

    def _revert_attributions(self, domain: str, now: float) -> None:
        """Remove recent attributions, as the crashes were an outage of the domain.

        Other nodes to which the attributions were sent keep them.
        """
        for at, crash_domain, backend, fingerprint in self._attributions:
            if crash_domain != domain or now - at > DOMAIN_LOSS_WINDOW:
                continue
            record = self._records.get(fingerprint)
            if record is not None:
                record.backends.discard(backend)
                if not record.backends:
                    del self._records[fingerprint]

    def add_suspect(self, fingerprint: str, backend: str, now: float) -> None:
        """Attribute a crash observed by this or another node to a request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        backend : str
            Name of the server that crashed while running the request.
        now : float
            Current time, in seconds.
        """
        record = self._find_record(fingerprint, now) or CrashRecord()
        record.backends.add(backend)
        record.at = max(record.at, now)
        self._records[fingerprint] = record

    def observe_success(self, fingerprint: str) -> None:
        """Clear the suspicion of a request that has completed.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request. A quarantined request stays quarantined.
        """
        record = self._records.get(fingerprint)
        if record is not None and len(record.backends) < QUARANTINE_MIN_SERVERS:
            del self._records[fingerprint]

    def lift_quarantine(self, fingerprint: str) -> None:
        """Lift a suspicion or a quarantine on an operator's command.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        """
        self._records.pop(fingerprint, None)

    def snapshot(self) -> list[dict[str, object]]:
        """Return the suspected and quarantined requests as rows of a report.

        The report includes expired records that have not been removed yet.

        Returns
        -------
        list of dict
            Fingerprint, state, crashed servers and time of the last crash of each
            request.
        """
        return [
            {
                "fingerprint": fingerprint,
                "state": "quarantined"
                if len(record.backends) >= QUARANTINE_MIN_SERVERS
                else "suspect",
                "backends": sorted(record.backends),
                "at": record.at,
            }
            for fingerprint, record in self._records.items()
        ]
