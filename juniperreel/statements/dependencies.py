"""Finds the connection state that a statement depends on or changes.

Clients share pooled connections, one transaction at a time. So a statement that refers to the last insert id,
or to variables, locks or temporary tables, must be recognized before it is sent.
"""

from __future__ import annotations

from collections.abc import Sequence

from juniperreel.statements.classification import Dependency
from juniperreel.statements.functions import CONNECTION_FUNCTIONS, LOCK_FUNCTIONS
from juniperreel.statements.lexer import Token, TokenType

SYSTEM_VARIABLE_PREFIX = "@@"
SYSTEM_VARIABLES = {
    "LAST_INSERT_ID": Dependency.LAST_INSERT_ID,
    "IDENTITY": Dependency.LAST_INSERT_ID,
    "INSERT_ID": Dependency.LAST_INSERT_ID,
    "WARNING_COUNT": Dependency.LAST_STATEMENT,
    "ERROR_COUNT": Dependency.LAST_STATEMENT,
    "AUTOCOMMIT": Dependency.TRANSACTION_STATE,
    "TRANSACTION_READ_ONLY": Dependency.TRANSACTION_STATE,
    "TX_READ_ONLY": Dependency.TRANSACTION_STATE,
    "PSEUDO_THREAD_ID": Dependency.CONNECTION,
    "RAND_SEED1": Dependency.SESSION_VARIABLES,
    "RAND_SEED2": Dependency.SESSION_VARIABLES,
    "TIMESTAMP": Dependency.SESSION_VARIABLES,
}
KEYWORDS = {
    "TEMPORARY": Dependency.TEMPORARY_TABLES,
    "SQL_CALC_FOUND_ROWS": Dependency.FOUND_ROWS,
}


def is_system_variable(text: str) -> bool:
    """Whether a variable is a system variable, not a user variable."""
    return text.startswith(SYSTEM_VARIABLE_PREFIX)


def variable_dependency(text: str) -> Dependency:
    """Return the dependency of a reference to a variable."""
    if not is_system_variable(text):
        return Dependency.USER_VARIABLES
    name = text.removeprefix(SYSTEM_VARIABLE_PREFIX).rpartition(".")[2]
    return SYSTEM_VARIABLES.get(name.upper(), Dependency.SYSTEM_VARIABLES)


def find_dependencies(tokens: Sequence[Token]) -> frozenset[Dependency]:
    """Return all dependencies of a statement of any kind."""
    found = set()
    for index, token in enumerate(tokens):
        dependency = _token_dependency(token, is_called(tokens, index))
        if dependency is not None:
            found.add(dependency)
    return frozenset(found)


def is_called(tokens: Sequence[Token], index: int) -> bool:
    """Whether a token is followed by an opening parenthesis."""
    return index + 1 < len(tokens) and tokens[index + 1].is_symbol("(")


def _token_dependency(token: Token, called: bool) -> Dependency | None:
    if token.type is TokenType.VARIABLE:
        return variable_dependency(token.text)
    if token.type is not TokenType.IDENTIFIER:
        return None
    if called and token.text in LOCK_FUNCTIONS:
        return Dependency.LOCKS
    if called and token.text in CONNECTION_FUNCTIONS:
        return CONNECTION_FUNCTIONS[token.text]
    return KEYWORDS.get(token.text)
