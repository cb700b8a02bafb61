"""Requests that a node has taken and whose connections it closed without an answer."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..backend import Run
from ._traffic import CallRecord

CONTACT_TIME = 3.0  # seconds that a node needs to recover from an unplanned fault
CROSSING_TIME = 0.2  # seconds in which a request may cross the node's close
RELOAD_TIME = 2.0  # seconds in which a reload takes effect
STOP_MARGIN = 1.0  # seconds after the grace period that still belong to a stop
# Requests sent later than this after SIGTERM must not be cut at the end of the grace
# period.
EARLY_TIME = 3.0  # seconds
LAST_FRACTION = 1 / 6  # of the grace period, in which running work may be cut
# Planned work, and faults of the store alone.
_HARMLESS_KINDS = ("stop", "reload", "config", "leave", "store", "store-errors")
MAX_KEPT_CLOSES = 3  # requests on kept connections that a calm node may close on


@dataclass(frozen=True, slots=True)
class Fault:
    """Planned work or an unplanned disturbance.

    Attributes
    ----------
    kind : str
        ``"stop"`` and ``"reload"`` of a node, ``"config"`` and ``"leave"`` of a server
        are planned work. ``"store"`` is an outage for some nodes and
        ``"store-errors"`` a time in which single calls fail. Others are unplanned.
    target : str
        Name of the node or the server; empty for all.
    started_at, ended_at : float
        Times on the monotonic clock, in seconds.
    """

    kind: str
    target: str
    started_at: float
    ended_at: float

    @property
    def excuses_requests(self) -> bool:
        """Whether requests that it touches may be lost."""
        return self.kind not in _HARMLESS_KINDS

    def overlaps(self, since: float, until: float) -> bool:
        """Return whether a part of it lies within a period."""
        return self.started_at <= until and self.ended_at >= since


@dataclass(frozen=True, slots=True)
class LostRequest:
    """Request that ended without an answer although nothing excuses it.

    Attributes
    ----------
    call : CallRecord
        The request.
    cause : str
        Planned work around it; ``"none"`` if there was none.
    since : float
        Seconds from the beginning of the planned work to the request.
    has_run : bool
        Whether a server has begun to run it.
    """

    call: CallRecord
    cause: str
    since: float
    has_run: bool

    def __str__(self) -> str:
        call = self.call
        return (
            f"{call.request_id} {call.kind} at {call.node}: sent {self.since:.2f} s "
            f"after {self.cause}, closed {call.ended_at - call.sent_at:.2f} s later "
            f"with {call.n_bytes} bytes, {'run' if self.has_run else 'not run'}"
        )


def find_lost_requests(
    calls: Iterable[CallRecord],
    runs: Iterable[Run],
    faults: Sequence[Fault],
    *,
    grace: float,
) -> list[LostRequest]:
    """Find requests whose connections nodes closed without a complete answer.

    Parameters
    ----------
    calls : iterable of CallRecord
        Calls of all callers.
    runs : iterable of Run
        Executions on all servers.
    faults : sequence of Fault
        Planned work and disturbances.
    grace : float
        Seconds from SIGTERM to SIGKILL.

    Returns
    -------
    list of LostRequest
        Lost requests. Those at nodes without any work or disturbance are included
        only if there are more than ``MAX_KEPT_CLOSES`` of them.
    """
    runs_by_id: dict[str, list[Run]] = {}
    for run in runs:
        runs_by_id.setdefault(run.request_id, []).append(run)
    found = []
    for call in calls:
        if call.end == "closed":
            lost = _judge(call, runs_by_id, faults, grace)
            if lost is not None:
                found.append(lost)
    at_calm_nodes = [it for it in found if it.cause == "none"]
    if len(at_calm_nodes) <= MAX_KEPT_CLOSES:
        found = [it for it in found if it.cause != "none"]
    return found


def _judge(
    call: CallRecord,
    runs_by_id: Mapping[str, Sequence[Run]],
    faults: Sequence[Fault],
    grace: float,
) -> LostRequest | None:
    runs = runs_by_id.get(call.request_id, ())
    if _is_disturbed(call, runs, faults):
        return None
    elapsed = call.ended_at - call.sent_at
    if elapsed >= call.time_limit or any(it.behaviour != "ok" for it in runs):
        return None
    work = _find_work(call, faults, grace)
    if work is None:
        if not runs or not call.n_before:
            return None
        return LostRequest(call, "none", 0.0, True)
    if not runs and elapsed <= CROSSING_TIME:
        return None
    since = call.sent_at - work[0].started_at
    lost = LostRequest(call, work[0].kind, since, bool(runs))
    # A reload during a stop does not change what the stop excuses.
    is_excused = any(_is_cut_at_end(call, runs, it, grace) for it in work)
    return None if is_excused else lost


def _is_cut_at_end(
    call: CallRecord, runs: Sequence[Run], work: Fault, grace: float
) -> bool:
    """Return whether a server needed longer than the grace period for a request."""
    if work.kind != "stop" or call.sent_at > work.started_at + EARLY_TIME:
        return False
    last = work.started_at + grace * (1 - LAST_FRACTION)
    return any(it.ended_at is None or it.ended_at >= last for it in runs)


def _is_disturbed(
    call: CallRecord, runs: Sequence[Run], faults: Sequence[Fault]
) -> bool:
    targets = {"", call.node, *(it.server_id for it in runs)}
    return any(
        it.excuses_requests
        and it.target in targets
        and it.overlaps(call.sent_at - CONTACT_TIME, call.ended_at)
        for it in faults
    )


def _find_work(
    call: CallRecord, faults: Sequence[Fault], grace: float
) -> list[Fault] | None:
    """Return the planned work in whose course a call has ended; stops come first."""
    lengths = {"stop": grace + STOP_MARGIN, "reload": RELOAD_TIME}
    found = [
        it
        for it in faults
        if it.kind in lengths
        and it.target == call.node
        and call.sent_at <= it.started_at + lengths[it.kind]
        and call.ended_at >= it.started_at
    ]
    return sorted(found, key=lambda it: it.kind != "stop") or None
