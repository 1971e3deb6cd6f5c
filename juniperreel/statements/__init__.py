"""Classifies MySQL statements, as far as needed to tell what a replica may run. No I/O.

A write that is taken for a read is the worst error; a read that is taken for a write only costs a trip to the
primary. So only what is known to be a plain read is called one.
"""

from juniperreel.statements.classification import (
    Classification,
    Dependency,
    SessionCommand,
    SessionVerb,
    StatementKind,
)
from juniperreel.statements.classifier import StatementClassifier, classify_statement
from juniperreel.statements.lexer import LexerMode

__all__ = [
    "Classification",
    "Dependency",
    "LexerMode",
    "SessionCommand",
    "SessionVerb",
    "StatementClassifier",
    "StatementKind",
    "classify_statement",
]
