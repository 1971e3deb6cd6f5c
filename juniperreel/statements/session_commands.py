"""Recognizes session commands: transactions, savepoints, variables, character sets, schemas.

Only exact, known forms are recognized; any other statement is not treated as a session command.
"""

from __future__ import annotations

from collections.abc import Sequence

from juniperreel.statements.assignments import parse_literal_assignments, sets_only_user_variables
from juniperreel.statements.classification import SessionCommand, SessionVerb
from juniperreel.statements.lexer import Token, TokenType

# Statements that commit the open transaction before they run (MySQL reference manual, "Statements That Cause
# an Implicit Commit").
IMPLICIT_COMMIT_KEYWORDS = frozenset(
    [
        "ALTER",
        "CREATE",
        "DROP",
        "RENAME",
        "TRUNCATE",
        "GRANT",
        "REVOKE",
        "ANALYZE",
        "OPTIMIZE",
        "REPAIR",
        "IMPORT",
    ]
)
# Character sets that the lexer supports; with others, it could miss the end of a quoted string.
SAFE_CHARSETS = frozenset({"UTF8MB4", "UTF8MB3", "UTF8", "ASCII"})
COMMITS = frozenset({"COMMIT", "COMMIT WORK", "COMMIT AND NO CHAIN NO RELEASE"})
ROLLBACKS = frozenset({"ROLLBACK", "ROLLBACK WORK", "ROLLBACK AND NO CHAIN NO RELEASE"})
NAMED_COMMANDS = {
    ("SAVEPOINT",): SessionVerb.SAVEPOINT,
    ("ROLLBACK", "TO"): SessionVerb.ROLLBACK_TO,
    ("ROLLBACK", "TO", "SAVEPOINT"): SessionVerb.ROLLBACK_TO,
    ("RELEASE", "SAVEPOINT"): SessionVerb.RELEASE,
    ("USE",): SessionVerb.USE,
}
READ_ONLY = "READ ONLY"
READ_WRITE = "READ WRITE"
SNAPSHOT = "WITH CONSISTENT SNAPSHOT"
NEXT_TRANSACTION = {
    "SET TRANSACTION READ ONLY": SessionCommand(SessionVerb.NEXT_TRANSACTION, read_only=True),
    "SET TRANSACTION READ WRITE": SessionCommand(SessionVerb.NEXT_TRANSACTION),
    # The default isolation level:
    "SET TRANSACTION ISOLATION LEVEL REPEATABLE READ": SessionCommand(SessionVerb.NEXT_TRANSACTION),
    "SET SESSION TRANSACTION ISOLATION LEVEL REPEATABLE READ": SessionCommand(SessionVerb.NEXT_TRANSACTION),
}
AUTOCOMMIT_NAMES = ("AUTOCOMMIT", "@@AUTOCOMMIT", "@@SESSION.AUTOCOMMIT")
AUTOCOMMIT_VALUES = {"1": True, "ON": True, "TRUE": True, "0": False, "OFF": False, "FALSE": False}


def parse_session_command(tokens: Sequence[Token]) -> SessionCommand | None:
    """Parse a session command; returns None unless the statement is one in a known form."""
    first = tokens[0].text if tokens and tokens[0].type is TokenType.IDENTIFIER else ""
    text = _normalized(tokens)
    if first == "SET":
        return _parse_set(tokens, text)
    if first in ("BEGIN", "START"):
        return _parse_begin(text)
    if text in COMMITS:
        return SessionCommand(SessionVerb.COMMIT)
    if text in ROLLBACKS:
        return SessionCommand(SessionVerb.ROLLBACK)
    return _parse_named(tokens)


def _normalized(tokens: Sequence[Token]) -> str:
    """Join the tokens with single spaces, replacing quoted names and values with `?`."""
    visible = (TokenType.IDENTIFIER, TokenType.SYMBOL)
    return " ".join(token.text if token.type in visible else "?" for token in tokens)


def _parse_named(tokens: Sequence[Token]) -> SessionCommand | None:
    """Parse a command that ends with a name, such as `savepoint a` or `use b`."""
    *head, name = tokens
    if name.type not in (TokenType.IDENTIFIER, TokenType.QUOTED_IDENTIFIER):
        return None
    if any(token.type is not TokenType.IDENTIFIER for token in head):
        return None
    keywords = tuple(token.text for token in head if token.text != "WORK")
    verb = NAMED_COMMANDS.get(keywords)
    return None if verb is None else SessionCommand(verb, name=name.text)


def _parse_begin(text: str) -> SessionCommand | None:
    if text in ("BEGIN", "BEGIN WORK"):
        return SessionCommand(SessionVerb.BEGIN)
    if not text.startswith("START TRANSACTION"):
        return None
    options = {option.strip() for option in text.removeprefix("START TRANSACTION").split(",")}
    known = options <= {"", READ_ONLY, READ_WRITE, SNAPSHOT}
    contradictory = {READ_ONLY, READ_WRITE} <= options
    if not known or contradictory:
        return None
    return SessionCommand(SessionVerb.BEGIN, read_only=READ_ONLY in options, snapshot=SNAPSHOT in options)


def _parse_set(tokens: Sequence[Token], text: str) -> SessionCommand | None:
    if len(tokens) >= 3 and tokens[1].text == "NAMES":
        return _parse_set_names(tokens)
    if text in NEXT_TRANSACTION:
        return NEXT_TRANSACTION[text]
    autocommit = _parse_set_autocommit(tokens)
    if autocommit is not None:
        return autocommit
    assignments = parse_literal_assignments(tokens[1:])
    if assignments:
        return SessionCommand(SessionVerb.SET, assignments=assignments)
    if sets_only_user_variables(tokens[1:]):
        return SessionCommand(SessionVerb.USER_VARIABLES)
    return None


def _parse_set_autocommit(tokens: Sequence[Token]) -> SessionCommand | None:
    compact = "".join(token.text.upper() for token in tokens[1:] if token.text != "SESSION")
    name, _, value = compact.replace(":=", "=").partition("=")
    if name not in AUTOCOMMIT_NAMES or value not in AUTOCOMMIT_VALUES:
        return None
    return SessionCommand(SessionVerb.AUTOCOMMIT, enabled=AUTOCOMMIT_VALUES[value])


def _parse_set_names(tokens: Sequence[Token]) -> SessionCommand | None:
    charset, *collation = [token.text.upper() for token in tokens[2:]]
    if charset not in SAFE_CHARSETS:
        return None
    if not collation:
        return SessionCommand(SessionVerb.NAMES)
    if len(collation) == 2 and collation[0] == "COLLATE" and collation[1].startswith(tuple(SAFE_CHARSETS)):
        return SessionCommand(SessionVerb.NAMES)
    return None
