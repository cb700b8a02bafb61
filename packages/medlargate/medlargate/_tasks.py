"""Tasks that go on after a failure."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)

RESTART_PAUSE = 1.0  # seconds


async def run_to_end(
    job: Callable[[], Awaitable[None]], *, pause: float = RESTART_PAUSE
) -> None:
    """Run a task of the node; a failure is logged and the task started again.

    Parameters
    ----------
    job : callable
        Makes the task.
    pause : float
        Seconds between a failure and the next start.
    """
    while True:
        try:
            await job()
            return
        except Exception:
            log.exception("a task failed and starts again")
            await asyncio.sleep(pause)
