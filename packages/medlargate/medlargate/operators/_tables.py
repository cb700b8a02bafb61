"""Tables for ``show`` queries: rows of one node, and rows merged over all nodes."""

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
# Tables of what a node has recorded. ``merge_rows`` lists their rows by node, as it
# does for the tables of a node's own state, ``leases`` and ``windows``.
NODE_RECORD_TABLES = frozenset({"events", "quarantine"})
OPERATORS: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
MAX_EVENTS = 500  # rows of the table ``events`` per node


def _list_entities(config: Config, kind: str) -> list[Row]:
    rows = []
    for name, entity in config.entities[kind].items():
        row = {"name": name, **entity.model_dump(mode="json")}
        # Operators do not need the hash of a key, and an attacker could use it.
        row.pop("digest", None)
        rows.append(row)
    return rows


def _count_requests(node: Node, key: str) -> dict[str, Row]:
    """Count the recorded requests by customer or class."""
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


def _join_counts(entities: list[Row], counts: dict[str, Row]) -> list[Row]:
    no_requests = {"requests": 0, "met": 0, "refused": 0, "failed": 0, "tokens": 0}
    return [{**row, **counts.get(row["name"], no_requests)} for row in entities]


def _list_customers(node: Node) -> list[Row]:
    rows = _list_entities(node.replica.config, "customer")
    return _join_counts(rows, _count_requests(node, "customer"))


def _list_classes(node: Node) -> list[Row]:
    rows = _list_entities(node.replica.config, "class")
    return _join_counts(rows, _count_requests(node, "request_class"))


def _list_tiers(node: Node) -> list[Row]:
    tiers: dict[int, Row] = {}
    for row in _list_classes(node):
        tier = tiers.setdefault(row["tier"], {"name": str(row["tier"])})
        for field in ("requests", "met", "refused", "failed", "tokens"):
            tier[field] = tier.get(field, 0) + row[field]
    return [tiers[tier] for tier in sorted(tiers)]


def _list_backends(node: Node) -> list[Row]:
    rows = []
    for row in _list_entities(node.replica.config, "backend"):
        view = node.dispatcher.views.get(row["name"])
        measured = view.snapshot() if view else {}
        fields = ("state", "in_flight", "limit", "first_token", "token_interval")
        rows.append({**row, **{field: measured.get(field) for field in fields}})
    return rows


def _list_pools(node: Node) -> list[Row]:
    return [
        {
            "name": pool["pool"],
            "running": pool["running"],
            "waiting": sum(pool["waiting"].values()),
        }
        for pool in node.dispatcher.snapshot()
    ]


def _list_nodes(node: Node) -> list[Row]:
    rows = node.fleet.membership.snapshot(node.clock())
    rows[0]["serving"] = node.ready
    return rows


def _list_domains(node: Node) -> list[Row]:
    domains: dict[str, Row] = {}
    for row in _list_nodes(node):
        name = row["failure_domain"]
        domain = domains.setdefault(name, {"name": name, "nodes": 0, "alive": 0})
        domain["nodes"] += 1
        domain["alive"] += row["state"] == "alive"
    for backend in node.replica.config.backends.values():
        name = backend.failure_domain
        domain = domains.setdefault(name, {"name": name, "nodes": 0, "alive": 0})
        domain["backends"] = domain.get("backends", 0) + 1
        domain["draining"] = domain.get("draining", 0) + backend.draining
    return [{"backends": 0, "draining": 0, **domains[n]} for n in sorted(domains)]


def _list_leases(node: Node) -> list[Row]:
    return [
        {
            "name": lease.duty,
            "state": lease.states.state,
            "fence": lease.fence,
            "held": lease.is_holder(),
        }
        for lease in (node.duties.orders_lease, node.duties.usage_lease)
    ]


def _list_windows(node: Node) -> list[Row]:
    return [
        {
            "name": str(window),
            "customers": len(part.rows),
            "sequence": part.sequence,
            "tokens": sum(row.output_tokens for row in part.rows.values()),
        }
        for window, part in sorted(node.usage.parts.items())
    ]


def _list_events(node: Node) -> list[Row]:
    return [
        {
            "name": event.subject,
            "kind": event.kind,
            "reason": event.reason,
            "at": round(event.at, 3),
        }
        for event in list(node.decisions.events)[-MAX_EVENTS:]
    ]


def _list_quarantine(node: Node) -> list[Row]:
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
    "customers": _list_customers,
    "keys": lambda node: _list_entities(node.replica.config, "key"),
    "classes": _list_classes,
    "tiers": _list_tiers,
    "routes": lambda node: _list_entities(node.replica.config, "route"),
    "backends": _list_backends,
    "nodes": _list_nodes,
    "domains": _list_domains,
    "leases": _list_leases,
    "windows": _list_windows,
    "quarantine": _list_quarantine,
    "pools": _list_pools,
    "events": _list_events,
}

SUMMED_FIELDS = frozenset(
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
    """Return the rows of a table from the state of one node.

    Parameters
    ----------
    node : Node
        The node to query.
    table : str
        Name of the table.

    Returns
    -------
    list of dict
        Rows, as field names and values.
    """
    return TABLES[table](node)


def merge_rows(table: str, parts: dict[str, list[Row]]) -> list[Row]:
    """Merge the rows that several nodes returned for a table.

    Parameters
    ----------
    table : str
        Name of the table.
    parts : dict of str to list of dict
        Rows by node; the rows of the node that executes the query come first.

    Returns
    -------
    list of dict
        For tables in ``MERGED_TABLES``, rows with the fields ``SUMMED_FIELDS`` summed
        over the nodes; other fields are those of the first node that returned the row,
        and ``attainment`` is computed from the sums. For tables in
        ``NODE_RECORD_TABLES`` and for ``leases`` and ``windows``, the rows of all nodes
        with the field ``node``. For other tables, the rows of the first node.
    """
    if table in MERGED_TABLES:
        return [_add_attainment(row) for row in _sum_rows(parts).values()]
    if table in NODE_RECORD_TABLES or table in ("leases", "windows"):
        return [{"node": n, **row} for n, rows in parts.items() for row in rows]
    return next(iter(parts.values()), [])


def _sum_rows(parts: dict[str, list[Row]]) -> dict[str, Row]:
    merged: dict[str, Row] = {}
    for rows in parts.values():
        for row in rows:
            total = merged.get(row["name"])
            if total is None:
                merged[row["name"]] = dict(row)
                continue
            for field in SUMMED_FIELDS & row.keys():
                total[field] = (total.get(field) or 0) + (row[field] or 0)
    return merged


def _add_attainment(row: Row) -> Row:
    if "met" in row:
        requests = row["requests"]
        row["attainment"] = round(row["met"] / requests, 4) if requests else None
    return row


def select_rows(show: Show, rows: list[Row]) -> list[Row]:
    """Apply the ``where``, ``order by`` and ``limit`` clauses of a query.

    Parameters
    ----------
    show : Show
        Parsed query.
    rows : list of dict
        All rows of the table.

    Returns
    -------
    list of dict
        Selected rows, in the requested order.

    Raises
    ------
    StatementError
        If the query names a field that no row has.
    """
    fields = {field for row in rows for field in row}
    used = [c.field for c in show.where] + ([show.order_by] if show.order_by else [])
    for field in used:
        if rows and field not in fields:
            known = ", ".join(sorted(fields))
            message = (
                f"table {show.table} has no field {field!r}; its fields are: {known}"
            )
            raise StatementError(message)
    selected = [row for row in rows if all(_matches(c, row) for c in show.where)]
    if show.order_by:
        selected.sort(
            key=lambda row: _sort_key(row.get(show.order_by)), reverse=show.descending
        )
    return selected[: show.limit]


def _sort_key(value: Any) -> tuple[int, Any]:
    if isinstance(value, bool | int | float):
        return (1, float(value))
    return (0, "") if value is None else (2, str(value))


def _matches(condition: Condition, row: Row) -> bool:
    value = row.get(condition.field)
    if value is None:
        return False
    if condition.operator == "~":
        return str(condition.value) in str(value)
    expected = condition.value
    if isinstance(value, int | float) and not isinstance(expected, int | float):
        return False
    if isinstance(value, str):
        expected = str(expected)
    if isinstance(value, list):
        return (expected in value) == (condition.operator == "=")
    return OPERATORS[condition.operator](value, expected)
