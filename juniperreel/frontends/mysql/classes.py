"""Which class and tenant a statement has: the settings' rules, in their order, and the front's own two
classes.

A digest names all statements that differ in their values only: its tokens without comments, with every string
and number, and every list of them, as one mark.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from juniperreel.statements import LexerMode
from juniperreel.statements.lexer import AmbiguousTextError, TokenType, tokenize

HINT = re.compile(rb"/\*\s*hint\s+([\w.-]{1,200})\s*\*/")
GROUP = re.compile(rb"/\*\s*group\s+(\d{1,6})\s*\*/")
LIST = re.compile(r"\( \?(?: , \?)* \)(?: , \( \?(?: , \?)* \))*")


@dataclass(frozen=True, slots=True)
class Rule:
    """Conditions that are None fit anything. `cls` and `tenant` are indices; no tenant leaves the front's."""

    write: bool
    user: str | None
    schema: str | None
    hint: str | None
    digest: str | None
    cls: int
    tenant: int | None


@dataclass(frozen=True, slots=True)
class Classes:
    """`read` and `write`: what no rule fits."""

    rules: Sequence[Rule]
    read: int
    write: int
    tenant: int

    @property
    def by_digest(self) -> bool:
        return any(rule.digest is not None for rule in self.rules)

    def of(self, write: bool, user: str, schema: str, hint: str, digest: str) -> tuple[int, int]:
        """Class and tenant."""
        for rule in self.rules:
            if (
                rule.write == write
                and rule.user in (None, user)
                and rule.schema in (None, schema)
                and rule.hint in (None, hint)
                and rule.digest in (None, digest)
            ):
                return rule.cls, self.tenant if rule.tenant is None else rule.tenant
        return self.write if write else self.read, self.tenant


def hint_of(text: bytes) -> str:
    match = HINT.search(text)
    return match[1].decode() if match is not None else ""


def digest(text: bytes, mode: LexerMode | None = None) -> str:
    """16 digits; empty for what cannot be read."""
    try:
        found = tokenize(text, mode or LexerMode())
    except AmbiguousTextError:
        return ""
    words = ["?" if t.type in (TokenType.STRING, TokenType.NUMBER) else t.text for t in found]
    while words and words[-1] == ";":
        words.pop()
    return xxhash.xxh3_64_hexdigest(LIST.sub("( ? )", " ".join(words)).encode())
