"""From collected log lines to one request's path and the cause of its end."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import orjson

MAX_LINES = 200  # of one request; one that is retried at four servers writes about 20
_CAUSES = {
    "ok": "answered by a backend server",
    "backend": "the backend server answered with a failure of its own, delivered as is",
    "caller_gone": "the caller closed its connection first",
    "no_route": "no route of the configuration in force matches host and path",
    "unknown_key": "the key is in no configuration in force",
    "no_configuration": "the node knew no configuration yet",
    "unsure": "route or key unknown, and the store did not confirm the configuration",
    "no_service": "the route names a service that is not configured",
    "crashes_servers": "the same request crashed several servers; it is not run again",
    "no_server": "no backend server of the service was known",
    "too_late": "no engine could begin before the answer would be of no use",
    "timeout_not_run": "the time ran out while the request waited at the node",
    "timeout": "the time ran out after the request was sent to a backend server",
    "not_run:connect": "no backend server could be reached",
    "not_run:refused": "the backend servers refused it as not run",
    "not_run:misdirected": "another server has the address now; it did not run it",
}
_PREFIXES = {
    "failed:": "the last server may have run it and its answer did not come whole",
    "broken_off:": "the stream broke off after events had been delivered",
}


def decode_line(line: str) -> dict[str, Any] | None:
    """Decode one log line, with or without a collector's prefix.

    Parameters
    ----------
    line : str
        Text with one JSON object at its end.

    Returns
    -------
    dict or None
        None when there is none.

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
    """Tell a request's path and why it ended as it did.

    Parameters
    ----------
    lines : iterable of str
        Log lines of one or more nodes, in any order.
    request_id : str
        The caller's id of the attempt.

    Returns
    -------
    list of str
        One line a step, in the order of their times, and the cause; empty when no
        line names the request.
    """
    rows = []
    for line in lines:
        if request_id not in line:
            continue
        row = decode_line(line)
        if row is not None and row.get("request") == request_id:
            rows.append(row)
    rows.sort(key=lambda row: row.get("time", 0.0))
    told = [_tell(row) for row in rows[:MAX_LINES]]
    ends = [row for row in rows if row.get("message") == "end"]
    if ends:
        told.append(f"cause: {find_cause(str(ends[-1].get('outcome', '')))}")
    elif rows:
        told.append(
            "cause: no end is logged; the node stopped, or the line was left out"
        )
    return told


def find_cause(outcome: str) -> str:
    """Return what an outcome means.

    Parameters
    ----------
    outcome : str
        As in the line ``end``.

    Returns
    -------
    str
        One sentence.
    """
    if outcome in _CAUSES:
        return _CAUSES[outcome]
    for prefix, cause in _PREFIXES.items():
        if outcome.startswith(prefix):
            return f"{cause} ({outcome.removeprefix(prefix)})"
    return outcome or "unknown"


def _tell(row: dict[str, Any]) -> str:
    hidden = {"time", "node", "message", "request"}
    facts = " ".join(
        f"{name}={value}"
        for name, value in row.items()
        if name not in hidden and value is not None
    )
    return f"{row.get('time', 0):.3f} {row.get('node', '?')} {row['message']} {facts}"
