"""Parsed statements and their canonical text."""

from __future__ import annotations

from dataclasses import dataclass

Value = str | float | bool | int | list


@dataclass(frozen=True, slots=True)
class Condition:
    """One comparison in a ``where`` clause.

    Attributes
    ----------
    field, operator : str
        Name of the compared field and the comparison; ``~`` means contains.
    value : str, float, int or bool
        Value that the field is compared with.
    """

    field: str
    operator: str
    value: Value


@dataclass(frozen=True, slots=True)
class Show:
    """A query for the rows of a table.

    Attributes
    ----------
    table : str
        Name of the table.
    where : tuple of Condition
        Conditions that a row must all satisfy.
    order_by : str
        Field to sort by; empty keeps the order of the table.
    descending : bool
        True to sort the largest values first.
    limit : int or None
        Maximum number of rows; None returns all.
    output : str
        Output format, ``"table"`` or ``"json"``.
    """

    table: str
    where: tuple[Condition, ...] = ()
    order_by: str = ""
    descending: bool = False
    limit: int | None = None
    output: str = "table"


@dataclass(frozen=True, slots=True)
class Explain:
    """A query for the decisions behind a request, group of requests or server.

    Attributes
    ----------
    subject, name : str
        Kind and name of the entity, for instance ``"backend"`` and its name.
    output : str
        Output format, ``"table"`` or ``"json"``.
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
        Kind and name of the changed entity.
    values : tuple of (str, value)
        Parameters to set, as pairs of name and value.
    dry_run : bool
        True to check the change without committing it.
    """

    verb: str
    kind: str
    name: str
    values: tuple[tuple[str, Value], ...] = ()
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class Help:
    """A request for an overview of the statements."""


Statement = Show | Explain | Command | Help


@dataclass
class StatementError(Exception):
    """A statement that cannot be parsed or executed.

    Parameters
    ----------
    message : str
        Description of the error.
    position : int
        Offset of the unexpected word in the statement, from 0.
    expected : tuple of str
        Words that are allowed at this position.
    """

    message: str
    position: int = 0
    expected: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        super().__init__(self.message)

    def format_with_caret(self, text: str) -> str:
        """Format the error with a caret under the unexpected word.

        Parameters
        ----------
        text : str
            Statement that was parsed.

        Returns
        -------
        str
            Two lines: the statement, then the caret and the message.
        """
        line = text.replace("\n", " ").replace("\t", " ")[:200]
        caret = " " * min(self.position, len(line)) + "^"
        return f"{line}\n{caret} {self.message}"


def _format_value(value: Value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    if isinstance(value, str):
        return f'"{value}"'
    return f"{value:f}" if isinstance(value, float) else str(value)


def format_statement(statement: Statement) -> str:
    """Format a statement in its canonical form.

    Parameters
    ----------
    statement : Statement
        Parsed statement.

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
