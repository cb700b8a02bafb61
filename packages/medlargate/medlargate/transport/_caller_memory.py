"""Memory of a node that bodies of requests and unread answers take."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from ..policy import Holding, choose_evicted

# Several of the largest bodies and answers, and a part of the memory of a small VM.
MAX_CALLER_BYTES = 67_108_864
# Smaller bodies and answers are held whatever the others take. Their number is bounded
# by that of the connections.
MAX_SMALL_BYTES = 16_384
# Ordinary requests rarely free as much at a time.
MIN_FREED_BYTES = 16_777_216

ConnT = TypeVar("ConnT", bound=Hashable)


class CallerMemory(Generic[ConnT]):
    """What the connections of callers hold, and what they lose if it is too much.

    Parameters
    ----------
    max_bytes : int, default=67108864
        Bytes that all connections together may hold.
    on_freed : callable or None, default=None
        Called whenever ``MIN_FREED_BYTES`` less are held than at the last peak.

    Attributes
    ----------
    n_bytes : int
        Bytes that are held.

    Examples
    --------
    >>> memory = CallerMemory(max_bytes=100_000)
    >>> memory.hold("upload", 90_000, now=0.0)
    []
    >>> memory.hold("other", 20_000, now=5.0)
    ['upload']
    >>> memory.release("upload")
    >>> memory.n_bytes
    20000
    """

    def __init__(
        self,
        *,
        max_bytes: int = MAX_CALLER_BYTES,
        on_freed: Callable[[], None] | None = None,
    ) -> None:
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self._peak = 0
        self._on_freed = on_freed
        self._held: dict[ConnT, Holding] = {}
        self._kept: set[ConnT] = set()

    def hold(
        self, conn: ConnT, n_bytes: int, *, now: float, is_kept: bool = False
    ) -> list[ConnT]:
        """Set how many bytes are held for a connection.

        Parameters
        ----------
        conn : hashable
            Connection.
        n_bytes : int
            Bytes that are held from now on.
        now : float
            Current time, in seconds.
        is_kept : bool, default=False
            Whether they are held whatever the others take, because the request may
            have run.

        Returns
        -------
        list of hashable
            Connections to give up, ``conn`` among them if nothing else is left.
        """
        since = self._held[conn].since if conn in self._held else now
        self._forget(conn)
        if n_bytes <= 0:
            return []
        self._held[conn] = Holding(n_bytes, since)
        self.n_bytes += n_bytes
        self._peak = max(self._peak, self.n_bytes)
        if is_kept:
            self._kept.add(conn)
            return []
        if n_bytes <= MAX_SMALL_BYTES or self.n_bytes <= self.max_bytes:
            return []
        large = [
            (other, holding)
            for other, holding in self._held.items()
            if holding.n_bytes > MAX_SMALL_BYTES and other not in self._kept
        ]
        return choose_evicted(large, self.n_bytes - self.max_bytes, now=now)

    def release(self, conn: ConnT) -> None:
        """Hold nothing more for a connection; nothing happens if nothing was held."""
        self._forget(conn)
        if self._peak - self.n_bytes >= MIN_FREED_BYTES:
            self._peak = self.n_bytes
            if self._on_freed is not None:
                self._on_freed()

    def _forget(self, conn: ConnT) -> None:
        holding = self._held.pop(conn, None)
        if holding is not None:
            self.n_bytes -= holding.n_bytes
        self._kept.discard(conn)
