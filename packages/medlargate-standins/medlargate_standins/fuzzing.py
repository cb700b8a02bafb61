"""Shared parts of the fuzz tests: Hypothesis settings and a virtual-time event loop."""

from __future__ import annotations

import asyncio
import os
import selectors
from typing import Any

from hypothesis import HealthCheck, Phase, settings

STEPS = 50  # per example
CI_EXAMPLES = 200


def make_fuzz_settings(
    *, n_long: int, n_ci: int = CI_EXAMPLES, steps: int = STEPS
) -> settings:
    """Create the Hypothesis settings of a fuzz test.

    The environment variable ``MEDLARGATE_FUZZ`` selects the mode: ``long`` searches
    at random; ``find`` stops at the first failure without shrinking it; without a
    value, the search is short and derandomized, so that each run gives the same
    result.

    Parameters
    ----------
    n_long : int
        Number of examples in the modes ``long`` and ``find``.
    n_ci : int, default=200
        Number of examples if no mode is set.
    steps : int, default=50
        Number of steps per example.

    Returns
    -------
    hypothesis.settings
        Settings for the ``TestCase`` of a ``RuleBasedStateMachine``.
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
    """Selector that advances a virtual clock instead of waiting for I/O."""

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
            raise RuntimeError(
                "deadlock: all tasks are waiting and no timer is scheduled"
            )
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose virtual clock jumps to the next timer.

    I/O is never reported as ready, so that only timers and callbacks run.

    Examples
    --------
    >>> loop = VirtualLoop()
    >>> loop.run_until_complete(asyncio.sleep(3600))
    >>> round(loop.time())
    3600
    >>> loop.close()
    """

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now

    def run_for(self, seconds: float) -> None:
        """Run all callbacks that are due within some virtual seconds.

        Parameters
        ----------
        seconds : float
            Virtual seconds by which the clock advances.
        """
        self.run_until_complete(asyncio.sleep(seconds))

    def run_coroutine(self, coroutine: Any) -> Any:
        """Run a coroutine until it completes.

        Parameters
        ----------
        coroutine : coroutine
            Coroutine to run.

        Returns
        -------
        object
            Result of the coroutine.
        """
        return self.run_until_complete(coroutine)

    def shut_down(self) -> None:
        """Cancel all tasks and close the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.close()
