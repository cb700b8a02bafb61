"""Run soak tests by seed: ``python -m medlargate_standins.soak --seeds 1-50``."""

from __future__ import annotations

import asyncio
import logging
import secrets
import sys
from pathlib import Path
from typing import Any

import click

from ._run import run_soak
from ._scenario import load_scenario
from ._scenario_run import run_scenario
from ._seeds import read_seeds
from ._series import PROFILES

N_FRESH_BITS = 31  # size of a random seed


@click.command()
@click.option("--seeds", default="", help="for instance 1-50 or 7,9; fresh by default")
@click.option("--count", default=1, show_default=True, help="fresh seeds")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--nodes", type=int, help="4 by default, or the scenario's number")
@click.option("--copies", is_flag=True, help="servers also write answers twice")
@click.option("--crowds", is_flag=True, help="clients that send much or read nothing")
@click.option("--folder", type=click.Path(path_type=Path), help="logs, by seed")
@click.option("--scenario", help="name of a scenario, or a YAML file")
@click.option("--profile", type=click.Choice(sorted(PROFILES)), default="mixed")
@click.option("--callers", default=60, show_default=True, help="of a scenario")
@click.option("--node-path", default="", help="folder with the packages of the nodes")
def main(
    seeds: str,
    count: int,
    seconds: float,
    nodes: int | None,
    copies: bool,
    crowds: bool,
    folder: Path | None,
    scenario: str | None,
    profile: str,
    callers: int,
    node_path: str,
) -> None:
    """Run soaks one after the other; exit with 1 when a promise broke.

    With a scenario, series of faults from a profile replace the random faults.
    """
    logging.disable(logging.CRITICAL)
    selected = read_seeds(seeds) or [
        secrets.randbits(N_FRESH_BITS) for _ in range(count)
    ]
    n_failed = 0
    for seed in selected:
        run_folder = folder / str(seed) if folder is not None else None
        if scenario is None:
            options = {
                "with_copies": copies,
                "with_crowds": crowds,
                "node_path": node_path,
            }
            run = _run_random_faults(seed, seconds, nodes or 4, run_folder, options)
        else:
            options = {"profile": profile, "n_callers": callers, "node_path": node_path}
            run = _run_scenario(scenario, seed, seconds, nodes, run_folder, options)
        n_failed += not asyncio.run(run)
    click.echo(f"{len(selected) - n_failed} passed, {n_failed} failed")
    sys.exit(1 if n_failed else 0)


async def _run_random_faults(
    seed: int,
    seconds: float,
    n_nodes: int,
    folder: Path | None,
    options: dict[str, Any],
) -> bool:
    report = await run_soak(
        seed, seconds=seconds, n_nodes=n_nodes, folder=folder, **options
    )
    click.echo(
        f"seed {seed}: {report.n_served} of {report.n_calls} served, "
        f"{report.recovered:.2f} after the last of {len(report.injected)} faults, "
        f"{len(report.violations)} promises broken, {report.n_copies} answers twice"
    )
    for line in (*report.violations, *report.injected) if report.violations else ():
        click.echo(f"    {line}")
    return report.passed


async def _run_scenario(
    name: str,
    seed: int,
    seconds: float,
    n_nodes: int | None,
    folder: Path | None,
    options: dict[str, Any],
) -> bool:
    scenario = load_scenario(name)
    if n_nodes is not None:
        scenario = scenario.model_copy(update={"n_nodes": n_nodes})
    report = await run_scenario(
        scenario, seed, seconds=seconds, folder=folder, **options
    )
    click.echo(
        f"{scenario.name} seed {seed}: {report.n_served} of {report.n_calls} served, "
        f"{report.n_lost} lost, {report.n_exceeded} on too many servers, "
        f"{len(report.violations)} violations"
    )
    for line in (*report.violations, *report.findings):
        click.echo(f"    {line}")
    for line in report.faults if report.violations else ():
        click.echo(f"    fault {line}")
    return report.passed


if __name__ == "__main__":
    main()
