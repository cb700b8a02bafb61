"""What must hold, from what callers, servers and the platform saw."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable

from ._callers import Call
from ._fleet import Fleet

# These statuses promise that a request did not run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 2  # of the routes whose requests may be repeated
N_EVENTS = 4
AT_MOST_ONCE = frozenset({"book", "once-stream"})
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def count_runs(fleet: Fleet) -> Counter[str]:
    """Count how often each request was run, over all servers."""
    runs: Counter[str] = Counter()
    for backend in fleet.backends.values():
        runs.update(backend.runs)
    return runs


def find_violations(fleet: Fleet, calls: Iterable[Call]) -> list[str]:
    """Check every call and every duty.

    Parameters
    ----------
    fleet : Fleet
        What servers and platform saw.
    calls : iterable of Call
        What callers saw.

    Returns
    -------
    list of str
        One line for each promise that does not hold.
    """
    runs = count_runs(fleet)
    broken = []
    for call in calls:
        fault = _check_call(call, runs[call.request_id])
        if fault:
            broken.append(f"{call.request_id} {call.kind} at {call.node}: {fault}")
    return broken + _check_unsent(runs, calls) + _check_duties(fleet)


def _check_call(call: Call, n_runs: int) -> str:
    reply = call.reply
    if call.kind in AT_MOST_ONCE and n_runs > 1:
        return f"ran {n_runs} times and may run once"
    if n_runs > MAX_ATTEMPTS:
        return f"ran {n_runs} times of {MAX_ATTEMPTS}"
    if reply.status in NOT_EXECUTED_STATUSES and n_runs and call.kind in AT_MOST_ONCE:
        return f"answered {reply.status} and ran"
    if not reply.complete or reply.status != 200:
        return ""
    if reply.headers.get("attempt-id") != call.request_id:
        return f"got the answer of {reply.headers.get('attempt-id')}"
    if call.kind.endswith("stream"):
        ids = [int(number) for number in EVENT_ID.findall(reply.body)]
        expected = list(range(1, N_EVENTS + 1))
        return "" if ids == expected else f"a complete stream with events {ids}"
    if not reply.body.endswith(f"ran {call.request_id}".encode()):
        return f"got another body: {reply.body[:60]!r}"
    return ""


def _check_unsent(runs: Counter[str], calls: Iterable[Call]) -> list[str]:
    unasked = set(runs) - {call.request_id for call in calls}
    return [f"{request_id} ran and nobody sent it" for request_id in sorted(unasked)]


def _check_duties(fleet: Fleet) -> list[str]:
    broken = []
    for window, reports in fleet.platform.usage.items():
        if any(report != reports[0] for report in reports):
            broken.append(f"usage window {window} was reported with two figures")
    highest, holders = 0, {}
    for holder, fence in fleet.platform.duty_calls:
        if fence < highest:
            broken.append(f"{holder} acted with {fence} after {highest}")
        if holders.setdefault(fence, holder) != holder:
            broken.append(f"{holder} and {holders[fence]} acted with {fence}")
        highest = max(highest, fence)
    return broken
