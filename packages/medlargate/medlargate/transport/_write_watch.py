"""Detection of callers that take no byte of what is written to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# A caller that reads slowly takes some bytes within this time.
WRITE_STALL_TIMEOUT = 10.0  # seconds


class WriteWatch:
    """Watch over the unsent bytes of one connection.

    Parameters
    ----------
    on_stalled : callable
        Called if the unsent bytes have not become fewer in ``WRITE_STALL_TIMEOUT``.
    """

    def __init__(self, on_stalled: Callable[[], None]) -> None:
        self._on_stalled = on_stalled
        self._n_unsent = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.Transport) -> None:
        """Watch from now on; nothing is watched if all bytes are sent.

        Parameters
        ----------
        transport : asyncio.Transport
            Connection.
        """
        self.cancel()
        self._n_unsent = transport.get_write_buffer_size()
        if self._n_unsent > 0:
            self._timer = asyncio.get_running_loop().call_later(
                WRITE_STALL_TIMEOUT, self._check, transport
            )

    def cancel(self) -> None:
        """Stop watching; nothing happens if nothing is watched."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, transport: asyncio.Transport) -> None:
        if transport.get_write_buffer_size() < self._n_unsent:
            self.start(transport)
        else:
            self._on_stalled()
