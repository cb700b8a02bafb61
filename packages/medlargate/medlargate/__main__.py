"""Command line of a node."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from ._settings import SettingsError, check_model, read_settings
from .charts import load_chart, make_mermaid
from .fleet import SeedFile
from .gateway import Node, make_app, run_node
from .telemetry import configure_logging

FAULT_STATUS = 2
CHARTS = ("request", "node", "lease", "order", "backend", "window", "claim")


@click.group()
@click.version_option(package_name="medlargate")
def main() -> None:
    """Router for language-model traffic with service levels and priorities."""


def _exit_with_faults(exc: SettingsError) -> None:
    for fault in exc.faults:
        click.echo(str(fault), err=True)
    sys.exit(FAULT_STATUS)


@main.command()
@click.argument("settings", type=click.Path(path_type=Path))
def serve(settings: Path) -> None:
    """Run a node with a SETTINGS file until SIGTERM."""
    try:
        checked = read_settings(settings)
    except SettingsError as exc:
        _exit_with_faults(exc)
    configure_logging(level=checked.log.level, node=checked.node.name)
    asyncio.run(_serve(checked))


async def _serve(checked) -> None:
    node = Node(checked)
    await run_node(node, make_app(node))


@main.command()
@click.argument("settings", nargs=-1, type=click.Path(path_type=Path))
@click.option("--config", type=click.Path(path_type=Path), help="operators' seed file")
def check(settings: tuple[Path, ...], config: Path | None) -> None:
    """Check SETTINGS files and name every fault with file, line and field."""
    faults = []
    for path in settings:
        try:
            read_settings(path)
        except SettingsError as exc:
            faults.extend(exc.faults)
    if config is not None:
        try:
            check_model(config.read_text(), str(config), SeedFile)
        except SettingsError as exc:
            faults.extend(exc.faults)
    if faults:
        _exit_with_faults(SettingsError(faults))
    click.echo(f"{len(settings) + (config is not None)} files without faults")


@main.command()
def charts() -> None:
    """Draw the state charts as Mermaid diagrams."""
    for name in CHARTS:
        click.echo(f"## {name}\n\n```mermaid\n{make_mermaid(load_chart(name))}\n```\n")


@main.command()
@click.option("--port", default=8080, show_default=True, help="0 for any free port")
@click.option("--log-level", default="WARNING", show_default=True)
def demo(port: int, log_level: str) -> None:
    """Run a node with stand-ins for everything outside in one process."""
    try:
        from medlargate_standins.demo import run_demo
    except ImportError:
        click.echo("the demo needs the package medlargate-standins", err=True)
        sys.exit(FAULT_STATUS)
    configure_logging(level=log_level, node="demo")
    asyncio.run(run_demo(port))


if __name__ == "__main__":
    main()
