"""Closes backend responses that make no progress or have to be cancelled."""

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
class WatchedResponse:
    """A backend response that is monitored for progress.

    Attributes
    ----------
    exch : Exchange
        Request that the response belongs to.
    resp : aiohttp.ClientResponse
        Response of the backend server.
    idle_timeout : float
        Seconds without progress after which the response is closed.
    last_progress_at : float
        Monotonic time of the last progress, in seconds.
    """

    exch: Exchange
    resp: aiohttp.ClientResponse
    idle_timeout: float
    last_progress_at: float


class Watchdog:
    """Monitors all backend responses that are being received.

    Notes
    -----
    One periodic scan over all responses costs less than a timer for each chunk.
    Closing a response raises an error in the task that reads from it.
    """

    def __init__(self) -> None:
        self._watched: dict[str, WatchedResponse] = {}

    @contextmanager
    def watch(
        self, exch: Exchange, resp: aiohttp.ClientResponse, idle_timeout: float
    ) -> Iterator[WatchedResponse]:
        """Monitor a response for the duration of a ``with`` block.

        Parameters
        ----------
        exch : Exchange
            Request that the response belongs to.
        resp : aiohttp.ClientResponse
            Response to monitor.
        idle_timeout : float
            Seconds without progress after which the response is closed.

        Yields
        ------
        WatchedResponse
            Monitored response; the reader sets ``last_progress_at`` on progress.
        """
        watched = WatchedResponse(exch, resp, idle_timeout, time.monotonic())
        self._watched[exch.request_id] = watched
        try:
            yield watched
        finally:
            self._watched.pop(exch.request_id, None)

    def close_response(self, request_id: str) -> None:
        """Cancel a request's current attempt by closing its response, if any.

        Parameters
        ----------
        request_id : str
            Identifier of the request.
        """
        watched = self._watched.get(request_id)
        if watched is not None:
            watched.resp.close()

    def close_stalled(self, now: float) -> None:
        """Close the responses whose idle timeout has passed.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        for watched in list(self._watched.values()):
            if now - watched.last_progress_at > watched.idle_timeout:
                watched.exch.stalled = True
                watched.resp.close()

    def list_exchanges(self) -> list[Exchange]:
        """List the requests whose responses are being received.

        Returns
        -------
        list of Exchange
            Requests in no particular order.
        """
        return [watched.exch for watched in self._watched.values()]

    async def run(self) -> None:
        """Close stalled responses periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self.close_stalled(time.monotonic())
