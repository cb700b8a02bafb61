"""Time of day that does not follow jumps of the machine's wall clock."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from dataclasses import dataclass, field

# The clocks of different machines differ by less than this; a larger difference from
# most peers means that this machine's wall clock was wrong when the process started.
MAX_CLOCK_DIFFERENCE = 0.4  # seconds
PEER_TIME_LIFETIME = 5.0  # seconds for which a peer's time is used
MIN_PEERS = 2  # peers with recent times that a correction needs


@dataclass
class PeerCheckedClock:
    """Clock that adds a fixed offset to a monotonic clock and checks it against peers.

    The offset is read from the wall clock once, at the start. It changes only when
    the times of most peers show that it is wrong.

    Parameters
    ----------
    monotonic : callable
        Returns the time in seconds on a clock that never jumps and also advances
        while the machine is suspended.
    wall : callable
        Returns the time in seconds since 1970 on a clock that may jump.

    Examples
    --------
    >>> clock = PeerCheckedClock(lambda: 5.0, lambda: 100.0)
    >>> clock.now()
    100.0
    """

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    _offset: float = 0.0
    _peer_differences: dict[str, tuple[float, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._offset = self.wall() - self.monotonic()

    def now(self) -> float:
        """Return the time of day.

        Returns
        -------
        float
            Time in seconds since 1970.
        """
        return self.monotonic() + self._offset

    def correct_from_peer(self, peer: str, peer_time: float) -> float:
        """Record a peer's time of day and correct this clock if most peers differ.

        Parameters
        ----------
        peer : str
            Name of the peer.
        peer_time : float
            Time of the peer in seconds since 1970, from a message just received.

        Returns
        -------
        float
            Correction applied to this clock in seconds; 0 if none was needed.
        """
        now = self.monotonic()
        difference = peer_time - self.now()
        self._peer_differences[peer] = (difference, now)
        if abs(difference) < MAX_CLOCK_DIFFERENCE:
            # Only a peer with another time of day can change the result.
            return 0.0
        recent = [
            diff
            for diff, at in self._peer_differences.values()
            if now - at < PEER_TIME_LIFETIME
        ]
        if len(recent) < MIN_PEERS:
            return 0.0
        correction = statistics.median([*recent, 0.0])
        if abs(correction) < MAX_CLOCK_DIFFERENCE:
            return 0.0
        self._offset += correction
        self._peer_differences.clear()
        return correction
