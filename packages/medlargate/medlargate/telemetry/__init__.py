"""Logs, metrics and the record of decisions."""

from ._decisions import DecisionLog, Event, RequestTrace, Step
from ._explain_logs import decode_line, explain_request, find_cause
from ._logs import configure_logging
from ._metrics import LabelBound, Metrics
from ._writer import LineWriter, write_logs_to

__all__ = [
    "DecisionLog",
    "Event",
    "LabelBound",
    "LineWriter",
    "Metrics",
    "RequestTrace",
    "Step",
    "configure_logging",
    "decode_line",
    "explain_request",
    "find_cause",
    "write_logs_to",
]
