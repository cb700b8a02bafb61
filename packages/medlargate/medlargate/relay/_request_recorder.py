"""What ran and how requests ended: usage counts, metrics, one line a request."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..policy import Refusal
from ..telemetry import LateMetrics
from ._exchange import Exchange, Record

if TYPE_CHECKING:
    from ._request_handler import Outcome

log = logging.getLogger(__name__)


class RequestRecorder:
    """Keeps count of what the node did.

    Parameters
    ----------
    metrics : LateMetrics
        Instruments.
    observe_usage : callable
        Told the customer of each request that a server began to run.
    clock : callable
        Returns seconds.
    record_line : callable
        Writes a line on a decision.
    """

    def __init__(
        self,
        metrics: LateMetrics,
        observe_usage: Callable[[str], None],
        clock: Callable[[], float],
        record_line: Record,
    ) -> None:
        self._metrics = metrics
        self._observe_usage = observe_usage
        self._clock = clock
        self._record_line = record_line

    def observe_arrival(self, exch: Exchange) -> None:
        """Take in an accepted request."""
        exch.record(
            "accept",
            route=exch.rule.name,
            service=exch.service.name,
            customer=exch.customer.name if exch.customer else None,
            config_version=exch.config_version,
            time_left=round(exch.deadline - exch.arrived_at, 3),
            n_tokens=exch.n_tokens,
        )

    def observe_rejected(self, request_id: str, refusal: Refusal) -> None:
        """Take in a request that was refused before it was accepted."""
        self._record_line(
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
        """Take in that a server began to run a request."""
        if exch.customer is not None:
            self._observe_usage(exch.customer.name)

    def observe_end(self, exch: Exchange, outcome: Outcome) -> None:
        """Take in how an accepted request ended."""
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
