"""Lines to directives, and the values that directives take.

    # a comment, to the end of the line
    [section name]
    directive word "a word with spaces" ...

Reports all problems of a file at once; knows no directive by name.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field

MAX_BYTES = 1 << 20
MAX_LINE = 4096
WORD = re.compile(r'"((?:[^"\\]|\\.)*)"|([^\s"#]+)')
SECTION = re.compile(r"\[\s*([a-z-]+)(?:\s+([^\s\]]+))?\s*\]\s*(?:#.*)?\Z")
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|m)\Z")
SIZE = re.compile(r"([0-9]+)(B|KiB|MiB|GiB)\Z")
SPANS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
RULES = {
    1: "one final answer, before the deadline",
    2: "no effect twice",
    3: "drains are kept",
    4: "no cold member is pushed over",
    5: "no stale read",
}


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """What is wrong, where, and which of the five rules it would break."""

    line: int
    reason: str
    rule: int | None = None

    def text(self, file: str) -> str:
        tail = f" (would break rule {self.rule}: {RULES[self.rule]})" if self.rule else ""
        return f"{file}:{self.line}: {self.reason}{tail}"


class SettingsError(Exception):
    """A file that is refused; nothing of it was taken."""

    def __init__(self, file: str, problems: list[Problem]) -> None:
        self.file = file
        self.problems = sorted(problems)
        super().__init__("\n".join(p.text(file) for p in self.problems))


@dataclass(frozen=True, slots=True)
class Directive:
    name: str
    words: tuple[str, ...]
    line: int


@dataclass(slots=True)
class Section:
    kind: str
    name: str | None
    line: int
    directives: list[Directive] = field(default_factory=list)


class BadValue(ValueError):
    """A word that is not what its directive takes."""


def split_words(text: str) -> list[str]:
    words, at = [], 0
    while at < len(text):
        if text[at].isspace():
            at += 1
            continue
        if text[at] == "#":
            break
        match = WORD.match(text, at)
        if match is None:
            raise BadValue("a quotation mark is not closed")
        words.append(match[2] if match[1] is None else re.sub(r"\\(.)", r"\1", match[1]))
        at = match.end()
    return words


def lex(data: bytes) -> tuple[list[Section], list[Problem]]:
    """The sections in order, and what could not be read."""
    if len(data) > MAX_BYTES:
        return [], [Problem(1, f"the file has {len(data)} bytes; at most {MAX_BYTES} are read")]
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        return [], [Problem(data[: error.start].count(b"\n") + 1, "not UTF-8")]
    sections: list[Section] = []
    problems: list[Problem] = []
    for number, line in enumerate(text.split("\n"), 1):
        stripped = line.strip()
        if len(line) > MAX_LINE:
            problems.append(Problem(number, f"a line of over {MAX_LINE} characters"))
        elif any(ord(c) < 32 and c not in "\t\r" for c in line):
            problems.append(Problem(number, "a control character"))
        elif stripped.startswith("["):
            match = SECTION.match(stripped)
            if match is None:
                problems.append(Problem(number, f"not a section: {stripped[:60]}"))
            else:
                sections.append(Section(match[1], match[2], number))
        elif stripped and not stripped.startswith("#"):
            try:
                words = split_words(stripped)
            except BadValue as error:
                problems.append(Problem(number, str(error)))
                continue
            if not sections:
                problems.append(Problem(number, f"{words[0][:60]!r} stands before the first section"))
            else:
                sections[-1].directives.append(Directive(words[0], tuple(words[1:]), number))
    return sections, problems


# Values.


def duration(word: str) -> int:
    match = DURATION.match(word)
    if match is None:
        raise BadValue(f"{word[:40]!r} is not a span of time such as 250ms, 2s or 1m")
    return round(float(match[1]) * SPANS[match[2]])


def size(word: str) -> int:
    match = SIZE.match(word)
    if match is None:
        raise BadValue(f"{word[:40]!r} is not a size such as 64KiB or 4MiB")
    return int(match[1]) * SIZES[match[2]]


def part(word: str) -> float:
    text = word.removesuffix("%")
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if text == word or not math.isfinite(value) or not 0 <= value <= 100:
        raise BadValue(f"{word[:40]!r} is not a part from 0% to 100%")
    return value / 100


def number(word: str) -> float:
    try:
        value = float(word)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise BadValue(f"{word[:40]!r} is not a number of 0 or more")
    return value


def whole(word: str) -> int:
    if not word.isdigit() or len(word) > 18 or not word.isascii():
        raise BadValue(f"{word[:40]!r} is not a whole number")
    return int(word)


def flag(word: str) -> bool:
    if word not in ("yes", "no"):
        raise BadValue(f"{word[:40]!r} is neither yes nor no")
    return word == "yes"


def address(word: str) -> tuple[str, int]:
    host, colon, port = word.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise BadValue(f"{word[:60]!r} is not an address such as 127.0.0.1:7100")
    return host.strip("[]"), int(port)


def word(text: str) -> str:
    if not text or len(text) > 200:
        raise BadValue("a word of 1 to 200 characters is needed")
    return text
