"""Metrics whose library is loaded after a node has begun to serve.

Loading the instruments takes a seventh of the processor time of a start, which callers
wait for after all nodes were stopped. Until then observations are kept.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ._metrics import Metrics

log = logging.getLogger(__name__)

LOAD_DELAY = 2.0  # seconds after the start; the first callers have come back by then
MAX_KEPT = 10_000  # observations kept until then


class LateMetrics:
    """The node's instruments, from ``load`` on.

    Parameters
    ----------
    max_label_values : int, default=200
        Customers with label values of their own.
    """

    def __init__(self, *, max_label_values: int = 200) -> None:
        self._max_label_values = max_label_values
        self._kept: deque[dict[str, Any]] = deque(maxlen=MAX_KEPT)
        self._n_seen = 0
        self._metrics: Metrics | None = None

    def observe_request(self, **facts: Any) -> None:
        """Take in a finished request, as ``Metrics.observe_request`` does.

        Parameters
        ----------
        **facts : dict
            Its keyword arguments.
        """
        if self._metrics is not None:
            self._metrics.observe_request(**facts)
            return
        self._n_seen += 1
        self._kept.append(facts)

    def snapshot(self) -> bytes:
        """Return the metrics page; empty until the instruments are loaded.

        Returns
        -------
        bytes
            Text format.
        """
        return self._metrics.snapshot() if self._metrics is not None else b""

    async def load(self, *, delay: float = LOAD_DELAY) -> None:
        """Load the instruments in a thread and hand on what was kept.

        Parameters
        ----------
        delay : float, default=2.0
            Seconds to wait before.
        """
        await asyncio.sleep(delay)
        metrics = await asyncio.to_thread(self._make)
        for facts in self._kept:
            metrics.observe_request(**facts)
        if self._n_seen > len(self._kept):
            n_lost = self._n_seen - len(self._kept)
            log.warning("observations left out of the metrics", extra={"n": n_lost})
        self._kept.clear()
        self._metrics = metrics

    def _make(self) -> Metrics:
        from ._metrics import Metrics

        return Metrics(max_label_values=self._max_label_values)
