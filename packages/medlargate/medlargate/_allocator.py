"""Settings of the C library's allocator.

By default, glibc raises its threshold for separate mappings with each large block that
is freed, so that the memory of many large bodies or answers stays with the process.
Where the threshold is still low, each read of a socket maps and unmaps a buffer.
"""

from __future__ import annotations

import asyncio
import ctypes
import logging
import time
from collections.abc import Callable

log = logging.getLogger(__name__)

# Parameters of mallopt(3)
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# Larger blocks are mapped separately. The event loop reads sockets into smaller ones.
MMAP_THRESHOLD = 524_288  # bytes
# Free memory above this at the end of the heap is returned.
TRIM_THRESHOLD = 1_048_576  # bytes
# Requests that have been given up end within this time.
RETURN_DELAY = 1.0  # seconds


def fix_thresholds() -> None:
    """Fix the allocator's thresholds for the rest of the process.

    Nothing happens where the C library has no such parameters.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD)
        mallopt(_M_TRIM_THRESHOLD, TRIM_THRESHOLD)


def return_free_memory() -> bool:
    """Return the heap's free pages to the operating system.

    Returns
    -------
    bool
        Whether any memory was returned.
    """
    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    return malloc_trim is not None and bool(malloc_trim(0))


def make_deferred_return() -> Callable[[], None]:
    """Make a function that returns free memory after ``RETURN_DELAY``.

    Calls within the delay add nothing.

    Returns
    -------
    callable
        Function without parameters, which is called in the event loop.
    """
    is_pending = False

    def run() -> None:
        nonlocal is_pending
        is_pending = False
        started_at = time.monotonic()
        if return_free_memory():
            duration = round(time.monotonic() - started_at, 4)
            log.info("free memory returned", extra={"duration": duration})

    def schedule() -> None:
        nonlocal is_pending
        if not is_pending:
            is_pending = True
            asyncio.get_running_loop().call_later(RETURN_DELAY, run)

    return schedule
