"""Statements as typed values."""

from __future__ import annotations

from dataclasses import dataclass

Value = str | float | bool | int | list


@dataclass(frozen=True, slots=True)
class Condition:
    """A part of ``where``.

    Attributes
    ----------
    field, operator : str
        What is compared and how; ``~`` means contains.
    value : str, float, int or bool
        With what.
    """

    field: str
    operator: str
    value: Value


@dataclass(frozen=True, slots=True)
class Show:
    """A query.

    Attributes
    ----------
    table : str
        What is listed.
    where : tuple of Condition
        All must hold.
    order_by : str
        Field; empty for the table's own order.
    descending : bool
        Largest first.
    limit : int or None
        Most rows.
    output : str
        ``"table"`` or ``"json"``.
    """

    table: str
    where: tuple[Condition, ...] = ()
    order_by: str = ""
    descending: bool = False
    limit: int | None = None
    output: str = "table"


@dataclass(frozen=True, slots=True)
class Explain:
    """A question for reasons.

    Attributes
    ----------
    subject, name : str
        What and which.
    output : str
        ``"table"`` or ``"json"``.
    """

    subject: str
    name: str
    output: str = "table"


@dataclass(frozen=True, slots=True)
class Command:
    """A change of the configuration.

    Attributes
    ----------
    verb : str
        ``"create"``, ``"change"``, ``"delete"``, ``"drain"``, ``"undrain"`` or
        ``"lift"``.
    kind, name : str
        What is changed.
    values : tuple of (str, value)
        Parameters.
    dry_run : bool
        Only check.
    """

    verb: str
    kind: str
    name: str
    values: tuple[tuple[str, Value], ...] = ()
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class Help:
    """A request for the list of statements."""


Statement = Show | Explain | Command | Help


@dataclass
class StatementError(Exception):
    """A statement that can't be read or carried out.

    Parameters
    ----------
    message : str
        What is wrong.
    position : int
        Offset of the word in the statement, from 0.
    expected : tuple of str
        What could stand there.
    """

    message: str
    position: int = 0
    expected: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        super().__init__(self.message)

    def point_at(self, text: str) -> str:
        """Draw the statement with a mark under the word.

        Parameters
        ----------
        text : str
            The statement.

        Returns
        -------
        str
            Three lines: statement, mark, message.
        """
        line = text.replace("\n", " ").replace("\t", " ")[:200]
        mark = " " * min(self.position, len(line)) + "^"
        return f"{line}\n{mark} {self.message}"


def _format_value(value: Value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    if isinstance(value, str):
        return f'"{value}"'
    return f"{value:f}" if isinstance(value, float) else str(value)


def format_statement(statement: Statement) -> str:
    """Write a statement in its canonical form.

    Parameters
    ----------
    statement : Statement
        Any statement.

    Returns
    -------
    str
        Text that parses to an equal statement.
    """
    match statement:
        case Help():
            return "help"
        case Explain():
            return f"explain {statement.subject} {statement.name} as {statement.output}"
        case Show():
            return _format_show(statement)
        case Command():
            return _format_command(statement)


def _format_show(show: Show) -> str:
    parts = [f"show {show.table}"]
    if show.where:
        conditions = [
            f"{c.field} {c.operator} {_format_value(c.value)}" for c in show.where
        ]
        parts.append("where " + " and ".join(conditions))
    if show.order_by:
        direction = "desc" if show.descending else "asc"
        parts.append(f"order by {show.order_by} {direction}")
    if show.limit is not None:
        parts.append(f"limit {show.limit}")
    parts.append(f"as {show.output}")
    return " ".join(parts)


def _format_command(command: Command) -> str:
    kind = "quarantine" if command.verb == "lift" else command.kind
    parts = [command.verb, kind, command.name]
    if command.values:
        pairs = [f"{name} = {_format_value(value)}" for name, value in command.values]
        parts.append(", ".join(pairs))
    if command.dry_run:
        parts.append("dry run")
    return " ".join(parts)
