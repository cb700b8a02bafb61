"""Run of one soak: start, faults under load, recovery and checks."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path

from ._callers import Call, Caller
from ._checks import find_violations
from ._crowds import CrowdInjector
from ._faults import FaultInjector
from ._fleet import Fleet, FleetPlan
from ._fleet_checks import find_fleet_violations

CALLERS_PER_NODE = 3
# Seconds after the last fault in which suspicions of nodes end (4 s) and silent
# connections are detected (about 5 s).
SETTLE_TIME = 6.0
RECOVERY_TIME = 3.0  # seconds after SETTLE_TIME in which served requests are counted
# Fraction of the requests in RECOVERY_TIME that must be served. The others may still
# be affected by an earlier fault.
MIN_RECOVERED = 0.9
COPY_RATE = 1 / 6  # fraction of the requests whose answers are written once more


@dataclass(frozen=True)
class SoakReport:
    """Result of a soak.

    Attributes
    ----------
    seed : int
        Seed that repeats the same series of faults.
    n_calls, n_served : int
        Number of requests, and of those with a complete successful response.
    recovered : float
        Fraction of the requests after recovery that were served.
    violations : tuple of str
        Description of each violated invariant.
    injected : tuple of str
        Description of each fault with its start time in seconds.
    n_copies : int
        Number of answers that the servers wrote once more.
    """

    seed: int
    n_calls: int
    n_served: int
    recovered: float
    violations: tuple[str, ...]
    injected: tuple[str, ...]
    n_copies: int = 0

    @property
    def passed(self) -> bool:
        """Whether no invariant was violated."""
        return not self.violations


async def run_soak(
    seed: int,
    *,
    seconds: float = 10.0,
    n_nodes: int = 4,
    folder: Path | None = None,
    with_copies: bool = False,
    with_crowds: bool = False,
    node_path: str = "",
) -> SoakReport:
    """Run one soak.

    Parameters
    ----------
    seed : int
        Seed of the faults and the requests.
    seconds : float, default=10.0
        Period in seconds in which faults start.
    n_nodes : int, default=4
        Number of node processes.
    folder : Path or None
        Folder for the settings and logs of the nodes; a temporary one by default.
    with_copies : bool, default=False
        Whether the servers also refuse requests and write answers once more while
        faults are injected. The other faults of a seed stay the same.
    with_crowds : bool, default=False
        Whether crowds of clients also send much, send slowly or read nothing. The
        other faults of a seed stay the same.
    node_path : str, default=""
        Folder with the packages that the nodes run; empty for the installed ones.

    Returns
    -------
    SoakReport
        Result with the violations found.
    """
    random_state = random.Random(seed)
    fleet = Fleet(n_nodes, random.Random(seed + 1), FleetPlan(node_path=node_path))
    if with_copies:
        fleet.copy_rate, fleet.copy_state = COPY_RATE, random.Random(f"{seed}/copies")
    await fleet.start(folder)
    callers = [
        Caller(fleet, node, f"{node.name}c{number}", random.Random(f"{seed}/{number}"))
        for node in fleet.nodes
        for number in range(CALLERS_PER_NODE)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    faults = FaultInjector(fleet, random_state)
    crowds = CrowdInjector(fleet, random.Random(f"{seed}/crowds"))
    try:
        await asyncio.gather(
            faults.run(seconds), crowds.run(seconds if with_crowds else 0.0)
        )
        fleet.stop_copies()
        await asyncio.sleep(SETTLE_TIME)
        settled_at = time.monotonic()
        await asyncio.sleep(RECOVERY_TIME)
        crowds.check_all()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.close()
    calls = [call for caller in callers for call in caller.calls]
    return _make_report(seed, fleet, calls, faults, crowds, settled_at)


def _make_report(
    seed: int,
    fleet: Fleet,
    calls: list[Call],
    faults: FaultInjector,
    crowds: CrowdInjector,
    settled_at: float,
) -> SoakReport:
    after_recovery = [
        it
        for it in calls
        if it.sent_at >= settled_at and not it.is_interrupted and not it.crashes
    ]
    recovered = sum(map(_is_served, after_recovery)) / max(1, len(after_recovery))
    violations = find_violations(fleet, calls)
    violations += find_fleet_violations(fleet.arrivals, faults.disturbances)
    violations += crowds.violations
    if recovered < MIN_RECOVERED:
        violations.append(f"{recovered:.2f} served after the last fault")
    return SoakReport(
        seed=seed,
        n_calls=len(calls),
        n_served=sum(map(_is_served, calls)),
        recovered=recovered,
        violations=tuple(violations),
        injected=tuple(sorted([*faults.injected, *crowds.injected])),
        n_copies=sum(it.n_copies for it in fleet.backends.values()),
    )


def _is_served(call: Call) -> bool:
    return call.reply.complete and call.reply.status == 200
