"""State charts of requests, nodes, leases, orders, windows and claims."""

from ._chart import Chart, StateMachine, TransitionError, load_chart, make_mermaid

__all__ = ["Chart", "StateMachine", "TransitionError", "load_chart", "make_mermaid"]
