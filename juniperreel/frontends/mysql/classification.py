"""Which class and tenant a statement has: the settings' rules in their order, else the two default classes.

A digest names all statements that differ in their values only: its tokens without comments, with every string
and number, and every list of them, as one mark.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from juniperreel.statements import LexerMode
from juniperreel.statements.lexer import AmbiguousTextError, TokenType, tokenize

HINT_COMMENT = re.compile(rb"/\*\s*hint\s+([\w.-]{1,200})\s*\*/")
GROUP_COMMENT = re.compile(rb"/\*\s*group\s+(\d{1,6})\s*\*/")
VALUE_LIST = re.compile(r"\( \?(?: , \?)* \)(?: , \( \?(?: , \?)* \))*")


class RequestTarget(NamedTuple):
    """Indices into the router's classes and tenants; `tenant_index` is -1 where there are no tenants."""

    class_index: int
    tenant_index: int


@dataclass(frozen=True, slots=True)
class StatementTraits:
    """What the rules look at."""

    writes: bool
    user: str
    schema: str
    hint: str
    digest: str


@dataclass(frozen=True, slots=True)
class ClassRule:
    """A rule of the settings: a condition that is None fits anything, no tenant means the default one."""

    writes: bool
    user: str | None
    schema: str | None
    hint: str | None
    digest: str | None
    class_index: int
    tenant_index: int | None

    def matches(self, statement: StatementTraits) -> bool:
        """Whether every condition fits."""
        return (
            self.writes == statement.writes
            and self.user in (None, statement.user)
            and self.schema in (None, statement.schema)
            and self.hint in (None, statement.hint)
            and self.digest in (None, statement.digest)
        )


@dataclass(frozen=True, slots=True)
class RequestClassifier:
    """Finds the first rule that matches; `read_class` and `write_class` are for statements without one."""

    rules: Sequence[ClassRule]
    read_class: int
    write_class: int
    tenant_index: int

    @property
    def uses_digests(self) -> bool:
        """Whether any rule has a digest; else it need not be computed."""
        return any(rule.digest is not None for rule in self.rules)

    def classify(self, statement: StatementTraits) -> RequestTarget:
        """The class and tenant of a statement."""
        for rule in self.rules:
            if rule.matches(statement):
                tenant_index = self.tenant_index if rule.tenant_index is None else rule.tenant_index
                return RequestTarget(rule.class_index, tenant_index)
        class_index = self.write_class if statement.writes else self.read_class
        return RequestTarget(class_index, self.tenant_index)


def hint_of(text: bytes) -> str:
    """The hint in a statement's comment; empty where there is none."""
    match = HINT_COMMENT.search(text)
    return match[1].decode() if match is not None else ""


def statement_digest(text: bytes, mode: LexerMode | None = None) -> str:
    """The digest in 16 hexadecimal digits; empty for a text that cannot be tokenized."""
    try:
        found = tokenize(text, mode or LexerMode())
    except AmbiguousTextError:
        return ""
    marks = ["?" if token.type in (TokenType.STRING, TokenType.NUMBER) else token.text for token in found]
    while marks and marks[-1] == ";":
        marks.pop()
    return xxhash.xxh3_64_hexdigest(VALUE_LIST.sub("( ? )", " ".join(marks)).encode())
