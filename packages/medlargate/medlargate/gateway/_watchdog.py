"""Breaks off backend connections that stay silent, or that have to end."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import aiohttp

from ._exchange import Exchange

CHECK_INTERVAL = 0.25  # seconds


@dataclass(slots=True)
class Watched:
    """A response under watch.

    Attributes
    ----------
    exch : Exchange
        The request.
    resp : aiohttp.ClientResponse
        Its backend server's response.
    max_silence : float
        Seconds without progress before it is closed.
    last_at : float
        Monotonic seconds of the last progress.
    """

    exch: Exchange
    resp: aiohttp.ClientResponse
    max_silence: float
    last_at: float


class Watchdog:
    """All responses that backend servers are sending.

    Notes
    -----
    One look over all of them at an interval costs less than a timer for each
    chunk. Closing a response wakes its reader with an error.
    """

    def __init__(self) -> None:
        self._watched: dict[str, Watched] = {}

    @contextmanager
    def watch(
        self, exch: Exchange, resp: aiohttp.ClientResponse, max_silence: float
    ) -> Iterator[Watched]:
        """Watch a response while a block runs.

        Parameters
        ----------
        exch : Exchange
            The request.
        resp : aiohttp.ClientResponse
            Its response.
        max_silence : float
            Seconds.

        Yields
        ------
        Watched
            Whose ``last_at`` the reader updates.
        """
        watched = Watched(exch, resp, max_silence, time.monotonic())
        self._watched[exch.request_id] = watched
        try:
            yield watched
        finally:
            self._watched.pop(exch.request_id, None)

    def close(self, request_id: str) -> None:
        """Break off a request's present attempt.

        Parameters
        ----------
        request_id : str
            The request.
        """
        watched = self._watched.get(request_id)
        if watched is not None:
            watched.resp.close()

    def observe_time(self, now: float) -> None:
        """Close the responses that have been silent for too long.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        for watched in list(self._watched.values()):
            if now - watched.last_at > watched.max_silence:
                watched.exch.stalled = True
                watched.resp.close()

    def exchanges(self) -> list[Exchange]:
        """List the requests whose answers are on their way.

        Returns
        -------
        list of Exchange
            In no order.
        """
        return [watched.exch for watched in self._watched.values()]

    async def run(self) -> None:
        """Look at all responses at an interval, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self.observe_time(time.monotonic())
