"""Run soak tests by seed: ``python -m medlargate_standins.soak --seeds 1-50``."""

from __future__ import annotations

import asyncio
import logging
import secrets
import sys
from pathlib import Path

import click

from ._run import run_soak

N_FRESH_BITS = 31  # size of a random seed


@click.command()
@click.option("--seeds", default="", help="for instance 1-50 or 7,9; fresh by default")
@click.option("--count", default=1, show_default=True, help="fresh seeds")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--nodes", default=4, show_default=True)
@click.option("--copies", is_flag=True, help="servers also write answers twice")
@click.option("--folder", type=click.Path(path_type=Path), help="logs, by seed")
def main(
    seeds: str,
    count: int,
    seconds: float,
    nodes: int,
    copies: bool,
    folder: Path | None,
) -> None:
    """Run soaks one after the other; exit with 1 when a promise broke."""
    logging.disable(logging.CRITICAL)
    selected = _read_seeds(seeds) or [
        secrets.randbits(N_FRESH_BITS) for _ in range(count)
    ]
    n_failed = 0
    for seed in selected:
        run_folder = folder / str(seed) if folder is not None else None
        report = asyncio.run(
            run_soak(
                seed,
                seconds=seconds,
                n_nodes=nodes,
                folder=run_folder,
                with_copies=copies,
            )
        )
        n_failed += not report.passed
        click.echo(
            f"seed {seed}: {report.n_served} of {report.n_calls} served, "
            f"{report.recovered:.2f} after the last of {len(report.injected)} faults, "
            f"{len(report.violations)} promises broken, {report.n_copies} answers twice"
        )
        for line in (*report.violations, *report.injected) if report.violations else ():
            click.echo(f"    {line}")
    click.echo(f"{len(selected) - n_failed} passed, {n_failed} failed")
    sys.exit(1 if n_failed else 0)


def _read_seeds(text: str) -> list[int]:
    seeds: list[int] = []
    for part in filter(None, text.split(",")):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


if __name__ == "__main__":
    main()
