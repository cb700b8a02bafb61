"""Query and command language for operators."""

from ._api import make_operator_routes
from ._parser import MAX_STATEMENT_LENGTH, list_completions, parse_statement
from ._statements import (
    Command,
    Condition,
    Explain,
    Help,
    Show,
    Statement,
    StatementError,
    format_statement,
)

__all__ = [
    "MAX_STATEMENT_LENGTH",
    "Command",
    "Condition",
    "Explain",
    "Help",
    "Show",
    "Statement",
    "StatementError",
    "format_statement",
    "list_completions",
    "make_operator_routes",
    "parse_statement",
]
