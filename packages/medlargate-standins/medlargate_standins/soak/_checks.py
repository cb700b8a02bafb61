"""Invariants of a soak, checked on what callers, servers and platform recorded."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable

from ._callers import Call
from ._fleet import Fleet

# Responses with these statuses guarantee that the request has not been executed and
# will not be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 2  # executions of a request on a route that allows retries
N_EVENTS = 4  # events of a complete stream
AT_MOST_ONCE = frozenset({"book", "once-stream"})
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def count_runs(fleet: Fleet) -> Counter[str]:
    """Count the executions of each request over all servers."""
    runs: Counter[str] = Counter()
    for backend in fleet.backends.values():
        runs.update(backend.runs)
    return runs


def find_violations(fleet: Fleet, calls: Iterable[Call]) -> list[str]:
    """Check the invariants of every call and every duty.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose servers and platform recorded requests and duty calls.
    calls : iterable of Call
        Calls that the callers recorded.

    Returns
    -------
    list of str
        Description of each violation.
    """
    runs = count_runs(fleet)
    violations = []
    for call in calls:
        violation = _check_call(call, runs[call.request_id])
        if violation:
            violations.append(
                f"{call.request_id} {call.kind} at {call.node}: {violation}"
            )
    return violations + _check_unsent(runs, calls) + _check_duties(fleet)


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
        expected = list(range(call.n_held + 1, N_EVENTS + 1))
        return "" if ids == expected else f"a complete stream with events {ids}"
    if not reply.body.endswith(f"ran {call.request_id}".encode()):
        return f"got another body: {reply.body[:60]!r}"
    return ""


def _check_unsent(runs: Counter[str], calls: Iterable[Call]) -> list[str]:
    unsent = set(runs) - {call.request_id for call in calls}
    return [f"{request_id} ran and nobody sent it" for request_id in sorted(unsent)]


def _check_duties(fleet: Fleet) -> list[str]:
    violations = []
    for window, reports in fleet.platform.usage.items():
        if any(report != reports[0] for report in reports):
            violations.append(f"usage window {window} was reported with two figures")
    highest, holders = 0, {}
    for holder, fence in fleet.platform.duty_calls:
        if fence < highest:
            violations.append(f"{holder} acted with {fence} after {highest}")
        if holders.setdefault(fence, holder) != holder:
            violations.append(f"{holder} and {holders[fence]} acted with {fence}")
        highest = max(highest, fence)
    return violations
