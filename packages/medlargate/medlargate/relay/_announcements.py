"""Messages that a burst of events triggers, at a bounded rate."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Announcement:
    """Sends a message soon after an event, and at most one in an interval.

    Parameters
    ----------
    send : callable
        Sends the message.
    clock : callable
        Returns the node's monotonic time in seconds.
    batch_delay : float
        Seconds for which further events are waited for.
    get_interval : callable, optional
        Returns the seconds between two messages at least, 0 by default.
    """

    def __init__(
        self,
        send: Callable[[], None],
        clock: Callable[[], float],
        *,
        batch_delay: float,
        get_interval: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._send = send
        self._clock = clock
        self._batch_delay = batch_delay
        self._get_interval = get_interval
        self._is_pending = False
        self._sent_at = float("-inf")

    def request(self) -> None:
        """Send the message soon, unless it is going to be sent anyway."""
        if self._is_pending:
            return
        self._is_pending = True
        time_left = self._sent_at + self._get_interval() - self._clock()
        asyncio.get_running_loop().call_later(
            max(self._batch_delay, time_left), self._send_pending
        )

    def _send_pending(self) -> None:
        self._is_pending = False
        self._sent_at = self._clock()
        self._send()
