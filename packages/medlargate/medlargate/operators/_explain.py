"""Reasons, from the decisions as they were recorded."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ..gateway._node import Node

MAX_BUSIEST = 5


def explain_request(node: Node, request_id: str) -> dict[str, Any] | None:
    """Give a request's path.

    Parameters
    ----------
    node : Node
        This node.
    request_id : str
        As in the header ``Medlargate-Request``.

    Returns
    -------
    dict or None
        None when this node does not keep it.
    """
    trace = node.decisions.find(request_id)
    return None if trace is None else {"node": node.name, **trace.snapshot()}


def explain_group(node: Node, field: str, name: str) -> dict[str, Any]:
    """Say where the time of a customer's or class's requests went.

    Parameters
    ----------
    node : Node
        This node.
    field : str
        ``"customer"`` or ``"request_class"``.
    name : str
        Which.

    Returns
    -------
    dict
        Counts of outcomes, mean times, and who used the capacity meanwhile.
    """
    traces = [t for t in node.decisions.snapshot() if t.outcome]
    chosen = [t for t in traces if getattr(t, field) == name]
    waits = [t.queue_wait for t in chosen if t.queue_wait is not None]
    firsts = [t.first_token for t in chosen if t.first_token is not None]
    tokens = Counter()
    for trace in traces:
        tokens[trace.customer] += trace.n_tokens
    total = max(1, sum(tokens.values()))
    return {
        "node": node.name,
        "requests": len(chosen),
        "met": sum(t.met for t in chosen),
        "outcomes": dict(Counter(t.outcome for t in chosen)),
        "mean_queue_wait": round(sum(waits) / len(waits), 4) if waits else None,
        "mean_first_token": round(sum(firsts) / len(firsts), 4) if firsts else None,
        "busiest_customers": {
            customer: round(n / total, 3)
            for customer, n in tokens.most_common(MAX_BUSIEST)
        },
    }


def explain_backend(node: Node, name: str) -> dict[str, Any]:
    """Say why a backend server gets work or gets none.

    Parameters
    ----------
    node : Node
        This node.
    name : str
        Which.

    Returns
    -------
    dict
        Its view on this node, and the reasons against it.
    """
    view = node.dispatcher.views.get(name)
    if view is None:
        return {"node": node.name, "reasons": ["it is not in the configuration"]}
    now = node.dispatcher.clock()
    reasons = []
    if view.state in ("leaving", "gone"):
        reasons.append("it is leaving or drained")
    if view.state == "ejected":
        reasons.append("it is slower than its peers and only probed")
    if now < view.down_until:
        left = view.down_until - now
        reasons.append(f"its last connection failed; tried again in {left:.1f} s")
    if view.count_free_slots(now) <= 0 and not reasons:
        reasons.append("this node's share of its slots is in use")
    return {"node": node.name, **view.snapshot(), "reasons": reasons or ["none"]}
