"""Operators' query and command language."""

from ._api import make_operator_routes
from ._parser import MAX_STATEMENT_LENGTH, parse_statement, suggest
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
    "make_operator_routes",
    "parse_statement",
    "suggest",
]
