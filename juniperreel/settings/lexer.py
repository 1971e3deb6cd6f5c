"""Splits a settings file into sections and directives.

    # a comment, to the end of the line
    [section name]
    directive argument "an argument with spaces" ...

Reports all problems of a file at once, and is independent of section and directive names.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import NamedTuple

from juniperreel.settings.errors import InvalidValueError, Problem

MAX_FILE_BYTES = 1 << 20
MAX_LINE_LENGTH = 4096
QUOTED_LENGTH = 60  # characters of a line or name quoted in an error
ARGUMENT = re.compile(r'"((?:[^"\\]|\\.)*)"|([^\s"#]+)')
ESCAPE = re.compile(r"\\(.)")
SECTION = re.compile(r"\[\s*([a-z-]+)(?:\s+([^\s\]]+))?\s*\]\s*(?:#.*)?\Z")
FIRST_PRINTABLE = 32
ALLOWED_CONTROL = "\t\r"


@dataclass(frozen=True, slots=True)
class Directive:
    """A directive: one line of a section."""

    name: str
    arguments: tuple[str, ...]
    line: int


@dataclass(slots=True)
class Section:
    """A section with its directives in file order. `line` is the line of its heading."""

    kind: str
    name: str | None
    line: int
    directives: list[Directive] = field(default_factory=list)


class LexedFile(NamedTuple):
    """The sections in file order, and the problems found."""

    sections: list[Section]
    problems: list[Problem]


def lex(data: bytes) -> LexedFile:
    """Split a file. Never raises; errors are returned as problems."""
    if len(data) > MAX_FILE_BYTES:
        reason = f"the file has {len(data)} bytes, the limit is {MAX_FILE_BYTES}"
        return LexedFile([], [Problem(1, reason)])
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        return LexedFile([], [Problem(line, "invalid UTF-8")])
    lexed = LexedFile([], [])
    for number, line_text in enumerate(text.split("\n"), 1):
        try:
            _lex_line(line_text, number, lexed.sections)
        except InvalidValueError as error:
            lexed.problems.append(Problem(number, str(error)))
    return lexed


def _lex_line(line_text: str, number: int, sections: list[Section]) -> None:
    """Append the section that the line starts, or add its directive to the last section."""
    if len(line_text) > MAX_LINE_LENGTH:
        raise InvalidValueError(f"line too long: over {MAX_LINE_LENGTH} characters")
    if any(ord(char) < FIRST_PRINTABLE and char not in ALLOWED_CONTROL for char in line_text):
        raise InvalidValueError("control character in line")
    stripped = line_text.strip()
    if not stripped or stripped.startswith("#"):
        return
    if stripped.startswith("["):
        match = SECTION.match(stripped)
        if match is None:
            raise InvalidValueError(f"invalid section heading: {stripped[:QUOTED_LENGTH]}")
        sections.append(Section(match[1], match[2], number))
        return
    name, *arguments = split_arguments(stripped)
    if not sections:
        raise InvalidValueError(f"{name[:QUOTED_LENGTH]!r} before the first section")
    sections[-1].directives.append(Directive(name, tuple(arguments), number))


def split_arguments(text: str) -> list[str]:
    """Split a line into arguments at white space, except within quotation marks.

    Raises:
        InvalidValueError: A quoted argument is not terminated.
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
            raise InvalidValueError("unterminated quoted argument")
        quoted, plain = match.groups()
        arguments.append(plain if quoted is None else ESCAPE.sub(r"\1", quoted))
        offset = match.end()
    return arguments
