"""Structured logs, metrics and the per-request decision log.

Modules that are not needed to start serving are imported lazily, on the first access
to one of their names, as in ``fleet``.
"""

from typing import TYPE_CHECKING

from .._lazy import make_lazy_getattr
from ._deferred_metrics import DeferredMetrics
from ._writer import LineWriter, write_logs_to

if TYPE_CHECKING:
    from ._decisions import DecisionLog, Event, RequestTrace, Step
    from ._explain_logs import decode_line, describe_outcome, explain_request
    from ._logs import configure_logging
    from ._metrics import LabelLimiter, Metrics

_LAZY = {
    "DecisionLog": "._decisions",
    "Event": "._decisions",
    "RequestTrace": "._decisions",
    "Step": "._decisions",
    "decode_line": "._explain_logs",
    "explain_request": "._explain_logs",
    "describe_outcome": "._explain_logs",
    "configure_logging": "._logs",
    "LabelLimiter": "._metrics",
    "Metrics": "._metrics",
}

__all__ = [
    "DecisionLog",
    "DeferredMetrics",
    "Event",
    "LabelLimiter",
    "LineWriter",
    "Metrics",
    "RequestTrace",
    "Step",
    "configure_logging",
    "decode_line",
    "describe_outcome",
    "explain_request",
    "write_logs_to",
]

__getattr__ = make_lazy_getattr(__name__, _LAZY)
