"""Classifies MySQL statements, to decide which of them a replica may run. No I/O.

Classifying a write as a read would be the worst error, while a read classified as a write only loads the
primary. So only statements that are known to be plain reads are classified as reads.
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
