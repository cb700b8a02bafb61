"""Compare the decisions under load with baselines on the same seeds."""

from __future__ import annotations

import time

import click
from medlargate_standins.model import (
    VARIANTS,
    Report,
    Variant,
    make_agency,
    make_consortium,
    make_partners,
    measure,
)
from rich.console import Console
from rich.table import Table

MORE = (
    Variant("no preemption", preempt=False),
    Variant("no preemption, reserve", preempt=False, reserve=0.5),
    Variant("slots: each for itself", sharing="each"),
    Variant("slots: load reports", sharing="reports"),
    Variant("slots: equal split", sharing="split"),
    Variant("slots: demand and reports", sharing="demand+reports"),
    Variant("slots: owner grants", sharing="owner"),
    Variant("no exchange of work", exchange=False),
)


def _row(table: Table, name: str, report: Report, extra: str, elapsed: float) -> None:
    classes = " ".join(f"{k}={v:.3f}" for k, v in report.attainment.items())
    table.add_row(
        name,
        classes,
        f"{report.goodput:.3f}",
        f"{report.wasted:.3f}",
        f"{report.late:.3f}",
        f"{report.worst_customer:.3f}",
        f"{report.spending:.2f}",
        f"{report.cheap:.2f}",
        extra,
        f"{elapsed:.1f}",
    )


def _table(title: str) -> Table:
    columns = ("variant", "attainment", "goodput", "wasted", "late", "worst")
    return Table(*columns, "spend/service", "cheap", "spread", "run s", title=title)


def _run(make, variant: Variant, until: float, **bounds) -> tuple[Report, float]:
    begun = time.perf_counter()
    sim = make(variant)
    sim.clock.run_until(until)
    return measure(sim, **bounds), time.perf_counter() - begun


@click.command()
@click.option("--all-variants", is_flag=True, help="also every single change")
@click.option("--only", default="", help="part of a scenario's name")
def main(all_variants: bool, only: str) -> None:
    """Print one table per scenario."""
    variants = VARIANTS + (MORE if all_variants else ())
    heavy = {"partner-0"}
    scenarios = {
        "agency": (
            make_agency,
            200,
            {"start": 30, "end": 140, "pool": "drafting", "heavy": set()},
        ),
        "agency, zone of cheap servers lost": (
            lambda v: make_agency(v, overload=1.0, zone_loss=True),
            200,
            {"start": 55, "end": 120, "pool": "drafting", "heavy": set()},
        ),
        "consortium": (
            make_consortium,
            260,
            {"start": 20, "end": 200, "pool": "tutor", "heavy": heavy},
        ),
        "consortium without the heavy customer": (
            lambda v: make_consortium(v, heavy=False),
            260,
            {"start": 20, "end": 200, "pool": "tutor", "heavy": heavy},
        ),
        "equal partners": (
            make_partners,
            300,
            {"start": 30, "end": 240, "pool": "tutor", "heavy": set()},
        ),
    }
    console = Console(width=200)
    for title, (make, end, bounds) in scenarios.items():
        if only not in title:
            continue
        table = _table(title)
        for variant in variants:
            report, elapsed = _run(make, variant, end, **bounds)
            _row(table, variant.name, report, f"{report.served_spread:.3f}", elapsed)
        console.print(table)


if __name__ == "__main__":
    main()
