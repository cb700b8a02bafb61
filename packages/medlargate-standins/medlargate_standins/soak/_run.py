"""One soak: start, faults under load, recovery, checks."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path

from ._callers import Call, Caller
from ._checks import find_violations
from ._faults import FaultInjector
from ._fleet import Fleet

CALLERS_PER_NODE = 3
# After the last fault, for suspicions of nodes to end (4 s) and for a silent
# connection to be found out (about 5 s).
SETTLE_TIME = 6.0  # seconds
RECOVERY_TIME = 3.0  # seconds in which callers are served again
# Of these, the rest may meet what a fault left behind.
MIN_RECOVERED = 0.9


@dataclass(frozen=True)
class SoakReport:
    """What a soak found.

    Attributes
    ----------
    seed : int
        Plays the same series of faults again.
    n_calls, n_served : int
        Requests, and those that were served.
    recovered : float
        Share that was served after the last fault.
    broken : tuple of str
        Promises that did not hold.
    injected : tuple of str
        Faults with their times.
    """

    seed: int
    n_calls: int
    n_served: int
    recovered: float
    violations: tuple[str, ...]
    injected: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether everything held."""
        return not self.violations


async def run_soak(
    seed: int, *, seconds: float = 10.0, n_nodes: int = 4, folder: Path | None = None
) -> SoakReport:
    """Run one soak.

    Parameters
    ----------
    seed : int
        Decides the faults and the requests.
    seconds : float, default=10.0
        Time in which faults begin.
    n_nodes : int, default=4
        Node processes.
    folder : Path or None
        Where settings and logs of the nodes go; a temporary one by default.

    Returns
    -------
    SoakReport
        What was found.
    """
    random_state = random.Random(seed)
    fleet = Fleet(n_nodes, random.Random(seed + 1))
    await fleet.start(folder)
    callers = [
        Caller(fleet, node, f"{node.name}c{number}", random.Random(f"{seed}/{number}"))
        for node in fleet.nodes
        for number in range(CALLERS_PER_NODE)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    faults = FaultInjector(fleet, random_state)
    try:
        await faults.run(seconds)
        await asyncio.sleep(SETTLE_TIME)
        settled_at = time.monotonic()
        await asyncio.sleep(RECOVERY_TIME)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.close()
    calls = [call for caller in callers for call in caller.calls]
    return _make_report(seed, fleet, calls, faults, settled_at)


def _make_report(
    seed: int,
    fleet: Fleet,
    calls: list[Call],
    faults: FaultInjector,
    settled_at: float,
) -> SoakReport:
    late = [it for it in calls if it.sent_at >= settled_at and not it.is_interrupted]
    recovered = sum(map(_is_served, late)) / max(1, len(late))
    broken = find_violations(fleet, calls)
    if recovered < MIN_RECOVERED:
        broken.append(f"{recovered:.2f} served after the last fault")
    return SoakReport(
        seed=seed,
        n_calls=len(calls),
        n_served=sum(map(_is_served, calls)),
        recovered=recovered,
        violations=tuple(broken),
        injected=tuple(faults.injected),
    )


def _is_served(call: Call) -> bool:
    return call.reply.complete and call.reply.status == 200
