"""Evidence that a node reaches the servers of a service, and when to look for more.

Load pattern: a proxy or an address translation between a node and the servers accepts
connections and then resets them or delivers nothing, on all connections or only on new
ones, while requests keep arriving.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# An answer that takes longer than this is a reason to look for evidence. Together with
# the time of a probe, the maximum stays below the time within which nodes must learn of
# a change (``ContactMs``, 3 s), also where answers usually take long.
MIN_SILENCE = 0.7  # seconds
MAX_SILENCE = 1.4  # seconds
# If several servers are silent at the same time, less silence is needed, so that fewer
# requests that may not be repeated are sent to servers that are not reached.
N_SILENT_SERVERS = 3
MIN_COMMON_SILENCE = 0.35  # seconds
PREDICTION_FACTOR = 3.0  # relative to the predicted time of the first event or answer
PAUSE_FACTOR = 2.0  # relative to the route's longest pause between events
# Evidence counts for this time while an attempt stays silent. Probes are billed, and a
# slow server of a sound service may be silent for as long as its route allows.
EVIDENCE_LIFETIME = 3.0  # seconds
# Attempts at an unreachable service are abandoned after this silence.
MIN_ABANDONED_SILENCE = 0.4  # seconds
# A response within this time shows that open connections live on while new ones fail.
LIVE_CONNECTIONS_TIME = 1.0  # seconds
# The pause between attempts to reach an unreachable service grows from the minimum to
# the maximum. The maximum and the time of a probe stay below ``ContactMs``.
MIN_RECHECK_PAUSE = 0.5  # seconds
MAX_RECHECK_PAUSE = 1.5  # seconds
RECHECK_GROWTH = 1.3


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Attempt whose answer is not complete.

    Attributes
    ----------
    service, server_id : str
        Name of the service and id of the server.
    active_at : float
        Time of the last data from the server, or of the request, in seconds.
    predicted : float
        Predicted time to the first event or answer, in seconds.
    max_pause : float
        The route's longest pause between events, in seconds.
    has_events : bool
        Whether events of a stream have arrived.
    is_new_connection : bool
        Whether the request is the first one on its connection.
    """

    service: str
    server_id: str
    active_at: float
    predicted: float
    max_pause: float
    has_events: bool
    is_new_connection: bool


@dataclass(slots=True)
class ReachEvidence:
    """Times of the last responses of a service's servers.

    Attributes
    ----------
    heard_at : float
        Time of the last response on any connection, in seconds.
    heard_on_new_at : float
        Time of the last response to the first request of a connection, in seconds.
        Only such a response shows that new connections work.
    """

    heard_at: float = float("-inf")
    heard_on_new_at: float = float("-inf")

    def observe_response(self, now: float, *, is_new_connection: bool) -> None:
        """Record a response with any status."""
        self.heard_at = now
        if is_new_connection:
            self.heard_on_new_at = now


def choose_probed_services(
    attempts: Iterable[OpenAttempt],
    evidence: Mapping[str, ReachEvidence],
    *,
    now: float,
) -> set[str]:
    """Return the services whose silence is a reason to probe them.

    Parameters
    ----------
    attempts : iterable of OpenAttempt
        Attempts of this node.
    evidence : mapping of str to ReachEvidence
        What this node has heard, by service.
    now : float
        Current time, in seconds.

    Returns
    -------
    set of str
        Services with an overdue attempt since whose silence no server has responded,
        and those with ``N_SILENT_SERVERS`` servers with such an attempt that are silent
        for ``MIN_COMMON_SILENCE``.
    """
    services = set()
    silent_servers: dict[str, set[str]] = {}
    for attempt in attempts:
        known = evidence.get(attempt.service, ReachEvidence())
        if _is_contradicted(attempt, known, now):
            continue
        silence = now - attempt.active_at
        usual = _compute_usual_silence(attempt)
        if silence > min(MAX_SILENCE, max(MIN_SILENCE, usual)):
            services.add(attempt.service)
        elif silence > max(MIN_COMMON_SILENCE, usual):
            silent_servers.setdefault(attempt.service, set()).add(attempt.server_id)
    return services | {
        name for name, it in silent_servers.items() if len(it) >= N_SILENT_SERVERS
    }


def list_silent_servers(
    attempts: Iterable[OpenAttempt], *, now: float
) -> set[tuple[str, str]]:
    """Return the servers that may have crashed without closing a connection.

    Parameters
    ----------
    attempts : iterable of OpenAttempt
        Attempts of this node.
    now : float
        Current time, in seconds.

    Returns
    -------
    set of (str, str)
        Names of the services and ids of the servers with an overdue attempt that have
        sent nothing on any other one for as long.
    """
    overdue: set[tuple[str, str]] = set()
    active: set[tuple[str, str]] = set()
    for attempt in attempts:
        server = attempt.service, attempt.server_id
        silence = now - attempt.active_at
        if silence > max(MIN_SILENCE, _compute_usual_silence(attempt)):
            overdue.add(server)
        elif silence < MIN_SILENCE and attempt.has_events:
            active.add(server)
    return overdue - active


def is_abandoned(attempt: OpenAttempt, evidence: ReachEvidence, *, now: float) -> bool:
    """Return whether an attempt at an unreachable service is abandoned.

    Parameters
    ----------
    attempt : OpenAttempt
        Attempt that may be repeated.
    evidence : ReachEvidence
        What this node has heard from the service.
    now : float
        Current time, in seconds.

    Returns
    -------
    bool
        False if the attempt is not silent for long, or if it uses one of the open
        connections and they still deliver responses.
    """
    usual = PAUSE_FACTOR * attempt.max_pause if attempt.has_events else 0.0
    if now - attempt.active_at <= max(MIN_ABANDONED_SILENCE, usual):
        return False
    is_first = attempt.is_new_connection and not attempt.has_events
    return is_first or now - evidence.heard_at > LIVE_CONNECTIONS_TIME


def _is_contradicted(attempt: OpenAttempt, evidence: ReachEvidence, now: float) -> bool:
    """Return whether servers have responded since an attempt fell silent.

    A response on a reused connection says nothing about new ones.
    """
    is_first = attempt.is_new_connection and not attempt.has_events
    heard_at = evidence.heard_on_new_at if is_first else evidence.heard_at
    return heard_at >= max(attempt.active_at, now - EVIDENCE_LIFETIME)


def _compute_usual_silence(attempt: OpenAttempt) -> float:
    if attempt.has_events:
        return PAUSE_FACTOR * attempt.max_pause
    return PREDICTION_FACTOR * attempt.predicted


def compute_recheck_pause(n_failed: int) -> float:
    """Return the pause before the next attempt to reach a service, in seconds.

    Parameters
    ----------
    n_failed : int
        Number of attempts that have failed since the service became unreachable.
    """
    # The exponent is limited, so that a long cut causes no overflow.
    pause = MIN_RECHECK_PAUSE * RECHECK_GROWTH ** min(n_failed, 20)
    return min(MAX_RECHECK_PAUSE, pause)
