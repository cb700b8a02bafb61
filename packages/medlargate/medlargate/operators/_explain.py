"""Answers of ``explain`` statements, from the decisions recorded on a node."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ..gateway._node import Node

N_BUSIEST_CUSTOMERS = 5


def explain_request(node: Node, request_id: str) -> dict[str, Any] | None:
    """Return the recorded decisions of a request.

    Parameters
    ----------
    node : Node
        The node to query.
    request_id : str
        Value of the response header ``Medlargate-Request``.

    Returns
    -------
    dict or None
        Trace of the request and the name of the node; None when the node has no record
        of the request.
    """
    trace = node.decisions.find(request_id)
    return None if trace is None else {"node": node.name, **trace.snapshot()}


def explain_group(node: Node, field: str, name: str) -> dict[str, Any]:
    """Summarize the outcomes and latencies of a customer's or a class's requests.

    Parameters
    ----------
    node : Node
        The node to query.
    field : str
        Attribute of the traces to filter by, ``"customer"`` or ``"request_class"``.
    name : str
        Name of the customer or class.

    Returns
    -------
    dict
        Counts of outcomes, mean times in seconds, and the customers with the largest
        share of all output tokens.
    """
    traces = [t for t in node.decisions.snapshot() if t.outcome]
    chosen = [t for t in traces if getattr(t, field) == name]
    waits = [t.queue_wait for t in chosen if t.queue_wait is not None]
    first_tokens = [t.first_token for t in chosen if t.first_token is not None]
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
        "mean_first_token": round(sum(first_tokens) / len(first_tokens), 4)
        if first_tokens
        else None,
        "busiest_customers": {
            customer: round(n / total, 3)
            for customer, n in tokens.most_common(N_BUSIEST_CUSTOMERS)
        },
    }


def explain_backend(node: Node, name: str) -> dict[str, Any]:
    """Return the state of a backend server and why it receives no requests.

    Parameters
    ----------
    node : Node
        The node to query.
    name : str
        Name of the backend server.

    Returns
    -------
    dict
        State of the server as this node sees it, and the reasons that keep requests
        away from it; ``["none"]`` when there are none.
    """
    view = node.dispatcher.views.get(name)
    if view is None:
        return {"node": node.name, "reasons": ["it is not in the configuration"]}
    now = node.dispatcher.clock()
    reasons = []
    if view.state in ("leaving", "gone"):
        reasons.append("it is draining or has left the fleet")
    if view.state == "ejected":
        reasons.append("it is slower than its peers and receives only probe requests")
    if now < view.down_until:
        left = view.down_until - now
        reasons.append(
            f"a connection to it failed or it crashed; no requests for {left:.1f} s"
        )
    if view.count_free_slots(now) <= 0 and not reasons:
        reasons.append("it has no free slot for this node")
    return {"node": node.name, **view.snapshot(), "reasons": reasons or ["none"]}
