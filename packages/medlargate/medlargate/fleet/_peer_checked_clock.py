"""The time of day, unmoved by jumps of the machine's clock."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from dataclasses import dataclass, field

# Clocks of machines differ by less; a larger difference from most peers means that
# this machine's clock had jumped when the process started.
MAX_DIFFERENCE = 0.4  # seconds
PEER_LIFETIME = 5.0  # seconds
MIN_PEERS = 2


@dataclass
class PeerCheckedClock:
    """A steady clock with an offset taken once, checked against peers.

    Parameters
    ----------
    steady : callable
        Returns seconds; counts suspended time and never jumps.
    wall : callable
        Returns seconds since 1970; may jump.

    Examples
    --------
    >>> clock = PeerCheckedClock(lambda: 5.0, lambda: 100.0)
    >>> clock.now()
    100.0
    """

    steady: Callable[[], float]
    wall: Callable[[], float]
    _offset: float = 0.0
    _peers: dict[str, tuple[float, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._offset = self.wall() - self.steady()

    def now(self) -> float:
        """Return the time of day.

        Returns
        -------
        float
            Seconds since 1970.
        """
        return self.steady() + self._offset

    def correct_from_peer(self, peer: str, peer_time: float) -> float:
        """Take in a peer's time of day, and follow most peers.

        Parameters
        ----------
        peer : str
            Its name.
        peer_time : float
            Seconds since 1970, as it was sent a moment ago.

        Returns
        -------
        float
            By how much this clock was moved, seconds.
        """
        now = self.steady()
        self._peers[peer] = (peer_time - self.now(), now)
        recent = [diff for diff, at in self._peers.values() if now - at < PEER_LIFETIME]
        if len(recent) < MIN_PEERS:
            return 0.0
        shift = statistics.median([*recent, 0.0])
        if abs(shift) < MAX_DIFFERENCE:
            return 0.0
        self._offset += shift
        self._peers.clear()
        return shift
