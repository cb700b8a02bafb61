"""What the fuzzers share: settings of Hypothesis and an event loop on virtual time."""

from __future__ import annotations

import asyncio
import os
import selectors
from typing import Any

from hypothesis import HealthCheck, Phase, settings

STEPS = 50
CI_EXAMPLES = 200


def make_fuzz_settings(
    *, n_long: int, n_ci: int = CI_EXAMPLES, steps: int = STEPS
) -> settings:
    """Make the settings of a fuzzer.

    Parameters
    ----------
    n_long : int
        Examples when ``MEDLARGATE_FUZZ`` is ``long``, or ``find``, which stops at
        the first failure without shrinking it.
    n_ci : int, default=200
        Examples otherwise; derandomized, so that each run gives the same verdict.
    steps : int, default=50
        Steps per example.

    Returns
    -------
    hypothesis.settings
        For a ``RuleBasedStateMachine``'s ``TestCase``.
    """
    mode = os.environ.get("MEDLARGATE_FUZZ", "")
    phases = (Phase.generate,) if mode == "find" else tuple(Phase)
    return settings(
        max_examples=n_long if mode else n_ci,
        stateful_step_count=steps,
        derandomize=mode != "long",
        phases=phases,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )


class _VirtualSelector(selectors.BaseSelector):
    """Moves a clock on instead of waiting."""

    def __init__(self) -> None:
        self.now = 0.0
        self._real = selectors.DefaultSelector()

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self._real.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> Any:
        return self._real.unregister(fileobj)

    def get_map(self) -> Any:
        return self._real.get_map()

    def close(self) -> None:
        self._real.close()

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("every task waits for something that can't happen")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer.

    Examples
    --------
    >>> loop = VirtualLoop()
    >>> loop.run_until_complete(asyncio.sleep(3600))
    >>> round(loop.time())
    3600
    >>> loop.close()
    """

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._virtual.now

    def run_for(self, seconds: float) -> None:
        """Run everything that is due within some virtual seconds.

        Parameters
        ----------
        seconds : float
            How far to move the clock.
        """
        self.run_until_complete(asyncio.sleep(seconds))

    def run_coroutine(self, coroutine: Any) -> Any:
        """Run a coroutine to its end.

        Parameters
        ----------
        coroutine : coroutine
            What to run.

        Returns
        -------
        object
            Its result.
        """
        return self.run_until_complete(coroutine)

    def shut_down(self) -> None:
        """Cancel every task and close the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.close()
