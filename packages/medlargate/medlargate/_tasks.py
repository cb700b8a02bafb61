"""Background tasks and callbacks whose failures are logged and end nothing else."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)

RESTART_PAUSE = 1.0  # seconds between a failure and the restart


async def run_with_restarts(
    job: Callable[[], Awaitable[None]], *, pause: float = RESTART_PAUSE
) -> None:
    """Run a task until it returns; after an exception, log it and restart the task.

    Parameters
    ----------
    job : callable
        Called without arguments for each start; returns the awaitable to run.
    pause : float, default=1.0
        Seconds between a failure and the restart.
    """
    while True:
        try:
            await job()
            return
        except Exception:
            log.exception("background task failed; restarting it")
            await asyncio.sleep(pause)


def call_logged(callback: Callable[..., object], *args: object) -> None:
    """Call a callback and log an exception that it raises.

    One callback that fails keeps neither the other callbacks nor the rest of a batch
    of changes from taking effect.

    Parameters
    ----------
    callback : callable
        Called with ``args``; its result is ignored.
    *args : object
        Arguments of the callback.
    """
    try:
        callback(*args)
    except Exception:
        name = getattr(callback, "__qualname__", repr(callback))
        log.exception("callback failed", extra={"callback": name})
