"""Run of a scenario: load, a series of faults, and the judgement of the records."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from ..backend import Backend, ReceivedRequest, Run
from ._attempt_counts import MAX_EXCEEDED, find_exceeded_attempts, find_worst_window
from ._departures import list_arrivals_after_departures
from ._fleet import Fleet, FleetPlan
from ._lost_requests import find_lost_requests
from ._scenario import Scenario
from ._series import SeriesInjector
from ._starved_kinds import find_starved_kinds
from ._traffic import Balancer, CallRecord, KeepingCaller

WARM_UP_TIME = 2.0  # seconds of load before the first fault
SETTLE_TIME = 4.0  # seconds of load after the last fault
FAULTY_BEHAVIOURS = ("silent", "silent-after:3", "reset-after:2")


@dataclass(frozen=True)
class ScenarioReport:
    """Result of a scenario.

    Attributes
    ----------
    seed : int
        Seed of the run.
    n_calls, n_served : int
        Requests, and those that were answered with success.
    n_lost, n_exceeded : int
        Lost requests, and those that ran on more servers than allowed.
    violations : tuple of str
        Description of each broken rule.
    findings : tuple of str
        What was seen, whether or not it breaks a rule.
    faults : tuple of str
        Description of each fault.
    """

    seed: int
    n_calls: int
    n_served: int
    n_lost: int
    n_exceeded: int
    violations: tuple[str, ...]
    findings: tuple[str, ...]
    faults: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether no rule was broken."""
        return not self.violations


def make_plan(scenario: Scenario, *, node_path: str = "") -> FleetPlan:
    """Return the plan of a scenario's fleet.

    Parameters
    ----------
    scenario : Scenario
        Services and bounds.
    node_path : str
        Folder with the packages that the nodes run; empty for the installed ones.
    """

    def make_backend(name: str, service: str, zone: str) -> Backend:
        plan = scenario.services[service]
        backend = Backend(name, service, zone, slots=plan.slots)
        backend.max_waiting = plan.max_waiting
        backend.choose_work = lambda req: scenario.get_kind(_get_kind(req)).draw_work(
            random.Random(req.request_id)
        )
        return backend

    return FleetPlan(
        make_config=scenario.make_config,
        servers=tuple(
            (f"{service}-{number}", service)
            for service, plan in scenario.services.items()
            for number in range(plan.n_servers)
        ),
        make_backend=make_backend,
        domains=tuple(scenario.domains),
        grace=scenario.grace,
        ingress={"duties": "metering,autoscale", **scenario.ingress},
        settings={
            "load": {"connection_preference": 0.02, "machine_speed": False},
            "spill": {"mode": "off"},
        },
        faulty_behaviours=FAULTY_BEHAVIOURS,
        has_node_links=True,
        node_path=node_path,
    )


def _get_kind(req: ReceivedRequest) -> str:
    return req.target.split("/")[1]


async def run_scenario(
    scenario: Scenario,
    seed: int,
    *,
    profile: str = "mixed",
    seconds: float = 30.0,
    n_callers: int = 60,
    folder: Path | None = None,
    node_path: str = "",
) -> ScenarioReport:
    """Run a scenario once.

    Parameters
    ----------
    scenario : Scenario
        Deployment and load.
    seed : int
        Seed of the faults and the requests.
    profile : str, default="mixed"
        Name of the profile of faults.
    seconds : float, default=30.0
        Period in which faults start.
    n_callers : int, default=60
        Number of callers.
    folder : Path or None
        Folder for the settings and logs of the nodes; a temporary one by default.
    node_path : str
        Folder with the packages that the nodes run; empty for the installed ones.

    Returns
    -------
    ScenarioReport
        Result with the broken rules.
    """
    plan = make_plan(scenario, node_path=node_path)
    fleet = Fleet(scenario.n_nodes, random.Random(f"{seed}/servers"), plan)
    await fleet.start(folder)
    balancer = Balancer(fleet, random.Random(f"{seed}/balancer"))
    callers = [
        KeepingCaller(
            f"k{number}",
            scenario.domains[number % len(scenario.domains)],
            fleet,
            balancer,
            scenario,
            random.Random(f"{seed}/{number}"),
        )
        for number in range(n_callers)
    ]
    injector = SeriesInjector(fleet, random.Random(seed))
    tasks = [asyncio.create_task(it.run()) for it in (balancer, *callers)]
    try:
        await asyncio.sleep(WARM_UP_TIME)
        await injector.run(profile, seconds)
        await asyncio.sleep(SETTLE_TIME)
    finally:
        ended_at = time.monotonic()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.close()
    calls = [it for caller in callers for it in caller.calls if it.ended_at < ended_at]
    return _make_report(scenario, seed, fleet, calls, injector)


def _make_report(
    scenario: Scenario,
    seed: int,
    fleet: Fleet,
    calls: list[CallRecord],
    injector: SeriesInjector,
) -> ScenarioReport:
    runs = [run for it in fleet.backends.values() for run in it.executions]
    lost = find_lost_requests(calls, runs, injector.faults, grace=scenario.grace)
    exceeded = find_exceeded_attempts(calls, runs, injector.faults, scenario)
    violations = [str(it) for it in lost] + injector.own_ends
    violations += _find_repeated_runs(scenario, calls, runs)
    drain_bound = scenario.ingress["drain_bound_ms"] / 1000
    lags = list_arrivals_after_departures(
        fleet.arrivals, fleet.departures, calls, injector.faults
    )
    violations += [text for lag, text in lags if lag > drain_bound]
    violations += find_starved_kinds(calls, runs, injector.faults, scenario)
    findings = [text for _, text in lags[:1]]
    (violations if len(exceeded) > MAX_EXCEEDED else findings).extend(exceeded)
    for service in scenario.services:
        n_repeats, n_allowed = _find_worst_repeats(scenario, service, fleet, calls)
        text = f"{service}: {n_repeats} repeats of {n_allowed:.0f} allowed"
        (violations if n_repeats > n_allowed else findings).append(text)
    return ScenarioReport(
        seed=seed,
        n_calls=len(calls),
        n_served=sum(it.end == "answered" and it.status == 200 for it in calls),
        n_lost=len(lost),
        n_exceeded=len(exceeded),
        violations=tuple(violations),
        findings=(*findings, *_count_ends(calls)),
        faults=tuple(injector.describe()),
    )


def _count_ends(calls: list[CallRecord]) -> list[str]:
    counts = Counter(f"{it.kind} {it.end} {it.status}" for it in calls)
    return [f"{name}: {count}" for name, count in sorted(counts.items())]


def _find_repeated_runs(
    scenario: Scenario, calls: list[CallRecord], runs: list[Run]
) -> list[str]:
    """Find requests that ran more than once although they may not be repeated."""
    n_runs = Counter(it.request_id for it in runs)
    return [
        f"{it.request_id} {it.kind} ran {n_runs[it.request_id]} times"
        for it in calls
        if n_runs[it.request_id] > 1 and not scenario.get_kind(it.kind).is_repeatable
    ]


def _find_worst_repeats(
    scenario: Scenario, service: str, fleet: Fleet, calls: list[CallRecord]
) -> tuple[int, float]:
    names = {it.name for it in scenario.kinds if it.service == service}
    sent_at = sorted(it.sent_at for it in calls if it.kind in names)
    seen: set[str] = set()
    repeated_at = []
    for arrival in sorted(fleet.arrivals, key=lambda it: it.at):
        if fleet.backends[arrival.server].service != service:
            continue
        if arrival.request_id in seen:
            repeated_at.append(arrival.at)
        seen.add(arrival.request_id)
    return find_worst_window(sent_at, repeated_at, scenario.ingress)
