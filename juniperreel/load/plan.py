"""What a load run asks, and when: the plan's file, and the arrivals drawn from it ahead of the run.

    [load]
    target 127.0.0.1:7100
    groups 3
    sessions 600
    [class own-read]
    part 80%
    deadline 2s
    [tenant fastlap]
    part 69%
    [stage calm]
    rate 200
    for 6s

Open loop: when a request is due does not depend on any answer, and latencies count from then, so that a slow
server hides nothing (Schroeder, Wierman, Harchol-Balter: Open Versus Closed, NSDI 2006).
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate
from pathlib import Path

from juniperreel.settings.errors import Problem, SettingsError
from juniperreel.settings.lexer import lex
from juniperreel.settings.schema import DirectiveSpec, SectionSpec, SectionValues, read_sections, single
from juniperreel.settings.values import (
    one_of,
    parse_address,
    parse_duration,
    parse_flag,
    parse_integer,
    parse_number,
    parse_percentage,
)

KINDS = {
    "load": SectionSpec(
        {
            "target": DirectiveSpec((parse_address,), repeated=True),
            "groups": single(parse_integer, 1),
            "sessions": single(parse_integer, 100),
            "skew": single(parse_number, 0.0),  # of sessions, as Zipf's exponent; 0 asks all alike
            "seed": single(parse_integer, 1),
            "processes": single(parse_integer, 2),
            "channels": single(parse_integer, 8),  # connections of each process to each target
            "behaviour": single(one_of("patient", "naive", "honours"), "patient"),
            "retries": single(parse_integer, 3),
            "headers": single(parse_flag, False),  # class, tenant and group also as metadata
        }
    ),
    "class": SectionSpec(
        {
            "part": single(parse_percentage),
            "deadline": single(parse_duration),
            "does": single(one_of("read", "write"), "read"),
            "statement": single(str, ""),
            "worth": single(parse_number, 1.0),
            "aim": single(parse_duration, 0),
            "late-worth": single(parse_percentage, 0.0),
        },
        named=True,
    ),
    "tenant": SectionSpec({"part": single(parse_percentage)}, named=True, required=False),
    "stage": SectionSpec(
        {
            "rate": single(parse_number, 0.0),
            "to": single(parse_number, -1.0),  # the rate at its end, for a ramp
            "burst": single(parse_integer, 0),  # all at the stage's start
            "closed": single(parse_integer, 0),  # clients that each wait for their answer
            "for": single(parse_duration),
        },
        named=True,
    ),
}
READ = "select id from runs where runner = ? order by number desc limit 40 /* rid {} */"
WRITE = "insert into runs (runner, id) values (?, ?) /* rid {} */"
US = 1_000_000


@dataclass(frozen=True, slots=True)
class LoadClass:
    name: str
    part: float
    deadline_us: int
    writes: bool
    statement: str
    worth: float
    aim_us: int
    late_worth: float


@dataclass(frozen=True, slots=True)
class Stage:
    """`start_us` counts from the run's start; `to` is the rate at the end."""

    name: str
    start_us: int
    span_us: int
    rate: float
    to: float
    burst: int
    closed: int


@dataclass(frozen=True, slots=True)
class Plan:
    targets: tuple[tuple[str, int], ...]
    groups: int
    sessions: int
    skew: float
    seed: int
    processes: int
    channels: int
    behaviour: str
    retries: int
    headers: bool
    classes: tuple[LoadClass, ...]
    tenants: tuple[tuple[str, float], ...]
    stages: tuple[Stage, ...]

    @property
    def span_us(self) -> int:
        return self.stages[-1].start_us + self.stages[-1].span_us


@dataclass(frozen=True, slots=True)
class Due:
    """One request: when it is due, and what it asks. `session` says whose rows, and in which group."""

    at_us: int
    number: int
    stage: int
    cls: int
    tenant: int
    session: int


def read_plan(path: Path) -> Plan:
    """Raises SettingsError with every problem, or OSError."""
    return parse_plan(path.read_bytes(), str(path))


def parse_plan(data: bytes, file: str) -> Plan:
    sections, problems = lex(data)
    found = read_sections(sections, KINDS, problems)
    if not problems:
        check(found, problems)
    if problems:
        raise SettingsError(file, problems)
    load = found["load"][0]
    stages: list[Stage] = []
    start = 0
    for s in found["stage"]:
        to = s["rate"] if s["to"] < 0 else s["to"]
        stages.append(Stage(s.name, start, s["for"], s["rate"], to, s["burst"], s["closed"]))
        start += s["for"]
    return Plan(
        targets=tuple(load["target"]),
        groups=load["groups"],
        sessions=load["sessions"],
        skew=load["skew"],
        seed=load["seed"],
        processes=load["processes"],
        channels=load["channels"],
        behaviour=load["behaviour"],
        retries=load["retries"],
        headers=load["headers"],
        classes=tuple(
            LoadClass(
                c.name,
                c["part"],
                c["deadline"],
                c["does"] == "write",
                c["statement"] or (WRITE if c["does"] == "write" else READ),
                c["worth"],
                c["aim"] or c["deadline"],
                c["late-worth"],
            )
            for c in found["class"]
        ),
        tenants=tuple((t.name, t["part"]) for t in found["tenant"]),
        stages=tuple(stages),
    )


def check(found: dict[str, list[SectionValues]], problems: list[Problem]) -> None:
    load = found["load"][0]

    def wrong(section: SectionValues, name: str, reason: str) -> None:
        problems.append(Problem(section.line_of(name), f"{name}: {reason}"))

    for name in ("groups", "sessions", "processes", "channels"):
        if load[name] < 1:
            wrong(load, name, "at least one")
    if not found["stage"]:
        problems.append(Problem(1, "no stage: nothing would be asked"))
    for s in found["stage"]:
        ways = (s["rate"] > 0 or s["to"] > 0, s["burst"] > 0, s["closed"] > 0)
        if sum(ways) > 1 and not (ways[0] and ways[1] and not ways[2]):
            wrong(s, "closed", "a closed loop has no rate and no burst")
        if not s["for"]:
            wrong(s, "for", "must be above 0")
    for kind in ("class", "tenant"):
        if found[kind] and not sum(s["part"] for s in found[kind]):
            wrong(found[kind][0], "part", f"no {kind} has a part of the load")
    for c in found["class"]:
        if not c["deadline"]:
            wrong(c, "deadline", "must be above 0")


def zipf(count: int, exponent: float) -> list[float]:
    """Cumulative weights of `count` items, the n-th as 1/n^exponent."""
    return list(accumulate(1.0 / n**exponent for n in range(1, count + 1)))


def offsets(stage: Stage, rng: random.Random) -> Iterator[int]:
    """Arrival times of a stage, from its start: a burst, then a Poisson process whose rate is a line, by
    thinning (Lewis and Shedler, 1979)."""
    for _ in range(stage.burst):
        yield 0
    most = max(stage.rate, stage.to)
    if most <= 0:
        return
    at = 0.0
    while (at := at + rng.expovariate(most) * US) < stage.span_us:
        rate = stage.rate + (stage.to - stage.rate) * at / stage.span_us
        if rng.random() * most < rate:
            yield int(at)


def draw(plan: Plan) -> list[Due]:
    """Every request of the open stages, in order; the same for the same seed."""
    rng = random.Random(plan.seed)
    chooser = Chooser(plan, random.Random(rng.random()))
    found: list[Due] = []
    for i, stage in enumerate(plan.stages):
        for offset in offsets(stage, rng):
            found.append(chooser.due(stage.start_us + offset, len(found), i))
    return found


class Chooser:
    """Draws who asks for what."""

    def __init__(self, plan: Plan, rng: random.Random) -> None:
        self._rng = rng
        self._classes = list(accumulate(c.part for c in plan.classes))
        self._tenants = list(accumulate(p for _, p in plan.tenants))
        self._sessions = zipf(plan.sessions, plan.skew)

    def due(self, at_us: int, number: int, stage: int) -> Due:
        choose = self._rng.choices
        return Due(
            at_us,
            number,
            stage,
            choose(range(len(self._classes)), cum_weights=self._classes)[0],
            choose(range(len(self._tenants)), cum_weights=self._tenants)[0] if self._tenants else -1,
            choose(range(len(self._sessions)), cum_weights=self._sessions)[0],
        )
