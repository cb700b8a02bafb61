"""Background tasks and callbacks whose failures are logged and end nothing else."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine, Hashable
from typing import Any, TypeVar

log = logging.getLogger(__name__)

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")

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


def share_task(
    tasks: dict[Key, asyncio.Task[Value]],
    key: Key,
    start: Callable[[], Coroutine[Any, Any, Value]],
) -> asyncio.Task[Value]:
    """Return the task in progress for a key, or start one.

    Callers await it shielded, so that one that is cancelled does not end it for the
    others.

    Parameters
    ----------
    tasks : dict
        Tasks in progress by key; an ended one is removed.
    key : hashable
        What the task is about.
    start : callable
        Returns the coroutine of a new task.
    """
    task = tasks.get(key)
    if task is None:
        task = tasks[key] = asyncio.create_task(start())
        task.add_done_callback(lambda _: tasks.pop(key, None))
        task.add_done_callback(log_task_failure)
    return task


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
