"""The script of a day: the fleet, the load, and what goes wrong when.

    groups 3                    # settings of the fleet and its load, one a line
    at 2s for 4s slow g0/1 0.4
    at 5s kill g1/primary back 6s

A target is a member (`g0/primary`, `g0/2`), a part of all (`random:25%`), `all`, a group (`g0`), a zone
(`zone:1`; numbers alternate between two), an edge (`edge/1`, `edge/zone:1`, `edge/random:10%`, `edge/*` for
all), an instance of the configuration (`instance/0`) or `list`. A link fault has two ends, an edge and what
it connects to: `at 3s for 2s link-cut edge/1 to g0/primary`. Times count from the day's start; the same text
and seed give the same faults.
"""

from __future__ import annotations

import re
import shlex
from dataclasses import dataclass, field

SPAN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)\Z")
PART = re.compile(r"([0-9]+(?:\.[0-9]+)?)%\Z")

# What each fault takes behind its target, and whether it ends after a `for`.
FAULTS: dict[str, tuple[tuple[str, ...], bool]] = {
    "kill": (("back",), False),
    "hang": ((), True),
    "refuse": ((), True),
    "lose": (("part",), True),
    "break": (("part",), True),
    "fail": (("part",), True),
    "slow": (("number",), True),
    "lag": (("number",), True),
    "cut": ((), True),
    "skew": (("span",), True),
    "drain": ((), False),
    "roll": (("span",), False),
    "two-primaries": ((), True),
    "freeze": ((), True),
    "empty": ((), True),
    "flap": ((), True),
    "edge-kill": (("back",), False),
    "edge-stall": ((), True),
    "instance-kill": (("back",), False),
    "link-cut": (("to",), True),
    "link-deaf": (("to",), True),
    "link-reset": (("to",), False),
    "link-mute": (("to",), False),  # to `list` only: watches that are open are never answered, new ones are
    "link-slow": (("to", "span"), True),
}
SETTINGS = {
    "groups": 3,
    "members": 4,
    "edges": 3,
    "rate": 150,
    "sessions": 60,
    "seed": 1,
    "last": 30_000_000,
    "list-delay": 800_000,
    "primary-delay": 2_500_000,
    "read-work": 12_000,
    "write-work": 15_000,
    "cores": 4,
    "cold-span": 6_000_000,
    "retries": 2,
    "mysql": 0,  # of a hundred sessions, so many speak MySQL
    "transactions": 0,  # of a hundred writes over MySQL, so many are transactions of several statements
    "mysql-members": 0,  # 1: members speak MySQL to edges
    "alone": 0,
    "heavy": 0,  # of a hundred drivers of a large trial, so many are asked five times the mean
    "fleet": 0,  # drivers of the platform are told that they are so many; 0: as many as there are
    "ask-every": 10_000_000,  # and that they must have asked for the list so long ago at most
}


class ScriptError(ValueError):
    """A script that cannot be played; the text has a line for each problem."""


@dataclass(frozen=True, slots=True)
class Step:
    """One fault. Times are microseconds; `for_us` is 0 where it has no end of its own."""

    at_us: int
    for_us: int
    fault: str
    target: str
    value: float
    line: int
    text: str
    other: str = ""  # the far end of a link


@dataclass(slots=True)
class Day:
    """A whole script."""

    settings: dict[str, int] = field(default_factory=lambda: dict(SETTINGS))
    steps: list[Step] = field(default_factory=list)

    def __getitem__(self, name: str) -> int:
        return self.settings[name]


def parse(text: str) -> Day:
    """Raises ScriptError with every problem."""
    day = Day()
    problems = []
    for number, line in enumerate(text.splitlines(), 1):
        try:
            words = shlex.split(line, comments=True)
            if not words:
                continue
            if words[0] == "at":
                day.steps.append(step(words, number, line.strip()))
            elif len(words) == 2 and words[0] in SETTINGS:
                day.settings[words[0]] = value(words[0], words[1])
            else:
                raise ValueError(f"neither a setting with its value nor a fault: {line.strip()[:60]!r}")
        except ValueError as error:
            problems.append(f"line {number}: {error}")
    if problems:
        raise ScriptError("\n".join(problems))
    day.steps.sort(key=lambda s: (s.at_us, s.line))
    return day


def render(day: Day) -> str:
    """A text that parses to the same day."""
    lines = [f"{name} {worded(name, value)}" for name, value in day.settings.items()]
    return "\n".join(lines + [s.text for s in sorted(day.steps, key=lambda s: s.line)]) + "\n"


def worded(name: str, value: int) -> str:
    """Settings that are spans are told as such, to the microsecond."""
    return f"{value / 1000:.3f}ms" if SETTINGS[name] >= 1000 else str(value)


def value(name: str, word: str) -> int:
    if SETTINGS[name] >= 1000 and SPAN.match(word):
        return span(word)
    if not word.isdigit():
        raise ValueError(f"{name} takes a number or a span, not {word!r}")
    return int(word)


def span(word: str) -> int:
    match = SPAN.match(word)
    if match is None:
        raise ValueError(f"{word!r} is not a span such as 2s or 300ms")
    return round(float(match[1]) * (1000 if match[2] == "ms" else 1_000_000))


def step(words: list[str], line: int, text: str) -> Step:
    rest = words[1:]
    if not rest:
        raise ValueError("at what time?")
    at_us, for_us = span(rest.pop(0)), 0
    if rest[:1] == ["for"]:
        if len(rest) < 2:
            raise ValueError("for how long?")
        for_us = span(rest[1])
        rest = rest[2:]
    if len(rest) < 2 or rest[0] not in FAULTS:
        raise ValueError(f"a fault and a target are needed; faults are {', '.join(FAULTS)}")
    fault, target, *more = rest
    takes, ends = FAULTS[fault]
    if ends != bool(for_us):
        raise ValueError(f"{fault} {'needs' if ends else 'takes no'} 'for'")
    number, other = 0.0, ""
    for kind in takes:
        if kind == "to":
            if more[:1] != ["to"] or len(more) < 2:
                raise ValueError(f"behind {fault} {target}: to and a target")
            other, more = more[1], more[2:]
            continue
        if kind == "back":
            if more and (more[0] != "back" or len(more) != 2):
                raise ValueError(f"behind {fault} {target}: back and a span, or nothing")
            number = float(span(more[1])) if more else 0.0
            more = []
            continue
        if len(more) != 1:
            raise ValueError(f"{fault} takes a {kind} behind its target")
        word = more.pop()
        if kind == "span":
            number = float(span(word))
        elif kind == "part":
            match = PART.match(word)
            if match is None or float(match[1]) > 100:
                raise ValueError(f"{word!r} is not a part such as 30%")
            number = float(match[1]) / 100
        else:
            number = float(word)
            if not 0 < number < 1e6:
                raise ValueError(f"{word!r} is out of range")
    if more:
        raise ValueError(f"{more!r} is too much behind {fault} {target}")
    return Step(at_us, for_us, fault, target, number, line, text, other)
