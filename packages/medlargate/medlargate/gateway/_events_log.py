"""Writes a node's fleet events to log, metrics and decision log."""

from __future__ import annotations

import logging
import time

from ..telemetry import DecisionLog, Metrics

log = logging.getLogger("medlargate.event")


class EventLog:
    """Records fleet events in the log, the metrics and the decision log.

    Parameters
    ----------
    decisions : DecisionLog
        Bounded in-memory log of decisions and events.
    metrics : Metrics
        Metrics that count events by kind.
    """

    def __init__(self, decisions: DecisionLog, metrics: Metrics) -> None:
        self._decisions = decisions
        self._metrics = metrics

    def record(self, kind: str, subject: str, reason: str) -> None:
        """Record an event.

        Parameters
        ----------
        kind : str
            Kind of event from a bounded set, for instance ``"lease"``; used as a
            metric label.
        subject, reason : str
            What the event is about, and why it occurred.
        """
        self._decisions.observe_event(time.time(), kind, subject, reason)
        self._metrics.observe_event(kind)
        log.info(kind, extra={"subject": subject, "reason": reason})
