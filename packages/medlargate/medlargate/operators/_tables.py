"""Tables that queries list, from one node and merged over the fleet."""

from __future__ import annotations

import operator
import time
from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..fleet import Config
from ._statements import Condition, Show, StatementError

if TYPE_CHECKING:
    from ..gateway._node import Node

Row = dict[str, Any]

MERGED_TABLES = frozenset({"classes", "tiers", "customers", "pools", "backends"})
NODE_TABLES = frozenset({"events", "quarantine"})
OPERATORS: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
MAX_EVENTS = 500


def _entity_rows(cfg: Config, kind: str) -> list[Row]:
    rows = []
    for name, entity in cfg.entities[kind].items():
        row = {"name": name, **entity.model_dump(mode="json")}
        # A key's hash is of no use to an operator and of some to an attacker.
        row.pop("digest", None)
        rows.append(row)
    return rows


def _count_requests(node: Node, key: str) -> dict[str, Row]:
    """Count the kept requests by customer or class."""
    counts: dict[str, Row] = defaultdict(
        lambda: {"requests": 0, "met": 0, "refused": 0, "failed": 0, "tokens": 0}
    )
    for trace in node.decisions.snapshot():
        if not trace.outcome:
            continue
        row = counts[getattr(trace, key)]
        row["requests"] += 1
        row["met"] += trace.met
        row["tokens"] += trace.n_tokens
        row["refused"] += trace.outcome != "ok" and trace.verdict == "not_run"
        row["failed"] += trace.outcome != "ok" and trace.verdict != "not_run"
    return counts


def _joined(entities: list[Row], counts: dict[str, Row]) -> list[Row]:
    zero = {"requests": 0, "met": 0, "refused": 0, "failed": 0, "tokens": 0}
    return [{**row, **counts.get(row["name"], zero)} for row in entities]


def _customers(node: Node) -> list[Row]:
    rows = _entity_rows(node.replica.config, "customer")
    return _joined(rows, _count_requests(node, "customer"))


def _classes(node: Node) -> list[Row]:
    rows = _entity_rows(node.replica.config, "class")
    return _joined(rows, _count_requests(node, "request_class"))


def _tiers(node: Node) -> list[Row]:
    tiers: dict[int, Row] = {}
    for row in _classes(node):
        tier = tiers.setdefault(row["tier"], {"name": str(row["tier"])})
        for field in ("requests", "met", "refused", "failed", "tokens"):
            tier[field] = tier.get(field, 0) + row[field]
    return [tiers[tier] for tier in sorted(tiers)]


def _backends(node: Node) -> list[Row]:
    rows = []
    for row in _entity_rows(node.replica.config, "backend"):
        view = node.dispatcher.views.get(row["name"])
        measured = view.snapshot() if view else {}
        fields = ("state", "in_flight", "limit", "first_token", "token_interval")
        rows.append({**row, **{field: measured.get(field) for field in fields}})
    return rows


def _pools(node: Node) -> list[Row]:
    return [
        {
            "name": pool["pool"],
            "running": pool["running"],
            "waiting": sum(pool["waiting"].values()),
        }
        for pool in node.dispatcher.snapshot()
    ]


def _nodes(node: Node) -> list[Row]:
    rows = node.fleet.membership.snapshot(node.clock())
    rows[0]["serving"] = node.ready
    return rows


def _domains(node: Node) -> list[Row]:
    domains: dict[str, Row] = {}
    for row in _nodes(node):
        name = row["failure_domain"]
        found = domains.setdefault(name, {"name": name, "nodes": 0, "alive": 0})
        found["nodes"] += 1
        found["alive"] += row["state"] == "alive"
    for backend in node.replica.config.backends.values():
        name = backend.failure_domain
        found = domains.setdefault(name, {"name": name, "nodes": 0, "alive": 0})
        found["backends"] = found.get("backends", 0) + 1
        found["draining"] = found.get("draining", 0) + backend.draining
    return [{"backends": 0, "draining": 0, **domains[n]} for n in sorted(domains)]


def _leases(node: Node) -> list[Row]:
    return [
        {
            "name": lease.duty,
            "state": lease.states.state,
            "fence": lease.fence,
            "held": lease.is_holder(),
        }
        for lease in (node.duties.orders_lease, node.duties.usage_lease)
    ]


def _windows(node: Node) -> list[Row]:
    return [
        {
            "name": str(window),
            "customers": len(part.rows),
            "sequence": part.sequence,
            "tokens": sum(row.output_tokens for row in part.rows.values()),
        }
        for window, part in sorted(node.usage.parts.items())
    ]


def _events(node: Node) -> list[Row]:
    return [
        {
            "name": event.subject,
            "kind": event.kind,
            "reason": event.reason,
            "at": round(event.at, 3),
        }
        for event in list(node.decisions.events)[-MAX_EVENTS:]
    ]


def _quarantine(node: Node) -> list[Row]:
    now = time.monotonic()
    return [
        {
            "name": entry["fingerprint"],
            "state": entry["state"],
            "backends": entry["backends"],
            "age": round(now - float(str(entry["at"])), 1),
        }
        for entry in node.crashes.snapshot()
    ]


TABLES: dict[str, Callable[[Node], list[Row]]] = {
    "customers": _customers,
    "keys": lambda node: _entity_rows(node.replica.config, "key"),
    "classes": _classes,
    "tiers": _tiers,
    "routes": lambda node: _entity_rows(node.replica.config, "route"),
    "backends": _backends,
    "nodes": _nodes,
    "domains": _domains,
    "leases": _leases,
    "windows": _windows,
    "quarantine": _quarantine,
    "pools": _pools,
    "events": _events,
}

SUMMED = frozenset(
    {
        "requests",
        "met",
        "refused",
        "failed",
        "tokens",
        "running",
        "waiting",
        "in_flight",
    }
)


def make_rows(node: Node, table: str) -> list[Row]:
    """List a table as this node knows it.

    Parameters
    ----------
    node : Node
        This node.
    table : str
        Its name.

    Returns
    -------
    list of dict
        One for each row.
    """
    return TABLES[table](node)


def merge_rows(table: str, parts: dict[str, list[Row]]) -> list[Row]:
    """Merge the rows of several nodes.

    Parameters
    ----------
    table : str
        The table's name.
    parts : dict of str to list of dict
        Rows by node; the asked node's come first.

    Returns
    -------
    list of dict
        Counts added up by name; what each node has of its own is listed with the
        node's name.
    """
    if table in MERGED_TABLES:
        return [_with_attainment(row) for row in _sum_rows(parts).values()]
    if table in NODE_TABLES or table in ("leases", "windows"):
        return [{"node": n, **row} for n, rows in parts.items() for row in rows]
    return next(iter(parts.values()), [])


def _sum_rows(parts: dict[str, list[Row]]) -> dict[str, Row]:
    merged: dict[str, Row] = {}
    for rows in parts.values():
        for row in rows:
            known = merged.get(row["name"])
            if known is None:
                merged[row["name"]] = dict(row)
                continue
            for field in SUMMED & row.keys():
                known[field] = (known.get(field) or 0) + (row[field] or 0)
    return merged


def _with_attainment(row: Row) -> Row:
    if "met" in row:
        requests = row["requests"]
        row["attainment"] = round(row["met"] / requests, 4) if requests else None
    return row


def select_rows(show: Show, rows: list[Row]) -> list[Row]:
    """Apply where, order by and limit.

    Parameters
    ----------
    show : Show
        The query.
    rows : list of dict
        All rows.

    Returns
    -------
    list of dict
        The chosen ones.

    Raises
    ------
    StatementError
        A field does not exist.
    """
    fields = {field for row in rows for field in row}
    used = [c.field for c in show.where] + ([show.order_by] if show.order_by else [])
    for field in used:
        if rows and field not in fields:
            known = ", ".join(sorted(fields))
            message = f"{show.table} have no field {field!r}, only {known}"
            raise StatementError(message)
    chosen = [row for row in rows if all(_holds(c, row) for c in show.where)]
    if show.order_by:
        chosen.sort(
            key=lambda row: _sort_key(row.get(show.order_by)), reverse=show.descending
        )
    return chosen[: show.limit]


def _sort_key(value: Any) -> tuple[int, Any]:
    if isinstance(value, bool | int | float):
        return (1, float(value))
    return (0, "") if value is None else (2, str(value))


def _holds(condition: Condition, row: Row) -> bool:
    value = row.get(condition.field)
    if value is None:
        return False
    if condition.operator == "~":
        return str(condition.value) in str(value)
    wanted = condition.value
    if isinstance(value, int | float) and not isinstance(wanted, int | float):
        return False
    if isinstance(value, str):
        wanted = str(wanted)
    if isinstance(value, list):
        return (wanted in value) == (condition.operator == "=")
    return OPERATORS[condition.operator](value, wanted)
