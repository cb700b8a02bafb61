"""Background tasks and callbacks whose failures are logged and end nothing else."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

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
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            # Only a task that the job awaited was cancelled.
            _log_failure(job)
        except Exception:
            _log_failure(job)
        await asyncio.sleep(pause)


def _log_failure(job: Callable[..., object]) -> None:
    name = getattr(job, "__qualname__", repr(job))
    log.exception("background task failed; restarting it", extra={"job": name})


def log_task_failure(task: asyncio.Task[Any]) -> None:
    """Log the exception of a task that nothing awaits, as its done-callback."""
    if not task.cancelled() and (exc := task.exception()) is not None:
        log.error(
            "task failed", extra={"task": task.get_coro().__qualname__}, exc_info=exc
        )


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
