"""Metrics whose library is imported after the node has started to serve.

Importing the metrics library takes a seventh of the CPU time of a node's start, and
callers wait for that start when all nodes had been stopped. Requests that finish before
the import are buffered.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ._metrics import Metrics

log = logging.getLogger(__name__)

LOAD_DELAY = 2.0  # seconds after the start; the first callers have reconnected by then
MAX_BUFFERED_OBSERVATIONS = 10_000  # requests; older ones are dropped


class DeferredMetrics:
    """Buffers finished requests until ``load`` has created the instruments.

    Parameters
    ----------
    max_label_values : int, default=200
        Maximum number of customers that get their own label value.
    """

    def __init__(self, *, max_label_values: int = 200) -> None:
        self._max_label_values = max_label_values
        self._buffer: deque[dict[str, Any]] = deque(maxlen=MAX_BUFFERED_OBSERVATIONS)
        self._n_observed = 0
        self._metrics: Metrics | None = None

    def observe_request(self, **facts: Any) -> None:
        """Record a finished request, or buffer it until the instruments exist.

        Parameters
        ----------
        **facts : dict
            Keyword arguments of ``Metrics.observe_request``.
        """
        if self._metrics is not None:
            self._metrics.observe_request(**facts)
            return
        self._n_observed += 1
        self._buffer.append(facts)

    def observe_event(self, kind: str) -> None:
        """Count an event; those before the instruments exist are not counted.

        Parameters
        ----------
        kind : str
            Kind of the event, from a bounded set.
        """
        if self._metrics is not None:
            self._metrics.observe_event(kind)

    def observe_queue_decision(
        self, decision: str, priority: int, evidence: str = ""
    ) -> None:
        """Count a decision of a queue, once the instruments exist.

        Parameters
        ----------
        decision : str
            ``"begun"`` or ``"rejected"``.
        priority : int
            Priority of the request.
        evidence : str
            What a rejection is based on; empty if not rejected.
        """
        if self._metrics is not None:
            self._metrics.observe_queue_decision(decision, priority, evidence)

    def observe_spill(self, service: str, share: float, gain: float) -> None:
        """Record a spillover decision; dropped until the instruments exist.

        Parameters
        ----------
        service : str
            Name of the service.
        share : float
            Part of the work that leaves, between 0 and 1.
        gain : float
            Seconds that a request gains by leaving.
        """
        if self._metrics is not None:
            self._metrics.observe_spill(service, share, gain)

    def observe_return(self, promised: float, actual: float) -> None:
        """Record when a rejected caller returned, once the instruments exist.

        Parameters
        ----------
        promised, actual : float
            Time given to the caller and time after which it returned, in seconds.
        """
        if self._metrics is not None:
            self._metrics.observe_return(promised, actual)

    def observe_waiting(self, counts: Mapping[tuple[str, str], int]) -> None:
        """Store the numbers of waiting requests, once the instruments exist.

        Parameters
        ----------
        counts : mapping of (str, str) to int
            Waiting requests by customer and route.
        """
        if self._metrics is not None:
            self._metrics.observe_waiting(counts)

    def snapshot(self) -> bytes:
        """Return the metrics page.

        Returns
        -------
        bytes
            Page in Prometheus' text format; empty until the instruments exist.
        """
        return self._metrics.snapshot() if self._metrics is not None else b""

    async def load(self, *, delay: float = LOAD_DELAY) -> None:
        """Create the instruments in a thread, then record the buffered requests.

        Parameters
        ----------
        delay : float, default=2.0
            Seconds to wait before the import.
        """
        await asyncio.sleep(delay)
        metrics = await asyncio.to_thread(self._create_metrics)
        for facts in self._buffer:
            metrics.observe_request(**facts)
        if self._n_observed > len(self._buffer):
            n_lost = self._n_observed - len(self._buffer)
            log.warning(
                "buffered observations dropped from the metrics", extra={"n": n_lost}
            )
        self._buffer.clear()
        self._metrics = metrics

    def _create_metrics(self) -> Metrics:
        from ._metrics import Metrics

        return Metrics(max_label_values=self._max_label_values)
