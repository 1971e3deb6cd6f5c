"""Assigns statements to request classes and tenants by the rules of the settings.

The first rule that matches applies; without one, a statement has the default class of reads or of writes.
Statements that differ only in their values have the same digest: a hash of the tokens without comments, with
a placeholder for each string, number and list of them.
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
    """The properties of a statement that rules match."""

    writes: bool
    user: str
    schema: str
    hint: str
    digest: str


@dataclass(frozen=True, slots=True)
class ClassRule:
    """A rule of the settings. A condition of None matches anything; a tenant of None is the default one."""

    writes: bool
    user: str | None
    schema: str | None
    hint: str | None
    digest: str | None
    class_index: int
    tenant_index: int | None

    def matches(self, statement: StatementTraits) -> bool:
        """Whether every condition matches."""
        return (
            self.writes == statement.writes
            and self.user in (None, statement.user)
            and self.schema in (None, statement.schema)
            and self.hint in (None, statement.hint)
            and self.digest in (None, statement.digest)
        )


@dataclass(frozen=True, slots=True)
class RequestClassifier:
    """Finds the first rule that matches; `read_class` and `write_class` apply where none does."""

    rules: Sequence[ClassRule]
    read_class: int
    write_class: int
    tenant_index: int

    @property
    def uses_digests(self) -> bool:
        """Whether any rule matches digests; otherwise they need not be computed."""
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
    """The hint in a comment of a statement; empty if it has none."""
    match = HINT_COMMENT.search(text)
    return match[1].decode() if match is not None else ""


def statement_digest(text: bytes, mode: LexerMode | None = None) -> str:
    """The digest in 16 hexadecimal digits; empty for a text that cannot be tokenized."""
    try:
        tokens = tokenize(text, mode or LexerMode())
    except AmbiguousTextError:
        return ""
    normalized = [
        "?" if token.type in (TokenType.STRING, TokenType.NUMBER) else token.text for token in tokens
    ]
    while normalized and normalized[-1] == ";":
        normalized.pop()
    return xxhash.xxh3_64_hexdigest(VALUE_LIST.sub("( ? )", " ".join(normalized)).encode())
