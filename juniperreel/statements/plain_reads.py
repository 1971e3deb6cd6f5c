"""Decides whether a query is a plain read: one without writes, locks or calls that may have side effects.

The rules are an allowlist; anything that is not known to be safe raises `NotPlainReadError`.
"""

from __future__ import annotations

from collections.abc import Sequence

from juniperreel.statements.classification import Dependency, StatementKind
from juniperreel.statements.dependencies import is_called, variable_dependency
from juniperreel.statements.functions import CONNECTION_FUNCTIONS, KEYWORDS_BEFORE_PARENTHESIS, PURE_FUNCTIONS
from juniperreel.statements.lexer import ASSIGNMENT, Token, TokenType

WRITE_KEYWORDS = frozenset(
    [
        "INSERT",
        "REPLACE",
        "UPDATE",
        "DELETE",
        "LOAD",
        "TRUNCATE",
        "CREATE",
        "ALTER",
        "DROP",
        "CALL",
        "DO",
        "HANDLER",
        "MERGE",
    ]
)
UNSUPPORTED_KEYWORDS = frozenset(
    [
        "PROCEDURE",
        "OUTFILE",
        "DUMPFILE",
        "NEXTVAL",
        "SETVAL",
        "LASTVAL",
        "PREPARE",
        "EXECUTE",
        "RETURNING",
    ]
)
KEYWORD_DEPENDENCIES = {
    "SQL_CALC_FOUND_ROWS": Dependency.FOUND_ROWS,
    "CURRENT_USER": Dependency.USER,
}
QUOTED_LENGTH = 40  # characters of a function's name that a reason quotes


class NotPlainReadError(Exception):
    """A statement is not a plain read.

    Attributes:
        kind: The kind of the statement.
        reason: Why it is not a plain read.
        opaque: Whether it may have effects that its text does not show.
    """

    def __init__(self, kind: StatementKind, reason: str, opaque: bool = False) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reason = reason
        self.opaque = opaque or kind is StatementKind.UNKNOWN


def check_plain_read(tokens: Sequence[Token]) -> frozenset[Dependency]:
    """Return the dependencies of a plain read.

    Raises:
        NotPlainReadError: The statement is not known to be a plain read.
    """
    dependencies = set()
    for index, token in enumerate(tokens):
        dependency = _check_token(tokens, index, token)
        if dependency is not None:
            dependencies.add(dependency)
    return frozenset(dependencies)


def _check_token(tokens: Sequence[Token], index: int, token: Token) -> Dependency | None:
    called = is_called(tokens, index)
    if token.is_symbol(ASSIGNMENT):
        raise NotPlainReadError(StatementKind.SESSION, "assigns a variable")
    if token.type is TokenType.VARIABLE:
        return variable_dependency(token.text)
    if token.type is TokenType.QUOTED_IDENTIFIER and called and not _starts_column_list(tokens, index):
        reason = f"calls {token.text[:QUOTED_LENGTH]}, which may write"
        raise NotPlainReadError(StatementKind.SIDE_EFFECT, reason, opaque=True)
    if token.type is not TokenType.IDENTIFIER:
        return None
    qualified = index > 0 and tokens[index - 1].is_symbol(".")
    if called and token.text not in KEYWORDS_BEFORE_PARENTHESIS:
        return _check_call(tokens, index, qualified)
    return _check_keyword(tokens, index, qualified)


def _check_call(tokens: Sequence[Token], index: int, qualified: bool) -> Dependency | None:
    """Check an unquoted name, other than a keyword, before a parenthesis."""
    name = tokens[index].text
    quoted = name[:QUOTED_LENGTH].lower()
    if qualified:
        reason = f"calls a stored function {quoted}"
        raise NotPlainReadError(StatementKind.SIDE_EFFECT, reason, opaque=True)
    if name in CONNECTION_FUNCTIONS:
        argument = tokens[index + 2] if index + 2 < len(tokens) else None
        if name == "LAST_INSERT_ID" and argument is not None and argument.text != ")":
            raise NotPlainReadError(StatementKind.SESSION, "sets the last insert id")
        return CONNECTION_FUNCTIONS[name]
    if name not in PURE_FUNCTIONS and not _starts_column_list(tokens, index):
        reason = f"calls {quoted}, which may do more than read"
        raise NotPlainReadError(StatementKind.SIDE_EFFECT, reason, opaque=True)
    return None


def _check_keyword(tokens: Sequence[Token], index: int, qualified: bool) -> Dependency | None:
    """Check an unquoted word that is not called: a keyword, or the name of a table or column."""
    name = tokens[index].text
    if name in ("NEXTVAL", "LASTVAL"):  # also as `s.nextval`
        raise NotPlainReadError(StatementKind.SIDE_EFFECT, "takes the next value of a sequence")
    if qualified:
        return None  # a column's name
    if name == "INTO":
        raise NotPlainReadError(StatementKind.SIDE_EFFECT, "select into")
    _check_locks(tokens, index)
    if name in WRITE_KEYWORDS:
        raise NotPlainReadError(StatementKind.WRITE, f"{name.lower()} within")
    if name in UNSUPPORTED_KEYWORDS:
        raise NotPlainReadError(StatementKind.UNKNOWN, f"{name.lower()} within")
    return KEYWORD_DEPENDENCIES.get(name)


def _check_locks(tokens: Sequence[Token], index: int) -> None:
    """Raise NotPlainReadError for `lock in share mode`, `for update`, `for share` and `next value for`."""
    name = tokens[index].text
    following = tokens[index + 1].text if index + 1 < len(tokens) else ""
    preceding = tokens[index - 1].text if index > 0 else ""
    if name == "LOCK" or (name == "FOR" and following in ("UPDATE", "SHARE")):
        raise NotPlainReadError(StatementKind.LOCKING_READ, "takes locks")
    if name == "FOR" and preceding == "VALUE":
        raise NotPlainReadError(StatementKind.SIDE_EFFECT, "takes the next value of a sequence")


def _starts_column_list(tokens: Sequence[Token], index: int) -> bool:
    """Whether a name before a parenthesis is that of a common table expression, derived table or window.

    Examples are `with t (a) as`, `(...) as t (a)` and `window w as`.
    """
    if index == 0:
        return False
    preceding = tokens[index - 1]
    if preceding.type is not TokenType.IDENTIFIER or preceding.text not in ("WITH", "RECURSIVE", "AS"):
        return False
    close = _closing_parenthesis(tokens, index + 1)
    if close is None:
        return False
    return all(_may_be_in_column_list(token) for token in tokens[index + 2 : close])


def _may_be_in_column_list(token: Token) -> bool:
    if token.type is TokenType.IDENTIFIER:
        return token.text != "SELECT"
    return token.type is TokenType.QUOTED_IDENTIFIER or token.text == ","


def _closing_parenthesis(tokens: Sequence[Token], opening: int) -> int | None:
    """Return the index of the parenthesis that closes the one at `opening`, or None."""
    depth = 0
    for index in range(opening, len(tokens)):
        if tokens[index].is_symbol("("):
            depth += 1
        elif tokens[index].is_symbol(")"):
            depth -= 1
        if depth == 0:
            return index
    return None
