"""Compare scheduling policies under load with baselines on the same seeds."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

import click
from medlargate_standins.model import (
    VARIANTS,
    Report,
    Simulation,
    Variant,
    make_agency,
    make_consortium,
    make_partners,
    measure,
)
from rich.console import Console
from rich.table import Table

EXTRA_VARIANTS = (
    Variant("no preemption", preempt=False),
    Variant("no overflow", overflow=False),
    Variant("no overflow, no preemption", overflow=False, preempt=False),
    Variant("slots: each for itself", sharing="each"),
    Variant("slots: load reports", sharing="reports"),
    Variant("slots: equal split", sharing="split"),
    Variant("slots: demand and reports", sharing="demand+reports"),
    Variant("slots: owner grants", sharing="owner"),
    Variant("no exchange of work", share_work=False),
)


def _add_row(table: Table, name: str, report: Report) -> None:
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
        f"{report.served_spread:.3f}",
    )


def _make_table(title: str) -> Table:
    columns = ("variant", "attainment", "goodput", "wasted", "late", "worst")
    return Table(*columns, "spend/service", "cheap", "spread", title=title)


@dataclass(frozen=True)
class Case:
    """Scenario with its interval of measurement.

    Attributes
    ----------
    make : callable
        Function from a variant to its simulation.
    until : float
        Virtual time in seconds at which the simulation ends.
    start, end : float
        Limits of the measured interval in virtual seconds.
    pool : str
        Measured pool.
    heavy : frozenset of str
        Customers that exceed their share of the pool.
    """

    make: Callable[[Variant], Simulation]
    until: float
    start: float
    end: float
    pool: str
    heavy: frozenset[str] = frozenset()


CASES = {
    "agency": Case(make_agency, 200, 30, 140, "drafting"),
    "agency, zone of cheap servers lost": Case(
        partial(make_agency, overload=1.0, zone_loss=True), 200, 55, 120, "drafting"
    ),
    "consortium": Case(
        make_consortium, 260, 20, 200, "tutor", frozenset({"partner-0"})
    ),
    "consortium without the heavy customer": Case(
        partial(make_consortium, heavy=False),
        260,
        20,
        200,
        "tutor",
        frozenset({"partner-0"}),
    ),
    "equal partners": Case(make_partners, 300, 30, 240, "tutor"),
}


def run_case(title: str, variant: Variant) -> Report:
    """Simulate one scenario with one variant.

    Parameters
    ----------
    title : str
        Title of the scenario, a key of ``CASES``.
    variant : Variant
        Scheduling policy of the nodes.

    Returns
    -------
    Report
        Metrics of the run. The same seed gives the same metrics, except after an engine
        crash, where the streams fail in the order of a set.
    """
    case = CASES[title]
    sim = case.make(variant)
    sim.clock.run_until(case.until)
    return measure(
        sim, start=case.start, end=case.end, pool=case.pool, heavy=set(case.heavy)
    )


@click.command()
@click.option("--all-variants", is_flag=True, help="also every single change")
@click.option("--only", default="", help="part of a scenario's name")
def main(all_variants: bool, only: str) -> None:
    """Print one table per scenario."""
    variants = VARIANTS + (EXTRA_VARIANTS if all_variants else ())
    titles = [title for title in CASES if only in title]
    console = Console(width=200)
    with ProcessPoolExecutor() as pool:
        futures = {
            (title, variant): pool.submit(run_case, title, variant)
            for title in titles
            for variant in variants
        }
        for title in titles:
            table = _make_table(title)
            for variant in variants:
                _add_row(table, variant.name, futures[title, variant].result())
            console.print(table)


if __name__ == "__main__":
    main()
