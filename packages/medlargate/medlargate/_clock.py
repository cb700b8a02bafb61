"""The clock of the process."""

from __future__ import annotations

import time


def read_boot_clock() -> float:
    """Read a clock that counts the time while the machine was suspended.

    Returns
    -------
    float
        Seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
