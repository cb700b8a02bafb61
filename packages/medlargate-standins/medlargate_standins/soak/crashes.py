"""Run crash forms: ``python -m medlargate_standins.soak.crashes --seeds 1-3``."""

from __future__ import annotations

import asyncio
import logging
import sys
from pathlib import Path

import click

from ._crash_forms import load_crash_forms
from ._crash_run import run_crash_form
from ._seeds import read_seeds


@click.command()
@click.option("--forms", default="", help="names, separated by commas; all by default")
@click.option("--seeds", default="1", show_default=True, help="for instance 1-3 or 7,9")
@click.option("--seconds", default=12.0, show_default=True)
@click.option("--nodes", default=6, show_default=True)
@click.option(
    "--folder", type=click.Path(path_type=Path), help="logs, by form and seed"
)
@click.option("--node-path", default="", help="folder with the packages of the nodes")
def main(
    forms: str,
    seeds: str,
    seconds: float,
    nodes: int,
    folder: Path | None,
    node_path: str,
) -> None:
    """Run crash forms one after the other; exit with 1 when a bound is exceeded."""
    logging.disable(logging.CRITICAL)
    known = load_crash_forms()
    n_passed = n_failed = 0
    for name in forms.split(",") if forms else known:
        for seed in read_seeds(seeds):
            report = asyncio.run(
                run_crash_form(
                    known[name],
                    seed,
                    seconds=seconds,
                    n_nodes=nodes,
                    folder=folder / f"{name}-{seed}" if folder else None,
                    node_path=node_path,
                )
            )
            click.echo(
                f"{name} seed {seed}: {report.n_late} late, {report.n_crashes} "
                f"crashes, {report.whole:.3f} sound whole, {report.n_blamed} of "
                f"{report.n_sound} blamed"
                + "".join(f"; exceeded: {it}" for it in report.violations)
            )
            n_failed += bool(report.violations)
            n_passed += not report.violations
    click.echo(f"{n_passed} passed, {n_failed} failed")
    sys.exit(1 if n_failed else 0)


if __name__ == "__main__":
    main()
