"""Recording of requests: usage counts, metrics and decision records."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..policy import Refusal
from ..telemetry import DeferredMetrics
from ._exchange import Exchange, Outcome, RecordWriter

log = logging.getLogger(__name__)


class RequestRecorder:
    """Recorder of accepted, refused and completed requests.

    Parameters
    ----------
    metrics : DeferredMetrics
        Metrics of the node.
    observe_usage : callable
        Called with the customer's name for each request that a server starts to run.
    clock : callable
        Returns the node's monotonic time in seconds.
    write_record : callable
        Writes a decision record.
    """

    def __init__(
        self,
        metrics: DeferredMetrics,
        observe_usage: Callable[[str], None],
        clock: Callable[[], float],
        write_record: RecordWriter,
    ) -> None:
        self._metrics = metrics
        self._observe_usage = observe_usage
        self._clock = clock
        self._write_record = write_record

    def observe_arrival(self, exch: Exchange) -> None:
        """Record an accepted request."""
        exch.record(
            "accept",
            route=exch.rule.name,
            service=exch.service.name,
            customer=exch.customer.name if exch.customer else None,
            config_version=exch.config_version,
            time_left=round(exch.deadline - exch.arrived_at, 3),
            n_tokens=exch.n_tokens,
            resumed=exch.facts.resumed_id or None,
            last_event_id=exch.last_event_id,
        )

    def observe_rejected(self, request_id: str, refusal: Refusal) -> None:
        """Record a request that was refused before it was accepted."""
        self._write_record(
            "end",
            request=request_id,
            status=refusal.status,
            outcome=refusal.code,
            detail=refusal.message,
        )
        self._metrics.observe_request(
            customer="",
            request_class="",
            outcome=refusal.code,
            queue_wait=None,
            first_token=None,
            interval=None,
            n_tokens=0,
        )

    def observe_run(self, exch: Exchange) -> None:
        """Count a request in its customer's usage once a server starts to run it."""
        if exch.customer is not None:
            self._observe_usage(exch.customer.name)

    def observe_event(self, kind: str) -> None:
        """Count an event of a kind from a bounded set in the metrics."""
        self._metrics.observe_event(kind)

    def observe_end(self, exch: Exchange, outcome: Outcome) -> None:
        """Record the outcome of an accepted request."""
        now = self._clock()
        first = exch.first_event_at
        wait = exch.placed_at - exch.arrived_at if exch.placed_at is not None else None
        first_token = first - exch.arrived_at if first is not None else None
        exch.record(
            "end",
            status=outcome.status,
            outcome=outcome.code,
            verdict=str(exch.verdict),
            elapsed=round(now - exch.arrived_at, 3),
            first_event=round(first_token, 3) if first_token is not None else None,
            longest_pause=round(exch.longest_pause, 3) if exch.n_events else None,
            waited=round(wait, 3) if wait is not None else None,
            n_sent=exch.n_sent,
            n_events=exch.n_events,
            route=exch.rule.name,
        )
        interval = None
        if first is not None and exch.n_events > 1:
            interval = (now - first) / (exch.n_events - 1)
        self._metrics.observe_request(
            customer=exch.customer.name if exch.customer else "",
            request_class=exch.rule.name,
            outcome=outcome.code,
            queue_wait=wait,
            first_token=first_token,
            interval=interval,
            n_tokens=exch.n_events,
        )
