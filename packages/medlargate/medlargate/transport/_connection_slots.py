"""Limit of the connections to servers that carry a request."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager


class ConnectionSlots:
    """Slots of requests that need a connection to a server, handed out in order.

    A process that runs out of descriptors cannot connect, and would take its servers
    for unreachable.

    Parameters
    ----------
    max_slots : int
        Number of requests that may have a connection.

    Attributes
    ----------
    n_taken : int
        Number of requests that have a slot.
    on_wait : callable
        Called for each request that has to wait.
    """

    def __init__(self, max_slots: int) -> None:
        self._max_slots = max_slots
        self.n_taken = 0
        self.on_wait: Callable[[], None] = lambda: None
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()

    @asynccontextmanager
    async def hold(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot, once one is free.

        Parameters
        ----------
        priority : int
            Priority of the request; smaller numbers get a slot first, and equal ones
            in the order of their arrival.
        """
        await self._take(priority)
        try:
            yield
        finally:
            self._free()

    async def _take(self, priority: int) -> None:
        if self.n_taken < self._max_slots:
            self.n_taken += 1
            return
        fut = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._numbers), fut))
        self.on_wait()
        try:
            await fut
        except asyncio.CancelledError:
            if not fut.cancelled():
                self._free()
            raise

    def _free(self) -> None:
        """Pass a slot on to the most urgent of the requests that wait."""
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(None)
                return
        self.n_taken -= 1
