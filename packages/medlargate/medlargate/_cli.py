"""Commands of a node."""

from __future__ import annotations

import asyncio
import sys
import time
from itertools import chain
from pathlib import Path
from typing import TYPE_CHECKING, TextIO

import click

from ._allocator import fix_thresholds
from ._settings import (
    Settings,
    SettingsError,
    SettingsFault,
    check_model,
    read_settings,
)

if TYPE_CHECKING:
    from .fleet import SeedFile

# Each command imports the modules it needs, so that ``serve`` starts faster.

ERROR_EXIT_STATUS = 2
CHARTS = ("request", "node", "lease", "order", "backend", "window", "claim")


@click.group()
@click.version_option(package_name="medlargate")
def main() -> None:
    """Router for language-model traffic with service levels and priorities."""


def _exit_with_faults(exc: SettingsError) -> None:
    for fault in exc.faults:
        click.echo(str(fault), err=True)
    sys.exit(ERROR_EXIT_STATUS)


@main.command()
@click.argument(
    "settings", type=click.Path(path_type=Path), envvar="MEDLARGATE_NODE_FILE"
)
def serve(settings: Path) -> None:
    """Run a node with a SETTINGS file until SIGTERM."""
    try:
        checked = read_settings(settings)
    except SettingsError as exc:
        _exit_with_faults(exc)
    fix_thresholds()
    if checked.ingress is not None:
        _run_relay(checked, settings)
        return
    from .telemetry import configure_logging

    configure_logging(level=checked.log.level, node=checked.node.name)
    asyncio.run(_run_gateway(checked))


def _run_relay(checked: Settings, file: Path) -> None:
    from .relay import RelayNode
    from .telemetry import write_logs_to

    writer = write_logs_to(1, level=checked.log.level, node=checked.node.name)
    node = RelayNode(checked, writer, lambda: read_settings(file))
    asyncio.run(node.run())


async def _run_gateway(checked: Settings) -> None:
    from .gateway import Node, make_app, run_node

    node = Node(checked)
    await run_node(node, make_app(node))


@main.command()
@click.argument("settings", nargs=-1, type=click.Path(path_type=Path))
@click.option(
    "--config",
    type=click.Path(path_type=Path),
    help="seed file with the operators' configuration",
)
def check(settings: tuple[Path, ...], config: Path | None) -> None:
    """Validate SETTINGS files and list all errors with file, line and field."""
    faults = []
    for path in settings:
        try:
            read_settings(path)
        except SettingsError as exc:
            faults.extend(exc.faults)
    if config is not None:
        faults.extend(_check_config(config))
    if faults:
        _exit_with_faults(SettingsError(faults))
    click.echo(f"{len(settings) + (config is not None)} files without faults")


def _check_config(path: Path) -> list[SettingsFault]:
    """Validate a seed file, its entities and the references between them."""
    from .fleet import Config, ConfigError, SeedFile, check_operations

    try:
        seed = check_model(path.read_text(), str(path), SeedFile)
    except SettingsError as exc:
        return exc.faults
    except OSError as exc:
        return [SettingsFault(str(path), 0, "(file)", str(exc))]
    try:
        check_operations(Config(), seed.make_operations())
    except ConfigError as exc:
        return [SettingsFault(str(path), 0, "(references)", str(exc))]
    return []


@main.command()
@click.argument("seed", type=click.Path(path_type=Path))
@click.option(
    "--address", default="127.0.0.1", show_default=True, help="address of the platform"
)
@click.option("--port", default=2379, show_default=True)
def seed(seed: Path, address: str, port: int) -> None:
    """Write a SEED file as the first configuration into the platform's store."""
    from .fleet import SeedFile

    faults = _check_config(seed)
    if faults:
        _exit_with_faults(SettingsError(faults))
    checked = check_model(seed.read_text(), str(seed), SeedFile)
    click.echo(f"revision {asyncio.run(_write_seed(checked, address, port))}")


async def _write_seed(checked: SeedFile, address: str, port: int) -> int:
    from .fleet import ConfigReplica
    from .platform import HttpStore

    store = HttpStore(f"http://{address}:{port}")
    replica = ConfigReplica(time.monotonic)
    (await replica.sync(store)).unwrap()
    done = await replica.commit(
        store, checked.make_operations(), change_id="seed", author="seed"
    )
    await store.close()
    return done.unwrap()


@main.command()
def reference() -> None:
    """Print a Markdown reference of all settings and the configuration."""
    from .fleet import SeedFile

    for title, model in (("Node settings", Settings), ("Configuration", SeedFile)):
        click.echo(f"## {title}\n")
        definitions = model.model_json_schema()["$defs"]
        for name, section in definitions.items():
            _write_section(name, section)


def _write_section(name: str, section: dict) -> None:
    click.echo(f"### {name}\n\n{section.get('description', '')}\n")
    click.echo("| parameter | default | range | meaning |\n| --- | --- | --- | --- |")
    for field, schema in section.get("properties", {}).items():
        default = schema.get("default", "required")
        bounds = _format_bounds(schema)
        meaning = schema.get("description", "")
        click.echo(f"| `{field}` | {default} | {bounds} | {meaning} |")
    click.echo("")


def _format_bounds(schema: dict) -> str:
    if "enum" in schema:
        return ", ".join(map(str, schema["enum"]))
    low = schema.get("minimum", schema.get("exclusiveMinimum"))
    high = schema.get("maximum", schema.get("exclusiveMaximum"))
    if low is None and high is None:
        return schema.get("type", "")
    mark = "over " if "exclusiveMinimum" in schema else ""
    return f"{mark}{low} to {high}"


@main.command()
def charts() -> None:
    """Print the state charts as Mermaid diagrams."""
    from .charts import load_chart, make_mermaid

    for name in CHARTS:
        click.echo(f"## {name}\n\n```mermaid\n{make_mermaid(load_chart(name))}\n```\n")


@main.command()
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
def explain(request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Show the path of REQUEST_ID from the LOGS of any nodes or standard input."""
    from .telemetry import explain_request

    streams = logs or (sys.stdin,)
    report = explain_request(chain.from_iterable(streams), request_id)
    for line in report:
        click.echo(line)
    if not report:
        click.echo(f"no log line for request {request_id}", err=True)
        sys.exit(1)


@main.command()
@click.option("--node", required=True, help="URL of the node's metrics port")
@click.option("--route", required=True)
@click.option("--customer", default="", help="none for a public route")
@click.option("--tokens", default="", help="prompt and output tokens, as 900,40")
@click.option("--prefix", default="", help="shared prompt parts, as ID:TOKENS,...")
@click.option("--session", default="", help="id of the session's prompt part")
@click.option("--bytes", "n_bytes", default=0, help="size of the body")
@click.option("--json", "as_json", is_flag=True, help="print the answer as JSON")
def where(
    node: str,
    route: str,
    customer: str,
    tokens: str,
    prefix: str,
    session: str,
    n_bytes: int,
    as_json: bool,
) -> None:
    """Show where a request would go now and why; nothing is sent."""
    from ._where import ask_node, format_answer

    query = {
        "route": route,
        "customer": customer,
        "tokens": tokens,
        "prefix": prefix,
        "session": session,
        "bytes": str(n_bytes) if n_bytes else "",
    }
    answer = ask_node(node, query)
    if as_json:
        import orjson

        click.echo(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
        return
    for line in format_answer(answer):
        click.echo(line)


@main.command()
@click.option("--port", default=8080, show_default=True, help="0 for any free port")
@click.option("--log-level", default="WARNING", show_default=True)
def demo(port: int, log_level: str) -> None:
    """Run a node and stand-ins for all external services in one process."""
    try:
        from medlargate_standins.demo import run_demo
    except ImportError:
        click.echo("the demo requires the package medlargate-standins", err=True)
        sys.exit(ERROR_EXIT_STATUS)
    from .telemetry import configure_logging

    configure_logging(level=log_level, node="demo")
    asyncio.run(run_demo(port))
