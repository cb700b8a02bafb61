"""Time limit for a backend server's silence within one attempt."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from types import TracebackType

from ..transport import ExchangeFaultError

log = logging.getLogger(__name__)

# A timer that is later than this shows that the process was paused or overloaded.
MAX_TIMER_DELAY = 0.25  # seconds


class SilenceLimit:
    """Context manager that abandons an attempt whose server is silent for too long.

    The silence of a server alone is no reason to end an answer: the limit takes effect
    only while ``may_abandon`` returns True, that is, while another attempt can follow.
    Otherwise the condition is checked again after the same time.

    Parameters
    ----------
    seconds : float or None
        Longest time without data, in seconds; None for no limit.
    may_abandon : callable
        Returns whether the attempt may be abandoned now.

    Attributes
    ----------
    waiting : bool
        Whether the owner is waiting for the server. Time during which the owner waits
        for a slow caller instead does not count.
    """

    def __init__(self, seconds: float | None, may_abandon: Callable[[], bool]) -> None:
        self._seconds = seconds
        self._may_abandon = may_abandon
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.TimerHandle | None = None
        self._waiting_since = 0.0
        self._check_at = 0.0
        self.waiting = True

    async def __aenter__(self) -> SilenceLimit:
        """Start the limit."""
        await self._timeout.__aenter__()
        self._loop = asyncio.get_running_loop()
        self.start_waiting()
        if self._seconds is not None:
            self._schedule_check(self._seconds)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the limit, and raise an ExchangeFaultError if it was exceeded."""
        if self._handle is not None:
            self._handle.cancel()
        try:
            await self._timeout.__aexit__(exc_type, exc, traceback)
        except TimeoutError as timeout:
            raise ExchangeFaultError(
                "silent", f"no data received for {self._seconds} s"
            ) from timeout

    def start_waiting(self) -> None:
        """Record that the owner starts to wait for data."""
        self.waiting = True
        self._waiting_since = self._loop.time()

    def stop_waiting(self) -> None:
        """Record that data has arrived."""
        self.waiting = False

    def resume_waiting(self) -> None:
        """Record that the data was no complete event: the silence goes on.

        A server that sends a byte now and then would otherwise never be abandoned.
        """
        self.waiting = True

    def _check(self) -> None:
        assert self._seconds is not None
        now = self._loop.time()
        left = self._seconds
        if self.waiting and now - self._check_at > MAX_TIMER_DELAY:
            # This process was paused. Data that arrived meanwhile is read first.
            earliest = now + MAX_TIMER_DELAY - self._seconds
            self._waiting_since = max(self._waiting_since, earliest)
        if self.waiting:
            left = self._waiting_since + self._seconds - now
            if left <= 0 and self._can_abandon():
                self._timeout.reschedule(now)
                return
            if left <= 0:
                left = self._seconds
        self._schedule_check(left)

    def _can_abandon(self) -> bool:
        try:
            return self._may_abandon()
        except Exception:
            # Without a further check, the attempt would have no limit.
            log.exception("limit of a server's silence not decided")
            return False

    def _schedule_check(self, delay: float) -> None:
        self._check_at = self._loop.time() + delay
        self._handle = self._loop.call_later(delay, self._check)
