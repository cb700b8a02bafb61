"""Command ``medlargate where``: asks a node where a request would go."""

from __future__ import annotations

import sys
from typing import Any
from urllib.error import HTTPError, URLError
from urllib.parse import urlencode
from urllib.request import urlopen

import click
import orjson

UNKNOWN_EXIT_STATUS = 1  # unknown route or customer
ERROR_EXIT_STATUS = 2  # invalid value, or no answer from the node
TIMEOUT = 5.0  # seconds
COLUMNS = (
    "server",
    "domain",
    "n_running",
    "n_slots",
    "slowness",
    "backlog",
    "n_cached",
    "first_event",
    "pause",
    "excluded",
)


def ask_node(url: str, query: dict[str, str]) -> dict[str, Any]:
    """Ask a node where a request would go; exit with a message if it fails.

    Parameters
    ----------
    url : str
        URL of the node's metrics port.
    query : dict of str to str
        Properties of the request; empty ones are left out.

    Returns
    -------
    dict
        Answer of the node.
    """
    fields = {name: value for name, value in query.items() if value}
    if not url.startswith(("http://", "https://")):
        url = f"http://{url}"
    try:
        target = f"{url.rstrip('/')}/where?{urlencode(fields)}"
        with urlopen(target, timeout=TIMEOUT) as response:
            return orjson.loads(response.read())
    except HTTPError as exc:
        _exit_with_answer(exc, url)
    except (URLError, OSError, ValueError) as exc:
        reason = getattr(exc, "reason", exc)
        click.echo(f"node {url} is not available: {reason}", err=True)
        sys.exit(ERROR_EXIT_STATUS)


def _exit_with_answer(exc: HTTPError, url: str) -> None:
    try:
        error = orjson.loads(exc.read())["error"]
    except (ValueError, KeyError):
        click.echo(f"node {url} has no page /where (status {exc.code})", err=True)
        sys.exit(ERROR_EXIT_STATUS)
    click.echo(error["message"], err=True)
    sys.exit(UNKNOWN_EXIT_STATUS if exc.code == 404 else ERROR_EXIT_STATUS)


def format_answer(answer: dict[str, Any]) -> list[str]:
    """Return the lines of the table of a node's answer."""
    decision, reason = answer["decision"], answer["reason"]
    lines = [
        f"node {answer['node']}, route {answer['route']}, service {answer['service']}, "
        f"configuration {answer['config_version']}",
        f"{decision}: {answer['server']} ({reason})"
        if "server" in answer
        else f"{decision}: {reason}",
    ]
    for name in ("first_event", "wait", "retry_after"):
        if answer.get(name) is not None:
            lines.append(f"{name}: {answer[name]} s")
    for row in answer.get("ahead", ()):
        lines.append(
            f"behind: {row['customer']}, route {row['route']}, priority "
            f"{row['priority']}, waiting for {row['waited']} s"
        )
    spill = answer["spill"]
    if spill["applies"]:
        lines.append(f"spillover: share {spill['share']} ({spill['reason']})")
    rows = [
        COLUMNS,
        *([_format(row, name) for name in COLUMNS] for row in _sort(answer)),
    ]
    widths = [max(len(row[n]) for row in rows) for n in range(len(COLUMNS))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return lines


def _sort(answer: dict[str, Any]) -> list[dict[str, Any]]:
    return sorted(
        answer["candidates"],
        key=lambda row: (
            row["server"] != answer.get("server"),
            row["excluded"] is not None,
            row.get("first_event", float("inf")),
        ),
    )


def _format(row: dict[str, Any], name: str) -> str:
    value = row.get(name)
    return "-" if value is None else str(value)
