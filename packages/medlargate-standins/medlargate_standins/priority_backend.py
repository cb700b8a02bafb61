"""Simulated engine whose queue admits the most urgent request first."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from ._backend_messages import ReceivedRequest, encode_head
from .backend import Backend

DEFAULT_PRIORITY = 5  # of a request without the header


@dataclass(eq=False)
class PriorityBackend(Backend):
    """Engine with slots and a short queue by priority.

    Attributes
    ----------
    max_queued : int
        Number of requests that wait for a slot; more are answered as not run.
    get_run_time : callable
        Returns how long a request occupies a slot, in seconds.
    begun : list of (float, str)
        Times on the event loop's clock at which requests got a slot, and their paths.
    """

    max_queued: int = 8
    get_run_time: Callable[[ReceivedRequest], float] = lambda _: 1.0
    begun: list[tuple[float, str]] = field(default_factory=list)
    _n_taken: int = 0
    _numbers: itertools.count = field(default_factory=itertools.count)
    _queue: list[tuple[int, int, asyncio.Future[None]]] = field(default_factory=list)

    async def _respond_in_slot(self, req, reader, writer) -> bool:
        if self._n_taken >= self.slots and len(self._queue) >= self.max_queued:
            extra = "Not-Executed: 1\r\n" + self._encode_extra_headers()
            writer.write(encode_head(req, 503, 0, extra))
            await writer.drain()
            return True
        await self._acquire(int(req.headers.get("request-priority", DEFAULT_PRIORITY)))
        try:
            self.begun.append((asyncio.get_running_loop().time(), req.target))
            self.pause = self.get_run_time(req) / self.n_events
            return await self._respond(req, reader, writer)
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self._n_taken < self.slots:
            self._n_taken += 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (priority, next(self._numbers), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        while self._queue:
            _, _, turn = heapq.heappop(self._queue)
            if not turn.done():
                turn.set_result(None)
                return
        self._n_taken -= 1

    def _encode_extra_headers(self) -> str:
        n_queued = sum(not turn.done() for _, _, turn in self._queue)
        load = f"Server-Load: {self._n_taken},{n_queued},{self.slots}\r\n"
        return super()._encode_extra_headers() + load
