"""Detection of callers that leave while nothing is read from their connections."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

CHECK_INTERVAL = 0.1  # seconds
_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class DisconnectWatch:
    """Watch over sockets from which the event loop does not read.

    The event loop reports the end of a connection as the end of its data, so that it
    reports nothing while bytes wait unread. The kernel tells the two apart.
    """

    def __init__(self) -> None:
        self._poll = select.poll()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, fileno: int, on_disconnect: Callable[[], None]) -> None:
        """Watch a socket.

        Parameters
        ----------
        fileno : int
            Descriptor of a connected socket, which is removed before it is closed.
        on_disconnect : callable
            Called, more than once if the socket stays watched, when the peer has closed
            the connection or its sending side, or has reset the connection.
        """
        self._callbacks[fileno] = on_disconnect
        self._poll.register(fileno, select.POLLRDHUP)
        if self._timer is None:
            self._start_timer()

    def discard(self, fileno: int) -> None:
        """Stop watching a socket; nothing happens if it is not watched."""
        if self._callbacks.pop(fileno, None) is not None:
            self._poll.unregister(fileno)

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        self._timer = None
        for fileno, events in self._poll.poll(0):
            callback = self._callbacks.get(fileno)
            if events & _LEFT and callback is not None:
                callback()
        if self._callbacks:
            self._start_timer()
