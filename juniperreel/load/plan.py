"""The plan of a load run: its file format and parser.

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

`arrivals.py` generates the requests from it.
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

# Client behaviour after a rejection: no retry, an immediate retry, or a retry after the given delay.
NO_RETRY = "patient"
IMMEDIATE_RETRY = "naive"
HONOUR_RETRY_AFTER = "honours"
BEHAVIOURS = (NO_RETRY, IMMEDIATE_RETRY, HONOUR_RETRY_AFTER)

SECTIONS = {
    "load": SectionSpec(
        {
            "target": DirectiveSpec((parse_address,), repeated=True),
            "groups": single(parse_integer, 1),
            "sessions": single(parse_integer, 100),
            "skew": single(parse_number, 0.0),  # Zipf exponent of the session popularity; 0 is uniform
            "seed": single(parse_integer, 1),
            "processes": single(parse_integer, 2),
            "channels": single(parse_integer, 8),  # connections per process and target
            "behaviour": single(one_of(*BEHAVIOURS), NO_RETRY),
            "retries": single(parse_integer, 3),
            "headers": single(parse_flag, False),  # send class, tenant and group also as metadata
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
            "to": single(parse_number, -1.0),  # the rate at the end of a ramp
            "burst": single(parse_integer, 0),  # requests sent at once at the start
            "closed": single(parse_integer, 0),  # number of closed-loop clients
            "for": single(parse_duration),
        },
        named=True,
    ),
}
DEFAULT_READ_STATEMENT = "select id from runs where runner = ? order by number desc limit 40 /* rid {} */"
DEFAULT_WRITE_STATEMENT = "insert into runs (runner, id) values (?, ?) /* rid {} */"
MIN_END_RATE = 0  # a stage whose `to` is below this keeps a constant rate


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A request class and its share of the load.

    A response within the latency objective earns `priority_weight`, and a late one that weight multiplied by
    `late_priority_weight`.
    """

    name: str
    share: float
    deadline_us: int
    writes: bool
    statement: str
    priority_weight: float
    latency_objective_us: int
    late_priority_weight: float


class LoadTenant(NamedTuple):
    """A tenant and its share of the load."""

    name: str
    share: float


@dataclass(frozen=True, slots=True)
class Stage:
    """A period of the run with its own arrival process.

    `start_us` counts from the start of the run. Rates are in requests per second, changing linearly from
    `rate` to `end_rate`; `burst` requests are sent at once at the start; each of `closed_clients` sends its
    next request after the previous response.
    """

    name: str
    start_us: int
    duration_us: int
    rate: float
    end_rate: float
    burst: int
    closed_clients: int


@dataclass(frozen=True, slots=True)
class Plan:
    """A complete plan.

    `channels` is the number of connections per process and target; `skew` is the Zipf exponent of the session
    popularity (0 is uniform); with `headers`, class, tenant and group are also sent as metadata.
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
    def duration_us(self) -> int:
        """The time from the start of the run to the end of the last stage."""
        return self.stages[-1].start_us + self.stages[-1].duration_us

    @property
    def longest_deadline_us(self) -> int:
        """The longest deadline of all classes."""
        return max(load_class.deadline_us for load_class in self.classes)


def read_plan(path: Path) -> Plan:
    """Read a plan file. Raises SettingsError with every problem, or OSError."""
    return parse_plan(path.read_bytes(), str(path))


def parse_plan(data: bytes, file: str) -> Plan:
    """Parse a plan. Raises SettingsError with every problem; `file` is the name used in messages."""
    raw_sections, problems = lex(data)
    sections_by_kind = read_sections(raw_sections, SECTIONS, problems)
    if not problems:
        validate(sections_by_kind, problems)
    if problems:
        raise SettingsError(file, problems)
    load = sections_by_kind["load"][0]
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
        classes=tuple(_parse_class(section) for section in sections_by_kind["class"]),
        tenants=tuple(LoadTenant(section.name, section["part"]) for section in sections_by_kind["tenant"]),
        stages=_parse_stages(sections_by_kind["stage"]),
    )


def _parse_class(section: SectionValues) -> LoadClass:
    writes = section["does"] == "write"
    return LoadClass(
        section.name,
        section["part"],
        section["deadline"],
        writes,
        section["statement"] or (DEFAULT_WRITE_STATEMENT if writes else DEFAULT_READ_STATEMENT),
        section["worth"],
        section["aim"] or section["deadline"],
        section["late-worth"],
    )


def _parse_stages(sections: list[SectionValues]) -> tuple[Stage, ...]:
    stages = []
    start_us = 0
    for section in sections:
        rate = section["rate"]
        end_rate = rate if section["to"] < MIN_END_RATE else section["to"]
        duration_us = section["for"]
        stages.append(
            Stage(section.name, start_us, duration_us, rate, end_rate, section["burst"], section["closed"])
        )
        start_us += duration_us
    return tuple(stages)


def validate(sections_by_kind: dict[str, list[SectionValues]], problems: list[Problem]) -> None:
    """Append the problems of sections that are well-formed individually."""
    load = sections_by_kind["load"][0]
    count_directives = ("groups", "sessions", "processes", "channels")
    problems += [_problem(load, name, "must be at least 1") for name in count_directives if load[name] < 1]
    if not sections_by_kind["stage"]:
        problems.append(Problem(1, "the plan has no stage"))
    for stage in sections_by_kind["stage"]:
        _validate_stage(stage, problems)
    problems += [
        _problem(sections_by_kind[kind][0], "part", f"no {kind} has a share of the load above 0")
        for kind in ("class", "tenant")
        if sections_by_kind[kind] and not sum(section["part"] for section in sections_by_kind[kind])
    ]
    problems += [
        _problem(section, "deadline", "must be above 0")
        for section in sections_by_kind["class"]
        if not section["deadline"]
    ]


def _validate_stage(stage: SectionValues, problems: list[Problem]) -> None:
    has_rate = stage["rate"] > 0 or stage["to"] > 0
    has_burst = stage["burst"] > 0
    if stage["closed"] > 0 and (has_rate or has_burst):
        problems.append(_problem(stage, "closed", "a closed-loop stage cannot have a rate or a burst"))
    if not stage["for"]:
        problems.append(_problem(stage, "for", "must be above 0"))


def _problem(section: SectionValues, name: str, reason: str) -> Problem:
    return Problem(section.line_of(name), f"{name}: {reason}")
