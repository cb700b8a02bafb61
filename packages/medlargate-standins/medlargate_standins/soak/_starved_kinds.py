"""Kinds of requests that get nothing while less urgent ones begin."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..backend import Run
from ._lost_requests import Fault
from ._scenario import RequestKind, Scenario
from ._traffic import CallRecord

WINDOW = 5.0  # seconds
WINDOW_STEP = 1.0  # seconds between the starts of two windows
MIN_STARVED = 10  # requests of a kind in a window
MAX_STARVED_SHARE = 1 / 12  # of the requests of a kind in a window
MIN_SIZE_RATIO = 2.0  # of a less urgent request to the starved one


def find_starved_kinds(
    calls: Sequence[CallRecord],
    runs: Iterable[Run],
    faults: Sequence[Fault],
    scenario: Scenario,
) -> list[str]:
    """Find windows in which a kind gets nothing while larger, less urgent ones begin.

    Parameters
    ----------
    calls : sequence of CallRecord
        Calls of all callers.
    runs : iterable of Run
        Executions on all servers.
    faults : sequence of Fault
        Planned work and disturbances. Only windows without a disturbance count.
    scenario : Scenario
        Kinds of requests with their priorities and sizes.

    Returns
    -------
    list of str
        Description of each kind in each window.
    """
    began_at = {it.request_id: it.began_at for it in runs}
    # Callers that leave or reach no node are no fault of the nodes.
    counted = [it for it in calls if it.end not in ("left", "unsent")]
    if not counted:
        return []
    started_at = min(it.sent_at for it in counted)
    n_windows = int((max(it.sent_at for it in counted) - started_at) / WINDOW_STEP) + 1
    found = []
    for number in range(n_windows):
        start = started_at + number * WINDOW_STEP
        if _is_disturbed(start, faults):
            continue
        for kind in scenario.kinds:
            text = _judge_window(kind, start, counted, began_at, scenario)
            if text:
                found.append(f"{text} from {start - started_at:.0f} s")
    return found


def _is_disturbed(start: float, faults: Sequence[Fault]) -> bool:
    return any(
        it.excuses_requests and it.overlaps(start, start + WINDOW) for it in faults
    )


def _judge_window(
    kind: RequestKind,
    start: float,
    calls: Iterable[CallRecord],
    began_at: dict[str, float],
    scenario: Scenario,
) -> str:
    rivals = {it.name for it in scenario.kinds if _is_rival(it, kind)}
    n_calls = n_starved = n_begun = 0
    for call in calls:
        if call.kind == kind.name and start <= call.sent_at < start + WINDOW:
            n_calls += 1
            n_starved += call.status != 200 and call.request_id not in began_at
        elif call.kind in rivals:
            begin = began_at.get(call.request_id)
            n_begun += begin is not None and start <= begin < start + WINDOW
    if n_starved < MIN_STARVED or n_starved <= MAX_STARVED_SHARE * n_calls:
        return ""
    if not n_begun:
        return ""
    return (
        f"{kind.name}: {n_starved} of {n_calls} got nothing while {n_begun} larger, "
        "less urgent requests began"
    )


def _is_rival(other: RequestKind, kind: RequestKind) -> bool:
    is_less_urgent = other.route["Priority"] > kind.route["Priority"]
    is_larger = sum(other.n_tokens) > MIN_SIZE_RATIO * sum(kind.n_tokens)
    return other.service == kind.service and is_less_urgent and is_larger
