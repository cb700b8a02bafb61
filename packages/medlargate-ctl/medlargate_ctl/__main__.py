"""Command-line client that sends queries and commands to a node."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from typing import Any

import aiohttp
import click
from medlargate.operators import list_completions
from rich.console import Console
from rich.table import Table

ERROR_EXIT_STATUS = 1
MAX_CELL_LENGTH = 60  # characters
NON_TERMINAL_WIDTH = 200  # characters per line when output is not a terminal
TIMEOUT = 90.0  # seconds for a whole call, the time of --wait included


async def send_statement(
    address: str, key: str, statement: str, *, wait: float = 0.0
) -> tuple[int, dict[str, Any]]:
    """Send one statement to a node.

    Parameters
    ----------
    address : str
        Base URL of the node.
    key : str
        Secret of an operator key.
    statement : str
        Statement to execute.
    wait : float, default=0.0
        Maximum time in seconds to wait until a change is in force on every live node.

    Returns
    -------
    tuple of (int, dict)
        HTTP status and the decoded answer.
    """
    headers = {"Authorization": f"Bearer {key}"}
    body = json.dumps({"statement": statement, "wait": wait})
    timeout = aiohttp.ClientTimeout(total=TIMEOUT)
    async with (
        aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
        session.post(address.rstrip("/") + "/operator", data=body) as resp,
    ):
        return resp.status, await resp.json()


def make_table(rows: list[dict[str, Any]]) -> Table:
    """Make a terminal table of rows.

    Parameters
    ----------
    rows : list of dict
        Rows; a field that a row lacks is shown as ``-``.

    Returns
    -------
    Table
        One column per field, in the order of first occurrence.
    """
    fields = list(dict.fromkeys(field for row in rows for field in row))
    table = Table(*fields)
    for row in rows:
        table.add_row(*(format_cell(row.get(field)) for field in fields))
    return table


def format_cell(value: Any) -> str:
    """Format a value for a table cell.

    Parameters
    ----------
    value : object
        Decoded JSON value.

    Returns
    -------
    str
        Text of at most ``MAX_CELL_LENGTH`` characters; longer values are cut off.
    """
    if value is None:
        return "-"
    if isinstance(value, list | dict):
        value = json.dumps(value)
    text = str(value)
    return text if len(text) <= MAX_CELL_LENGTH else text[: MAX_CELL_LENGTH - 1] + "…"


def print_answer(console: Console, answer: dict[str, Any], *, as_json: bool) -> None:
    """Print the answer to a statement.

    Parameters
    ----------
    console : Console
        Console for tables.
    answer : dict
        Decoded answer, as returned by ``send_statement``.
    as_json : bool
        True to print the answer as JSON.
    """
    if as_json or answer.get("output") == "json":
        click.echo(json.dumps(answer, indent=2))
    elif "help" in answer:
        click.echo(answer["help"])
    elif "rows" in answer:
        console.print(make_table(answer["rows"]))
        _print_coverage(answer)
    elif "answers" in answer:
        _print_explanations(console, answer["answers"])
    else:
        for field, value in answer.items():
            click.echo(f"{field}: {format_cell(value)}")


def _print_coverage(answer: dict[str, Any]) -> None:
    """Print the numbers of rows and nodes, the revision, and the nodes not heard."""
    click.echo(
        f"{len(answer['rows'])} rows from {answer['nodes_heard']} nodes, "
        f"revision {answer['revision']}"
    )
    for name, age in answer["nodes_not_heard"].items():
        click.echo(f"no answer from {name}, last heard {age} s ago")


def _print_explanations(console: Console, answers: list[dict[str, Any]]) -> None:
    """Print the fields of each answer, then a table of its steps, if it has any.

    The steps are removed from ``answers``.
    """
    for part in answers:
        steps = part.pop("steps", None)
        for field, value in part.items():
            click.echo(f"{field}: {format_cell(value)}")
        if steps is not None:
            rows = [
                {
                    "at": step.pop("at"),
                    "step": step.pop("kind"),
                    "reasons": ", ".join(
                        f"{k}={format_cell(v)}" for k, v in step.items()
                    ),
                }
                for step in steps
            ]
            console.print(make_table(rows))


def _complete_statement(
    _ctx: click.Context, _param: click.Parameter, text: str
) -> list[str]:
    return list_completions(text)


@click.command()
@click.version_option(package_name="medlargate-ctl")
@click.option(
    "--address",
    envvar="MEDLARGATE_ADDRESS",
    default="http://127.0.0.1:8080",
    show_default=True,
    help="base URL of any node",
)
@click.option(
    "--key", envvar="MEDLARGATE_OPERATOR_KEY", help="secret of an operator key"
)
@click.option(
    "--wait", default=0.0, help="maximum seconds to wait until a change is in force"
)
@click.option("--json", "as_json", is_flag=True, help="print JSON")
@click.argument("statement", nargs=-1, shell_complete=_complete_statement)
def main(
    address: str,
    key: str | None,
    wait: float,
    as_json: bool,
    statement: tuple[str, ...],
) -> None:
    """Send a STATEMENT to a node; without one, read statements line by line."""
    if not key:
        click.echo("MEDLARGATE_OPERATOR_KEY or --key is required", err=True)
        sys.exit(2)
    if statement:
        text = " ".join(statement)
        sys.exit(run_statement(address, key, text, wait=wait, as_json=as_json))
    run_shell(address, key, wait=wait, as_json=as_json)


def run_statement(
    address: str, key: str, text: str, *, wait: float, as_json: bool
) -> int:
    """Send a statement and print the answer.

    Parameters
    ----------
    address, key, text : str
        Base URL of the node, secret of an operator key, and the statement.
    wait : float
        Maximum time in seconds to wait until a change is in force.
    as_json : bool
        True to print the answer as JSON.

    Returns
    -------
    int
        Exit status: 0 on success, ``ERROR_EXIT_STATUS`` otherwise.
    """
    try:
        status, answer = asyncio.run(send_statement(address, key, text, wait=wait))
    except (aiohttp.ClientError, TimeoutError) as exc:
        click.echo(f"cannot get an answer from {address}: {exc}", err=True)
        return ERROR_EXIT_STATUS
    if status != 200:
        error = answer.get("error", {})
        click.echo(error.get("pointed") or error.get("message"), err=True)
        return ERROR_EXIT_STATUS
    width = None if sys.stdout.isatty() else NON_TERMINAL_WIDTH
    print_answer(Console(width=width), answer, as_json=as_json)
    return 0


def run_shell(address: str, key: str, *, wait: float, as_json: bool) -> None:
    """Read and execute statements line by line, with history and completion.

    Parameters
    ----------
    address, key : str
        Base URL of the node and secret of an operator key.
    wait : float
        Maximum time in seconds to wait until a change is in force.
    as_json : bool
        True to print answers as JSON.
    """
    with contextlib.suppress(ImportError):
        _enable_completion()
    while True:
        try:
            text = input("medlargate> " if sys.stdin.isatty() else "")
        except EOFError:
            return
        if text.strip() in ("quit", "exit"):
            return
        if text.strip():
            run_statement(address, key, text, wait=wait, as_json=as_json)


def _enable_completion() -> None:
    import readline

    def complete(_: str, state: int) -> str | None:
        words = list_completions(readline.get_line_buffer())
        return words[state] + " " if state < len(words) else None

    readline.set_completer(complete)
    readline.parse_and_bind("tab: complete")


if __name__ == "__main__":
    main()
