"""The table at the end of a day, from its records."""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import NoReturn

import click
import msgspec
from hdrh.histogram import HdrHistogram

from juniperreel.verification import records as rec
from juniperreel.verification.errors import RecordingFormatError
from juniperreel.verification.history import History, Violation
from juniperreel.verification.rules import RULES, check_all
from juniperreel.verification.staleness import ReadCounts, check_reads

LOWEST, HIGHEST, DIGITS = 1, 60_000_000, 3
REFUSED = (8, 14)


def outcome_of(told: rec.ResponseReceived | None) -> str:
    if told is None or told.local:
        return "no answer"
    return "served" if told.status == 0 else "refused" if told.status in REFUSED else "failed"


def table(records: list[rec.Record]) -> list[str]:
    """Requests by class and outcome, a client's retries counted under its first try."""
    history = History.of(records)
    rows: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    times = {name: HdrHistogram(LOWEST, HIGHEST, DIGITS) for name in history.classes}
    worth_asked = worth_got = 0.0
    first = {rid: a for (rid, number), a in history.requests.items() if number == 0}
    for attempt, asked in history.requests.items():
        told = history.first_response(attempt)
        rows[asked.class_name]["tries"] += 1
        rows[asked.class_name][outcome_of(told)] += 1
        if told is not None and told.status == 0:
            times[asked.class_name].record_value(max(told.at - asked.at, 1))
            cls = history.classes[asked.class_name]
            in_time = told.at - first[attempt.request_id].at <= cls.latency_objective_us
            worth_got += cls.priority_weight * (1.0 if in_time else cls.late_priority_weight)
    for asked in first.values():
        rows[asked.class_name]["asked"] += 1
        worth_asked += history.classes[asked.class_name].priority_weight
    names = ("asked", "tries", "served", "refused", "failed", "no answer")
    lines = [f"{'class':<12}" + "".join(f"{n:>10}" for n in names) + f"{'p50 ms':>10}{'p99 ms':>10}"]
    for name, row in rows.items():
        cells = "".join(f"{row[n]:>10}" for n in names)
        p50, p99 = (times[name].get_value_at_percentile(p) / 1000 for p in (50, 99))
        lines.append(f"{name:<12}{cells}{p50:>10.1f}{p99:>10.1f}")
    offered = sum(r.count for r in records if isinstance(r, rec.LoadOffered))
    if offered:
        lines.append(f"offered {offered} requests, asked {len(first)}, a retry counted under its first try")
    share = worth_got / worth_asked if worth_asked else 0.0
    lines.append(f"share served (worth in time over worth asked, retries under their first try): {share:.3f}")
    count = ReadCounts()
    check_reads(history, count)
    lines.append(
        f"reads judged from their rows: {count.session} of a session's own writes, "
        f"{count.bounded} of bounded age, {count.rows} rows"
    )
    attempts = sum(len(a) for a in history.attempts.values())
    lines.append(f"attempts seen by members: {attempts}")
    return lines


def verdicts(found: dict[int, list[Violation]]) -> Iterable[str]:
    for number, (name, _) in RULES.items():
        violations = found[number]
        if not violations:
            yield f"rule {number} ({name}): held"
            continue
        yield f"rule {number} ({name}): BROKEN {len(violations)} times; first: {violations[0].text}"
        yield f"    {msgspec.json.encode(violations[0].record).decode()}"


def recorded(recording: Path) -> list[rec.Record]:
    """Its records. Where a line is none, the command ends with 2 and says which."""
    try:
        return list(rec.read_recording(recording))
    except RecordingFormatError as error:
        click.echo(str(error), err=True)
        sys.exit(2)


def conclude(records: list[rec.Record], more: Iterable[str] = ()) -> NoReturn:
    """The table, what a command says besides, and the verdicts; ends with 1 for a broken rule, else 0."""
    for line in (*table(records), *more):
        click.echo(line)
    found = check_all(records)
    for line in verdicts(found):
        click.echo(line)
    sys.exit(1 if any(found.values()) else 0)
