"""Parses operators' statements with the grammar in ``grammar.lark``."""

from __future__ import annotations

from functools import cache
from importlib import resources

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedToken, VisitError

from ._statements import Command, Condition, Explain, Help, Show, Statement
from ._statements import StatementError as Error

MAX_STATEMENT_LENGTH = 10_000
TERMINAL_DESCRIPTIONS = {
    "TABLE": "customers|keys|classes|tiers|routes|backends|nodes|domains|leases|"
    "windows|quarantine|pools|events",
    "KIND": "customer|key|class|route|backend",
    "TARGET": "backend|domain",
    "SUBJECT": "request|customer|class|backend",
    "FORMAT": "table|json",
    "DIRECTION": "asc|desc",
    "FIELD": "a field",
    "NAME": "a name",
    "WORD": "a word",
    "NUMBER": "a number",
    "STRING": "a quoted text",
    "COUNT": "a whole number",
    "OPERATOR": "=|!=|<|<=|>|>=|~",
    "BOOLEAN": "true|false",
    "EQUAL": "=",
    "COMMA": ",",
    "LSQB": "[",
    "RSQB": "]",
    "$END": "the end",
}


@cache
def _make_parser() -> Lark:
    text = resources.files(__package__).joinpath("grammar.lark").read_text()
    return Lark(text, parser="lalr", lexer="contextual", propagate_positions=True)


def _find_instance(items: list, kind: type, default):
    return next((item for item in items if isinstance(item, kind)), default)


class _OrderBy(tuple):
    """Parsed ``order by``: field name, and whether the order is descending."""


class _Limit(int):
    """Parsed ``limit``: maximum number of rows."""


class _Output(str):
    """Parsed ``as``: output format of the answer."""


class _Where(tuple):
    """Parsed ``where``: conditions that must all hold."""


class _DryRun:
    """Parsed ``dry run``."""


@v_args(inline=True)
class _StatementBuilder(Transformer):
    """Converts the parse tree to statements; methods are named for grammar rules."""

    def start(self, statement: Statement) -> Statement:
        return statement

    def number(self, token: Token) -> float | int:
        return float(token) if "." in token else int(token)

    def string(self, token: Token) -> str:
        return str(token)[1:-1]

    def boolean(self, token: Token) -> bool:
        return token.lower() == "true"

    def word(self, token: Token) -> str:
        return str(token)

    def list(self, *items) -> list:
        return [item for item in items if item is not None]

    def assignment(self, field: Token, value) -> tuple:
        return (str(field), value)

    def assignments(self, *pairs) -> tuple:
        return pairs

    def condition(self, field: Token, operator: Token, value) -> Condition:
        return Condition(str(field), str(operator), value)

    def where(self, *conditions) -> _Where:
        return _Where(conditions)

    def order(self, field: Token, direction: Token | None = None) -> _OrderBy:
        return _OrderBy((str(field), (direction or "asc").lower() == "desc"))

    def limit(self, count: Token) -> _Limit:
        return _Limit(count)

    def output(self, output_format: Token) -> _Output:
        return _Output(output_format.lower())

    def dry(self) -> _DryRun:
        return _DryRun()

    def show(self, table: Token, *clauses) -> Show:
        order = _find_instance(clauses, _OrderBy, _OrderBy(("", False)))
        limit = _find_instance(clauses, _Limit, None)
        return Show(
            table.lower(),
            tuple(_find_instance(clauses, _Where, ())),
            order[0],
            order[1],
            None if limit is None else int(limit),
            str(_find_instance(clauses, _Output, "table")),
        )

    def explain(
        self, subject: Token, name: Token, output_format: _Output | None = None
    ):
        return Explain(subject.lower(), str(name), str(output_format or "table"))

    def _make_command(
        self, verb: str, kind: str, name: Token, clauses: tuple
    ) -> Command:
        dry_run = any(isinstance(item, _DryRun) for item in clauses)
        values = next((item for item in clauses if isinstance(item, tuple)), ())
        return Command(verb, kind.lower(), str(name), values, dry_run)

    def create(self, kind: Token, name: Token, *clauses) -> Command:
        return self._make_command("create", kind, name, clauses)

    def change(self, kind: Token, name: Token, *clauses) -> Command:
        return self._make_command("change", kind, name, clauses)

    def remove(self, kind: Token, name: Token, *clauses) -> Command:
        return self._make_command("delete", kind, name, clauses)

    def drain(self, target: Token, name: Token, *clauses) -> Command:
        return self._make_command("drain", target, name, clauses)

    def undrain(self, target: Token, name: Token, *clauses) -> Command:
        return self._make_command("undrain", target, name, clauses)

    def lift(self, name: Token, *clauses) -> Command:
        return self._make_command("lift", "pardon", name, clauses)

    def help(self) -> Help:
        return Help()


def _describe_expected(names: set[str]) -> tuple[str, ...]:
    return tuple(
        sorted(TERMINAL_DESCRIPTIONS.get(name, name.lower()) for name in names)
    )


def _make_error(text: str, exc: UnexpectedInput) -> Error:
    position = max(0, exc.pos_in_stream or 0)
    expected: set[str] = set()
    if isinstance(exc, UnexpectedToken):
        expected = exc.accepts or exc.expected
        if exc.token.type == "$END":
            position = len(text)
    elif isinstance(exc, UnexpectedCharacters):
        expected = exc.allowed or set()
    described = _describe_expected(expected)
    word = text[position:].split(maxsplit=1)[:1]
    found = f"{word[0][:40]!r}" if word else "end of statement"
    message = f"unexpected {found}"
    if described:
        message += ", expected " + " or ".join(described)
    return Error(message, position, described)


def parse_statement(text: str) -> Statement:
    """Parse a statement.

    Parameters
    ----------
    text : str
        Statement as typed by the operator.

    Returns
    -------
    Statement
        Parsed statement.

    Raises
    ------
    StatementError
        If the text is not a statement; holds the position of the unexpected word.

    Examples
    --------
    >>> parse_statement("show nodes limit 3")  # doctest: +ELLIPSIS
    Show(table='nodes', where=(), order_by='', descending=False, limit=3, ...
    """
    if len(text) > MAX_STATEMENT_LENGTH:
        raise Error(
            f"a statement has at most {MAX_STATEMENT_LENGTH} characters, "
            f"got {len(text)}",
            MAX_STATEMENT_LENGTH,
        )
    try:
        return _StatementBuilder().transform(_make_parser().parse(text))
    except UnexpectedInput as exc:
        raise _make_error(text, exc) from exc
    except VisitError as exc:
        raise Error(str(exc.orig_exc)) from exc


def list_completions(text: str) -> list[str]:
    """Return the completions of the last word of an unfinished statement.

    Parameters
    ----------
    text : str
        Statement typed so far.

    Returns
    -------
    list of str
        Allowed words that start with the last word; all of them after a space.
    """
    head, _, last = text.rpartition(" ")
    try:
        parse_statement(head + " \x00" if head else "\x00")
    except Error as exc:
        words = [word for item in exc.expected for word in item.split("|")]
        return sorted(word for word in words if word.startswith(last.lower()))
    return []
