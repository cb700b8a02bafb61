"""Monotonic clock that includes suspend time."""

from __future__ import annotations

import time


def read_boot_clock() -> float:
    """Return the time since boot, including time spent in suspend.

    Returns
    -------
    float
        Time in seconds; it never decreases.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
