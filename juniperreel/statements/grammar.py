"""Checks with sqlglot's MySQL grammar that a statement is a single query, and extracts its tables.

sqlglot alone is not sufficient: it drops comments that servers execute, and parses `select get_lock(...)`,
`select @a := 1` and `... for update` as plain selects.
"""

from __future__ import annotations

from collections.abc import Sequence

import sqlglot
from sqlglot import exp

from juniperreel.statements.lexer import Token, TokenType

JOINED_SYMBOLS = frozenset(["<=", ">=", "<>", "!=", "||", "&&", "<<", ">>", "->", "=>", ":="])
PLACEHOLDER_STRING = "'x'"
CHANGING_EXPRESSIONS = (
    exp.Into,
    exp.Lock,
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Command,
    exp.PropertyEQ,
)


class GrammarError(Exception):
    """sqlglot did not confirm that a statement is a plain query. The message says why."""


def query_tables(tokens: Sequence[Token]) -> frozenset[str]:
    """Return the tables of a query in lower case, without its common table expressions.

    Raises:
        GrammarError: It is not a single query, or part of it writes, locks or assigns.
    """
    try:
        statements = [s for s in sqlglot.parse(render(tokens), read="mysql") if s is not None]
    except Exception as error:
        # On malformed input, sqlglot raises exceptions of any type, such as AttributeError; uncaught, they
        # would end the client's connection.
        raise GrammarError(f"not understood: {type(error).__name__}") from error
    if len(statements) != 1 or not isinstance(statements[0], exp.Query | exp.Values):
        raise GrammarError("two readers do not agree")
    query = statements[0]
    if query.find(*CHANGING_EXPRESSIONS):
        raise GrammarError("two readers do not agree")
    common_tables = {cte.alias.lower() for cte in query.find_all(exp.CTE)}
    tables = {".".join(part.name for part in table.parts).lower() for table in query.find_all(exp.Table)}
    return frozenset(tables - common_tables)


def render(tokens: Sequence[Token]) -> str:
    """Return the tokens as text for the default SQL mode, without comments and the contents of strings."""
    pieces = []
    previous: Token | None = None
    for token in tokens:
        if previous is None or not _is_joined(previous, token):
            pieces.append(" ")
        pieces.append(_render_token(token))
        previous = token
    return "".join(pieces)


def _is_joined(previous: Token, token: Token) -> bool:
    """Whether two tokens must not be separated by a space."""
    if previous.text + token.text in JOINED_SYMBOLS:
        return True
    return "." in (token.text, previous.text) and previous.type is not TokenType.NUMBER


def _render_token(token: Token) -> str:
    if token.type is TokenType.STRING:
        return PLACEHOLDER_STRING
    if token.type is TokenType.QUOTED_IDENTIFIER:
        return "`" + token.text.replace("`", "``") + "`"
    return token.text
