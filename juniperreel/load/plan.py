"""What a load run asks, and when: the plan's file.

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

`arrivals.py` draws the requests from it.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

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

# What clients do after a rejection: nothing; retry at once; retry after the wait that they were given.
PATIENT = "patient"
NAIVE = "naive"
HONOURS = "honours"
BEHAVIOURS = (PATIENT, NAIVE, HONOURS)

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
            "behaviour": single(one_of(*BEHAVIOURS), PATIENT),
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
SAME_RATE = 0  # a stage whose `to` is below has its rate to the end


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A request class, with its part of the load.

    A response in time earns `priority_weight`, a later one that times `late_priority_weight`.
    """

    name: str
    part: float
    deadline_us: int
    writes: bool
    statement: str
    priority_weight: float
    latency_objective_us: int
    late_priority_weight: float


class LoadTenant(NamedTuple):
    """A tenant, with its part of the load."""

    name: str
    part: float


@dataclass(frozen=True, slots=True)
class Stage:
    """A span of the run with one kind of arrivals.

    `start_us` counts from the run's start. Rates are requests a second; `burst` requests come at once at the
    start; `closed_clients` each wait for their answers.
    """

    name: str
    start_us: int
    span_us: int
    rate: float
    end_rate: float
    burst: int
    closed_clients: int


@dataclass(frozen=True, slots=True)
class Plan:
    """A whole plan. `channels` are connections of each process to each target.

    `skew` is Zipf's exponent over sessions (0: all ask alike); `headers`: class, tenant and group are sent as
    metadata as well.
    """

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
    tenants: tuple[LoadTenant, ...]
    stages: tuple[Stage, ...]

    @property
    def span_us(self) -> int:
        """From the run's start to the last stage's end."""
        return self.stages[-1].start_us + self.stages[-1].span_us

    @property
    def longest_deadline_us(self) -> int:
        """Of all classes."""
        return max(load_class.deadline_us for load_class in self.classes)


def read_plan(path: Path) -> Plan:
    """Raises SettingsError with every problem, or OSError."""
    return parse_plan(path.read_bytes(), str(path))


def parse_plan(data: bytes, file: str) -> Plan:
    """Read a plan's text. Raises SettingsError, which names `file`, with every problem."""
    sections, problems = lex(data)
    found = read_sections(sections, KINDS, problems)
    if not problems:
        check(found, problems)
    if problems:
        raise SettingsError(file, problems)
    load = found["load"][0]
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
        classes=tuple(_load_class(section) for section in found["class"]),
        tenants=tuple(LoadTenant(section.name, section["part"]) for section in found["tenant"]),
        stages=_stages(found["stage"]),
    )


def _load_class(section: SectionValues) -> LoadClass:
    writes = section["does"] == "write"
    return LoadClass(
        section.name,
        section["part"],
        section["deadline"],
        writes,
        section["statement"] or (WRITE if writes else READ),
        section["worth"],
        section["aim"] or section["deadline"],
        section["late-worth"],
    )


def _stages(sections: list[SectionValues]) -> tuple[Stage, ...]:
    stages = []
    start_us = 0
    for section in sections:
        rate = section["rate"]
        end_rate = rate if section["to"] < SAME_RATE else section["to"]
        span_us = section["for"]
        stages.append(
            Stage(section.name, start_us, span_us, rate, end_rate, section["burst"], section["closed"])
        )
        start_us += span_us
    return tuple(stages)


def check(found: dict[str, list[SectionValues]], problems: list[Problem]) -> None:
    """Add what is wrong with sections that can be read each by itself."""
    load = found["load"][0]
    counts = ("groups", "sessions", "processes", "channels")
    problems += [_problem(load, name, "at least one") for name in counts if load[name] < 1]
    if not found["stage"]:
        problems.append(Problem(1, "no stage: nothing would be asked"))
    for stage in found["stage"]:
        _check_stage(stage, problems)
    problems += [
        _problem(found[kind][0], "part", f"no {kind} has a part of the load")
        for kind in ("class", "tenant")
        if found[kind] and not sum(section["part"] for section in found[kind])
    ]
    problems += [
        _problem(section, "deadline", "must be above 0")
        for section in found["class"]
        if not section["deadline"]
    ]


def _check_stage(stage: SectionValues, problems: list[Problem]) -> None:
    has_rate = stage["rate"] > 0 or stage["to"] > 0
    has_burst = stage["burst"] > 0
    if stage["closed"] > 0 and (has_rate or has_burst):
        problems.append(_problem(stage, "closed", "a closed loop has no rate and no burst"))
    if not stage["for"]:
        problems.append(_problem(stage, "for", "must be above 0"))


def _problem(section: SectionValues, name: str, reason: str) -> Problem:
    return Problem(section.line_of(name), f"{name}: {reason}")
