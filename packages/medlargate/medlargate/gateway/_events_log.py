"""Fleet events of one node: to the log, the metrics and the record."""

from __future__ import annotations

import logging
import time

from ..telemetry import DecisionLog, Metrics

log = logging.getLogger("medlargate.event")


class EventLog:
    """Takes events in once and passes them to all who keep them.

    Parameters
    ----------
    decisions : DecisionLog
        The bounded record.
    metrics : Metrics
        Counts events by kind.
    """

    def __init__(self, decisions: DecisionLog, metrics: Metrics) -> None:
        self._decisions = decisions
        self._metrics = metrics

    def observe(self, kind: str, subject: str, reason: str) -> None:
        """Take in an event.

        Parameters
        ----------
        kind : str
            From a bounded set, for instance ``"lease"``.
        subject, reason : str
            To whom and why.
        """
        self._decisions.observe_event(time.time(), kind, subject, reason)
        self._metrics.observe_event(kind)
        log.info(kind, extra={"subject": subject, "reason": reason})
