"""Splits a settings file into sections and directives.

    # a comment, to the end of the line
    [section name]
    directive argument "an argument with spaces" ...

Reports all problems of a file at once; knows no section or directive by name.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import NamedTuple

from juniperreel.settings.errors import InvalidValueError, Problem

MAX_FILE_BYTES = 1 << 20
MAX_LINE_LENGTH = 4096
QUOTED_LENGTH = 60  # of a line or name in an error's text
ARGUMENT = re.compile(r'"((?:[^"\\]|\\.)*)"|([^\s"#]+)')
ESCAPE = re.compile(r"\\(.)")
SECTION = re.compile(r"\[\s*([a-z-]+)(?:\s+([^\s\]]+))?\s*\]\s*(?:#.*)?\Z")
FIRST_PRINTABLE = 32
ALLOWED_CONTROL = "\t\r"


@dataclass(frozen=True, slots=True)
class Directive:
    """One line of a section."""

    name: str
    arguments: tuple[str, ...]
    line: int


@dataclass(slots=True)
class Section:
    """A section with its directives in the order of the file. `line` is that of its heading."""

    kind: str
    name: str | None
    line: int
    directives: list[Directive] = field(default_factory=list)


class LexedFile(NamedTuple):
    """The sections in order, and the lines that could not be read."""

    sections: list[Section]
    problems: list[Problem]


def lex(data: bytes) -> LexedFile:
    """Split a file. Never raises; what cannot be read is among the problems."""
    if len(data) > MAX_FILE_BYTES:
        reason = f"the file has {len(data)} bytes; at most {MAX_FILE_BYTES} are read"
        return LexedFile([], [Problem(1, reason)])
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        return LexedFile([], [Problem(line, "not UTF-8")])
    lexed = LexedFile([], [])
    for number, line_text in enumerate(text.split("\n"), 1):
        try:
            _lex_line(line_text, number, lexed.sections)
        except InvalidValueError as error:
            lexed.problems.append(Problem(number, str(error)))
    return lexed


def _lex_line(line_text: str, number: int, sections: list[Section]) -> None:
    """Add the line's section, or its directive to the last section."""
    if len(line_text) > MAX_LINE_LENGTH:
        raise InvalidValueError(f"a line of over {MAX_LINE_LENGTH} characters")
    if any(ord(char) < FIRST_PRINTABLE and char not in ALLOWED_CONTROL for char in line_text):
        raise InvalidValueError("a control character")
    stripped = line_text.strip()
    if not stripped or stripped.startswith("#"):
        return
    if stripped.startswith("["):
        match = SECTION.match(stripped)
        if match is None:
            raise InvalidValueError(f"not a section: {stripped[:QUOTED_LENGTH]}")
        sections.append(Section(match[1], match[2], number))
        return
    name, *arguments = split_arguments(stripped)
    if not sections:
        raise InvalidValueError(f"{name[:QUOTED_LENGTH]!r} comes before the first section")
    sections[-1].directives.append(Directive(name, tuple(arguments), number))


def split_arguments(text: str) -> list[str]:
    """The words of a line: separated by white space, quoted where they contain it.

    Raises:
        InvalidValueError: A quotation mark is not closed.
    """
    arguments = []
    offset = 0
    while offset < len(text):
        if text[offset].isspace():
            offset += 1
            continue
        if text[offset] == "#":
            break
        match = ARGUMENT.match(text, offset)
        if match is None:
            raise InvalidValueError("a quotation mark is not closed")
        quoted, plain = match.groups()
        arguments.append(plain if quoted is None else ESCAPE.sub(r"\1", quoted))
        offset = match.end()
    return arguments
