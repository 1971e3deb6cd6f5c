"""Parses the assignments of a `set` statement."""

from __future__ import annotations

from collections.abc import Sequence

from juniperreel.statements.classification import Assignment
from juniperreel.statements.dependencies import is_system_variable
from juniperreel.statements.lexer import Token, TokenType, split_at

ASSIGNMENT_SYMBOLS = ("=", ":=")
SESSION_SCOPES = ("SESSION", "LOCAL")
LITERAL_KEYWORDS = ("ON", "OFF", "TRUE", "FALSE", "NULL", "DEFAULT")
UNSAFE_STRING_CHARACTERS = frozenset("'\"\\")


def parse_literal_assignments(tokens: Sequence[Token]) -> tuple[Assignment, ...]:
    """Parse assignments such as `a = 1, @@session.b = 'x', @c = null`.

    Returns an empty tuple if any of them does not assign a literal to a session or user variable.
    """
    assignments = []
    for part in split_at(tokens, ","):
        assignment = _parse_literal_assignment(part)
        if assignment is None:
            return ()
        assignments.append(assignment)
    return tuple(assignments)


def sets_only_user_variables(tokens: Sequence[Token]) -> bool:
    """Whether the assignments set only user variables, as in `@a = …, @b := …`, to any values."""
    depth = 0
    at_target = True
    for index, token in enumerate(tokens):
        if at_target:
            following = tokens[index + 1].text if index + 1 < len(tokens) else ""
            if not _is_user_variable(token) or following not in ASSIGNMENT_SYMBOLS:
                return False
            at_target = False
        elif token.is_symbol("("):
            depth += 1
        elif token.is_symbol(")"):
            depth -= 1
        elif token.is_symbol(",") and depth == 0:
            at_target = True
    return not at_target


def _is_user_variable(token: Token) -> bool:
    return token.type is TokenType.VARIABLE and not is_system_variable(token.text) and len(token.text) > 1


def _parse_literal_assignment(tokens: Sequence[Token]) -> Assignment | None:
    """Parse one `[session] name = [-] literal`."""
    scoped = bool(tokens) and tokens[0].type is TokenType.IDENTIFIER and tokens[0].text in SESSION_SCOPES
    unscoped = tokens[1:] if scoped else tokens
    if len(unscoped) not in (3, 4):
        return None
    target, assignment_symbol, *value = unscoped
    if assignment_symbol.type is not TokenType.SYMBOL or assignment_symbol.text not in ASSIGNMENT_SYMBOLS:
        return None
    name = _parse_target(target, scoped)
    literal = _parse_literal(value)
    if name is None or literal is None:
        return None
    return Assignment(name, literal)


def _parse_target(target: Token, scoped: bool) -> str | None:
    """Return the name of a session or user variable in lower case; None for any other target."""
    if target.type is TokenType.IDENTIFIER:
        return target.text.lower()
    if target.type is not TokenType.VARIABLE or scoped:
        return None
    if not is_system_variable(target.text):
        return target.text.lower() if _is_user_variable(target) else None
    scope, dot, name = target.text.lower().removeprefix("@@").rpartition(".")
    in_session = scope in ("", "session", "local") and bool(dot) == bool(scope)
    return name if in_session else None


def _parse_literal(tokens: Sequence[Token]) -> str | None:
    """Return a literal that has the same meaning in every SQL mode of quotes and escapes; else None."""
    *sign, value = tokens
    if sign:
        is_negative_number = sign[0].is_symbol("-") and value.type is TokenType.NUMBER
        return f"-{value.text}" if is_negative_number else None
    match value.type:
        case TokenType.NUMBER:
            return value.text
        case TokenType.STRING if value.text.isascii() and UNSAFE_STRING_CHARACTERS.isdisjoint(value.text):
            return f"'{value.text}'"
        case TokenType.IDENTIFIER if value.text in LITERAL_KEYWORDS:
            return value.text.lower()
        case _:
            return None
