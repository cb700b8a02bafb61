"""Reconstructs the path and the outcome of one request from collected log lines."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import orjson

MAX_LINES = 200  # per request; a request retried on four servers writes about 20
_CAUSE_BY_OUTCOME = {
    "ok": "answered by a backend server",
    "backend": "the backend server answered with an error, which was passed on as is",
    "caller_gone": "the caller closed its connection before the answer was complete",
    "no_route": "no route in the active configuration matches the host and path",
    "unknown_key": "the key is not in the active configuration",
    "no_configuration": "the node had not received a configuration yet",
    "unsure": "unknown route or key, and the store did not confirm the configuration",
    "no_service": "the route names a service that is not configured",
    "crashes_servers": "such requests crashed several servers and are not run",
    "failed:crashes_servers": "such requests crashed several servers; not repeated",
    "unknown_origin": "no node knew which software version began the stream",
    "cut_off": "neither this node nor the others it tried reached a backend server",
    "no_server": "no backend server of the service was known",
    "too_late": "no engine could produce the first token before the deadline",
    "timeout_not_run": "the request timed out while it was queued on the node",
    "timeout": "the request timed out after it was sent to a backend server",
    "not_run:connect": "no backend server could be reached",
    "not_run:refused": "the backend servers rejected the request without running it",
    "not_run:misdirected": "a different server now has the address and did not run it",
}
_CAUSE_BY_PREFIX = {
    "failed:": "the last server may have run it, and its answer was incomplete",
    "broken_off:": "the stream broke off after some events had been delivered",
}


def decode_line(line: str) -> dict[str, Any] | None:
    """Decode one log line, with or without a prefix added by a log collector.

    Parameters
    ----------
    line : str
        Text that ends with one JSON object.

    Returns
    -------
    dict or None
        The decoded object; None when the line holds none.

    Examples
    --------
    >>> decode_line('  12.5 node-1 {"message":"end"}')
    {'message': 'end'}
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        row = orjson.loads(line[start:])
    except orjson.JSONDecodeError:
        return None
    return row if isinstance(row, dict) else None


def explain_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Describe the path of a request and the cause of its outcome.

    Parameters
    ----------
    lines : iterable of str
        Log lines of one or more nodes, in any order.
    request_id : str
        Id of the attempt, as sent by the caller.

    Returns
    -------
    list of str
        One line per step, sorted by time, followed by the cause, and by a line if the
        node that forwarded the request denies what another node reports; empty when no
        log line belongs to the request.
    """
    rows = []
    for line in lines:
        if request_id not in line:
            continue
        row = decode_line(line)
        if row is not None and row.get("request") == request_id:
            rows.append(row)
    rows.sort(key=lambda row: row.get("time", 0.0))
    report = [_format_row(row) for row in rows[:MAX_LINES]]
    ends = [row for row in rows if row.get("message") == "end"]
    if ends:
        report.append(f"cause: {describe_outcome(str(ends[-1].get('outcome', '')))}")
        report += _find_contradictions(rows)
    elif rows:
        report.append(
            "cause: no end logged; the node stopped, or the log line was dropped"
        )
    return report


def _find_contradictions(rows: list[dict[str, Any]]) -> list[str]:
    """Return a line for each end by which a forwarding node denies another's report."""
    ends = [row for row in rows if row.get("message") == "end"]
    forwarders = {row.get("node") for row in rows if row.get("message") == "forward"}
    started = [row for row in ends if row.get("verdict") in ("may_have_run", "ran")]
    return [
        f"contradiction: {row.get('node', '?')} says not_run,"
        f" {other.get('node', '?')} says {other['verdict']}"
        for row in ends
        if row.get("node") in forwarders and row.get("verdict") == "not_run"
        for other in started[-1:]
    ]


def describe_outcome(outcome: str) -> str:
    """Return an explanation of an outcome.

    Parameters
    ----------
    outcome : str
        Field ``outcome`` of the log line ``end``.

    Returns
    -------
    str
        One clause without a full stop; an outcome that is not listed is returned as is.
    """
    if outcome in _CAUSE_BY_OUTCOME:
        return _CAUSE_BY_OUTCOME[outcome]
    for prefix, cause in _CAUSE_BY_PREFIX.items():
        if outcome.startswith(prefix):
            return f"{cause} ({outcome.removeprefix(prefix)})"
    return outcome or "unknown"


def _format_row(row: dict[str, Any]) -> str:
    hidden = {"time", "node", "message", "request"}
    facts = " ".join(
        f"{name}={value}"
        for name, value in row.items()
        if name not in hidden and value is not None
    )
    return f"{row.get('time', 0):.3f} {row.get('node', '?')} {row['message']} {facts}"
