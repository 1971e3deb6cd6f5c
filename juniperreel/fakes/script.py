"""The script of a run: settings of the fleet and its load, and faults with their times.

    groups 3                    # a setting of the fleet or its load, one per line
    at 2s for 4s slow g0/1 0.4
    at 5s kill g1/primary back 6s

A target is an endpoint (`g0/primary`, `g0/2`), a fraction of all (`random:25%`), `all`, a group (`g0`), a
zone (`zone:1`; numbers alternate between two), an edge (`edge/1`, `edge/zone:1`, `edge/random:10%`, `edge/*`
for all), an instance of the configuration cluster (`instance/0`) or `list`. A link fault has two ends, an
edge and a target to which it connects: `at 3s for 2s link-cut edge/1 to g0/primary`. Times count from the
start of the run; the same text and seed give the same faults.
"""

from __future__ import annotations

import re
import shlex
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from juniperreel.fakes.errors import FakesError

SPAN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)\Z")
PERCENTAGE = re.compile(r"([0-9]+(?:\.[0-9]+)?)%\Z")
MAX_NUMBER = 1e6
MIN_SPAN_DEFAULT = 1000  # a setting with at least this default is a span, in microseconds
MAX_QUOTED_CHARACTERS = 60


class Argument(Enum):
    """The kind of argument that follows a fault's target."""

    RESTART = "back"  # optional: `back` and a span
    LINK_TARGET = "to"
    PART = "part"
    NUMBER = "number"
    SPAN = "span"


class FaultSyntax(NamedTuple):
    """The arguments of a fault; if `timed`, its duration is given with `for`."""

    arguments: tuple[Argument, ...] = ()
    timed: bool = False


FAULTS = {
    "kill": FaultSyntax((Argument.RESTART,)),
    "hang": FaultSyntax(timed=True),
    "refuse": FaultSyntax(timed=True),
    "lose": FaultSyntax((Argument.PART,), timed=True),
    "break": FaultSyntax((Argument.PART,), timed=True),
    "fail": FaultSyntax((Argument.PART,), timed=True),
    "slow": FaultSyntax((Argument.NUMBER,), timed=True),
    "lag": FaultSyntax((Argument.NUMBER,), timed=True),
    "cut": FaultSyntax(timed=True),
    "skew": FaultSyntax((Argument.SPAN,), timed=True),
    "drain": FaultSyntax(),
    "roll": FaultSyntax((Argument.SPAN,)),
    "two-primaries": FaultSyntax(timed=True),
    "freeze": FaultSyntax(timed=True),
    "empty": FaultSyntax(timed=True),
    "flap": FaultSyntax(timed=True),
    "edge-kill": FaultSyntax((Argument.RESTART,)),
    "edge-stall": FaultSyntax(timed=True),
    "edge-term": FaultSyntax((Argument.RESTART,)),  # SIGTERM, then SIGKILL when its time for shutdown is over
    "edge-signals": FaultSyntax((Argument.RESTART,)),  # the same, with repeated SIGHUP and SIGTERM
    "edge-reload": FaultSyntax(),  # SIGHUP, with a new address of the discovery service
    "instance-kill": FaultSyntax((Argument.RESTART,)),
    "link-cut": FaultSyntax((Argument.LINK_TARGET,), timed=True),
    "link-deaf": FaultSyntax((Argument.LINK_TARGET,), timed=True),
    "link-reset": FaultSyntax((Argument.LINK_TARGET,)),
    # To `list` only: open watches are never answered; new ones are.
    "link-mute": FaultSyntax((Argument.LINK_TARGET,)),
    "link-slow": FaultSyntax((Argument.LINK_TARGET, Argument.SPAN), timed=True),
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
    "mysql": 0,  # percentage of sessions that use MySQL
    "transactions": 0,  # percentage of MySQL writes sent as transactions of several statements
    "mysql-members": 0,  # 1: edges use MySQL to endpoints
    "alone": 0,  # 1: writes do not wait for a replica
    "heavy": 0,  # percentage of edges of a large trial that receive five times the mean load
    "fleet": 0,  # number of edges in the configuration of the platform's edges; 0: the actual number
    "longest-deadline": 8_000_000,  # of a trial's requests; shorter deadlines are scaled in proportion
    "crowd": 0,  # idle clients per edge of a soak, whose file descriptors are limited if set
    "ask-every": 10_000_000,  # configured longest interval between polls of the endpoint list
}


class ScriptError(FakesError, ValueError):
    """A script is invalid; the message has a line for each problem."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Step:
    """A fault. Times are in microseconds; `for_us` is 0 for a fault without a duration."""

    at_us: int
    for_us: int
    fault: str
    target: str
    value: float  # the fault's argument: a fraction, a number, or microseconds
    line: int
    text: str
    other: str = ""  # the remote end of a link


@dataclass(slots=True)
class Script:
    """The settings and steps of a script."""

    settings: dict[str, int] = field(default_factory=lambda: dict(SETTINGS))
    steps: list[Step] = field(default_factory=list)

    def __getitem__(self, name: str) -> int:
        """The value of a setting."""
        return self.settings[name]


def parse(text: str) -> Script:
    """Parse a script. Raises ScriptError, which lists all problems."""
    script = Script()
    problems = []
    for number, line in enumerate(text.splitlines(), 1):
        try:
            _parse_line(script, number, line)
        except ValueError as error:
            problems.append(f"line {number}: {error}")
    if problems:
        raise ScriptError(problems)
    script.steps.sort(key=lambda step: (step.at_us, step.line))
    return script


def _parse_line(script: Script, number: int, line: str) -> None:
    tokens = shlex.split(line, comments=True)
    if not tokens:
        return
    if tokens[0] == "at":
        script.steps.append(parse_step(tokens, number, line.strip()))
    elif len(tokens) == 2 and tokens[0] in SETTINGS:
        script.settings[tokens[0]] = parse_setting(tokens[0], tokens[1])
    else:
        quoted = line.strip()[:MAX_QUOTED_CHARACTERS]
        raise ValueError(f"neither a setting with its value nor a fault: {quoted!r}")


def render(script: Script) -> str:
    """Render a text that parses to the same script."""
    lines = [f"{name} {render_setting(name, value)}" for name, value in script.settings.items()]
    steps = [step.text for step in sorted(script.steps, key=lambda step: step.line)]
    return "\n".join(lines + steps) + "\n"


def is_span(name: str) -> bool:
    """Whether a setting is a duration in microseconds."""
    return SETTINGS[name] >= MIN_SPAN_DEFAULT


def render_setting(name: str, value: int) -> str:
    """Render the value of a setting; durations are in milliseconds with microsecond precision."""
    return f"{value / 1000:.3f}ms" if is_span(name) else str(value)


def parse_setting(name: str, token: str) -> int:
    """Parse the value of a setting. Raises ValueError."""
    if is_span(name) and SPAN.match(token):
        return parse_span(token)
    if not token.isdigit():
        raise ValueError(f"{name} takes a number or a span, not {token!r}")
    return int(token)


def parse_span(token: str) -> int:
    """Parse a duration into microseconds. Raises ValueError."""
    match = SPAN.match(token)
    if match is None:
        raise ValueError(f"{token!r} is not a span such as 2s or 300ms")
    return round(float(match[1]) * (1000 if match[2] == "ms" else 1_000_000))


def parse_step(tokens: list[str], line: int, text: str) -> Step:
    """Parse a line that begins with `at`. Raises ValueError."""
    rest = tokens[1:]
    if not rest:
        raise ValueError("'at' needs a time")
    at_us = parse_span(rest.pop(0))
    for_us = 0
    if rest[:1] == ["for"]:
        if len(rest) < 2:
            raise ValueError("'for' needs a duration")
        for_us = parse_span(rest[1])
        rest = rest[2:]
    if len(rest) < 2 or rest[0] not in FAULTS:
        raise ValueError(f"a fault and a target are needed; faults are {', '.join(FAULTS)}")
    fault, target, *arguments = rest
    syntax = FAULTS[fault]
    if syntax.timed != bool(for_us):
        raise ValueError(f"{fault} {'needs' if syntax.timed else 'takes no'} 'for'")
    parsed = _parse_arguments(f"{fault} {target}", syntax, arguments)
    return Step(at_us, for_us, fault, target, parsed.value, line, text, parsed.link_target)


class ParsedArguments(NamedTuple):
    """The parsed arguments of one fault."""

    value: float
    link_target: str


def _parse_arguments(described: str, syntax: FaultSyntax, tokens: list[str]) -> ParsedArguments:
    value = 0.0
    link_target = ""
    for argument in syntax.arguments:
        if argument is Argument.LINK_TARGET:
            if tokens[:1] != ["to"] or len(tokens) < 2:
                raise ValueError(f"after {described}: to and a target")
            link_target = tokens[1]
            tokens = tokens[2:]
        elif argument is Argument.RESTART:
            value = _parse_restart(described, tokens)
            tokens = []
        else:
            if len(tokens) != 1:
                fault = described.split()[0]
                raise ValueError(f"{fault} takes a {argument.value} after its target")
            value = _parse_value(argument, tokens[0])
            tokens = []
    if tokens:
        raise ValueError(f"{tokens!r} is too much behind {described}")
    return ParsedArguments(value, link_target)


def _parse_restart(described: str, tokens: list[str]) -> float:
    """Microseconds until a process is restarted; 0 for never."""
    if not tokens:
        return 0.0
    if tokens[0] != "back" or len(tokens) != 2:
        raise ValueError(f"after {described}: back and a span, or nothing")
    return float(parse_span(tokens[1]))


def _parse_value(argument: Argument, token: str) -> float:
    if argument is Argument.SPAN:
        return float(parse_span(token))
    if argument is Argument.PART:
        match = PERCENTAGE.match(token)
        if match is None or float(match[1]) > 100:
            raise ValueError(f"{token!r} is not a part such as 30%")
        return float(match[1]) / 100
    number = float(token)
    if not 0 < number < MAX_NUMBER:
        raise ValueError(f"{token!r} is out of range")
    return number
