"""Simulated engine whose queue admits the most urgent request first."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from ._backend_messages import ReceivedRequest, encode_head, parse_token_usage
from .backend import Backend

DEFAULT_PRIORITY = 5  # of a request without the header


@dataclass(eq=False)
class PriorityBackend(Backend):
    """Engine with slots, a memory and a short queue by priority.

    Attributes
    ----------
    max_queued : int
        Number of requests that wait to begin; more are answered as not run.
    memory : int
        Tokens that running requests may hold together; 0 for any number.
    get_run_time : callable
        Returns how long a request occupies a slot, in seconds.
    begun : list of (float, str)
        Times on the event loop's clock at which requests got a slot, and their paths.
    n_overfilled : int
        Number of requests received while the tokens of all requests on the engine,
        waiting ones included, exceeded the memory.
    """

    max_queued: int = 8
    memory: int = 0
    get_run_time: Callable[[ReceivedRequest], float] = lambda _: 1.0
    begun: list[tuple[float, str]] = field(default_factory=list)
    n_overfilled: int = 0
    _n_taken: int = 0
    _n_running_tokens: int = 0
    _n_held_tokens: int = 0
    _numbers: itertools.count = field(default_factory=itertools.count)
    _queue: list[tuple[int, int, int, asyncio.Future[None]]] = field(
        default_factory=list
    )

    async def _respond_in_slot(self, req, reader, writer) -> bool:
        if self._count_queued() >= self.max_queued:
            extra = "Not-Executed: 1\r\n" + self._encode_extra_headers()
            writer.write(encode_head(req, 503, 0, extra))
            await writer.drain()
            return True
        n_tokens = sum(parse_token_usage(req))
        self._n_held_tokens += n_tokens
        self.n_overfilled += 0 < self.memory < self._n_held_tokens
        try:
            priority = int(req.headers.get("request-priority", DEFAULT_PRIORITY))
            await self._acquire(priority, n_tokens)
            try:
                self.begun.append((asyncio.get_running_loop().time(), req.target))
                self.pause = self.get_run_time(req) / self.n_events
                return await self._respond(req, reader, writer)
            finally:
                self._release(n_tokens)
        finally:
            self._n_held_tokens -= n_tokens

    async def _acquire(self, priority: int, n_tokens: int) -> None:
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (priority, next(self._numbers), n_tokens, turn))
        self._admit()
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._release(n_tokens)
            raise

    def _admit(self) -> None:
        """Let the first requests of the queue begin while slots and memory are free."""
        while self._queue:
            _, _, n_tokens, turn = self._queue[0]
            if not turn.done():
                n_after = self._n_running_tokens + n_tokens
                if self._n_taken >= self.slots or 0 < self.memory < n_after:
                    return
                self._n_taken += 1
                self._n_running_tokens = n_after
                turn.set_result(None)
            heapq.heappop(self._queue)

    def _release(self, n_tokens: int) -> None:
        self._n_taken -= 1
        self._n_running_tokens -= n_tokens
        self._admit()

    def _count_queued(self) -> int:
        return sum(not turn.done() for *_, turn in self._queue)

    def _encode_extra_headers(self) -> str:
        load = f"Server-Load: {self._n_taken},{self._count_queued()},{self.slots}\r\n"
        return super()._encode_extra_headers() + load
