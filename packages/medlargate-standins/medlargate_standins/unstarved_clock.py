"""Clock for tests that does not count the time in which a process gets no processor."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

read_monotonic = time.monotonic


class UnstarvedClock:
    """Clock that counts an event loop's waits and the processor time of its thread.

    On a busy machine a process runs late and slowly. A test of how soon a program acts
    then measures the machine. This clock counts a wait of the loop up to the timeout
    that the loop asked for, and between waits only the processor time. Calls that block
    the thread without using the processor are not counted.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop with a selector, which the calling thread runs.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._selector: Any = loop._selector
        self._select = self._selector.select
        self._thread = threading.get_ident()
        self._now = read_monotonic()
        self._counted_cpu = time.thread_time()
        self._selector.select = self._wait

    def read(self) -> float:
        """Return the time in seconds; it starts at that of ``time.monotonic``."""
        if threading.get_ident() == self._thread:
            cpu = time.thread_time()
            self._now += cpu - self._counted_cpu
            self._counted_cpu = cpu
        return self._now

    def _wait(self, timeout: float | None = None) -> Any:
        self.read()
        started_at = read_monotonic()
        events = self._select(timeout)
        waited = read_monotonic() - started_at
        self._now += waited if timeout is None else min(waited, max(timeout, 0.0))
        return events

    def close(self) -> None:
        """Give the loop its own waits back."""
        self._selector.select = self._select


@contextmanager
def ignore_starvation(*clocks: str) -> Iterator[None]:
    """Replace the clock of the running loop, and others, by an ``UnstarvedClock``.

    Parameters
    ----------
    *clocks : str
        Full names of further functions that return the time, as they are imported
        where they are used.
    """
    clock = UnstarvedClock(asyncio.get_running_loop())
    patches = [mock.patch(name, clock.read) for name in ("time.monotonic", *clocks)]
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
        clock.close()
