"""Reads operators' statements by the grammar in ``grammar.lark``."""

from __future__ import annotations

from functools import cache
from importlib import resources

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedToken, VisitError

from ._statements import Command, Condition, Explain, Help, Show, Statement
from ._statements import StatementError as Error

MAX_STATEMENT_LENGTH = 10_000
TERMINAL_NAMES = {
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


def _one(items: list, kind: type, default):
    return next((item for item in items if isinstance(item, kind)), default)


class _Order(tuple):
    """Field and direction."""


class _Limit(int):
    """Most rows."""


class _Output(str):
    """Format of the answer."""


class _Where(tuple):
    """Conditions."""


class _Dry:
    """The mark of a dry run."""


@v_args(inline=True)
class _Builder(Transformer):
    """Turns the parse tree into statements."""

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

    def order(self, field: Token, direction: Token | None = None) -> _Order:
        return _Order((str(field), (direction or "asc").lower() == "desc"))

    def limit(self, count: Token) -> _Limit:
        return _Limit(count)

    def output(self, form: Token) -> _Output:
        return _Output(form.lower())

    def dry(self) -> _Dry:
        return _Dry()

    def show(self, table: Token, *rest) -> Show:
        order = _one(rest, _Order, _Order(("", False)))
        limit = _one(rest, _Limit, None)
        return Show(
            table.lower(),
            tuple(_one(rest, _Where, ())),
            order[0],
            order[1],
            None if limit is None else int(limit),
            str(_one(rest, _Output, "table")),
        )

    def explain(self, subject: Token, name: Token, form: _Output | None = None):
        return Explain(subject.lower(), str(name), str(form or "table"))

    def _command(self, verb: str, kind: str, name: Token, rest: tuple) -> Command:
        dry_run = any(isinstance(item, _Dry) for item in rest)
        values = next((item for item in rest if isinstance(item, tuple)), ())
        return Command(verb, kind.lower(), str(name), values, dry_run)

    def create(self, kind: Token, name: Token, *rest) -> Command:
        return self._command("create", kind, name, rest)

    def change(self, kind: Token, name: Token, *rest) -> Command:
        return self._command("change", kind, name, rest)

    def remove(self, kind: Token, name: Token, *rest) -> Command:
        return self._command("delete", kind, name, rest)

    def drain(self, target: Token, name: Token, *rest) -> Command:
        return self._command("drain", target, name, rest)

    def undrain(self, target: Token, name: Token, *rest) -> Command:
        return self._command("undrain", target, name, rest)

    def lift(self, name: Token, *rest) -> Command:
        return self._command("lift", "pardon", name, rest)

    def help(self) -> Help:
        return Help()


def _describe_expected(names: set[str]) -> tuple[str, ...]:
    return tuple(sorted(TERMINAL_NAMES.get(name, name.lower()) for name in names))


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
    found = f"{word[0][:40]!r}" if word else "the end"
    message = f"unexpected {found}"
    if described:
        message += ", expected " + " or ".join(described)
    return Error(message, position, described)


def parse_statement(text: str) -> Statement:
    """Read a statement.

    Parameters
    ----------
    text : str
        What the operator wrote.

    Returns
    -------
    Statement
        The typed statement.

    Raises
    ------
    StatementError
        With the position of the word that does not fit.

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
        return _Builder().transform(_make_parser().parse(text))
    except UnexpectedInput as exc:
        raise _make_error(text, exc) from exc
    except VisitError as exc:
        raise Error(str(exc.orig_exc)) from exc


def suggest(text: str) -> list[str]:
    """List the words that could follow an unfinished statement.

    Parameters
    ----------
    text : str
        What stands so far.

    Returns
    -------
    list of str
        Words that begin like the unfinished last one.
    """
    head, _, last = text.rpartition(" ")
    try:
        parse_statement(head + " \x00" if head else "\x00")
    except Error as exc:
        words = [word for item in exc.expected for word in item.split("|")]
        return sorted(word for word in words if word.startswith(last.lower()))
    return []
