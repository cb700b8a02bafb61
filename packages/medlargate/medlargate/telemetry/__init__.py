"""Logs, metrics and the record of decisions.

Modules that serving does not need at once are imported when one of their names is asked
for, as in ``fleet``.
"""

from typing import TYPE_CHECKING

from .._lazy import make_lazy_getattr
from ._late_metrics import LateMetrics
from ._writer import LineWriter, write_logs_to

if TYPE_CHECKING:
    from ._decisions import DecisionLog, Event, RequestTrace, Step
    from ._explain_logs import decode_line, explain_request, find_cause
    from ._logs import configure_logging
    from ._metrics import LabelBound, Metrics

_LAZY = {
    "DecisionLog": "._decisions",
    "Event": "._decisions",
    "RequestTrace": "._decisions",
    "Step": "._decisions",
    "decode_line": "._explain_logs",
    "explain_request": "._explain_logs",
    "find_cause": "._explain_logs",
    "configure_logging": "._logs",
    "LabelBound": "._metrics",
    "Metrics": "._metrics",
}

__all__ = [
    "DecisionLog",
    "Event",
    "LabelBound",
    "LateMetrics",
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

__getattr__ = make_lazy_getattr(__name__, _LAZY)
