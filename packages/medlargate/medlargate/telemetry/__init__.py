"""Logs, metrics and the record of decisions."""

from ._decisions import DecisionLog, Event, RequestTrace, Step
from ._logs import configure_logging
from ._metrics import LabelBound, Metrics

__all__ = [
    "DecisionLog",
    "Event",
    "LabelBound",
    "Metrics",
    "RequestTrace",
    "Step",
    "configure_logging",
]
