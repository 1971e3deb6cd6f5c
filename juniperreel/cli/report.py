"""The table at the end of a history, from its records, and the verdicts on the rules."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
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

# Response times of the histograms: microseconds, and significant digits.
LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
MILLISECOND_US = 1_000
REFUSED_STATUSES = (8, 14)  # gRPC's RESOURCE_EXHAUSTED and UNAVAILABLE
OUTCOMES = ("served", "refused", "failed", "no answer")
PERCENTILES = (50, 99)
BAD_RECORDING_STATUS = 2


def outcome_of(answer: rec.ResponseReceived | None) -> str:
    """Which of OUTCOMES an answer is; None and what the client gave itself are no answer."""
    if answer is None or answer.local:
        return "no answer"
    if answer.status == 0:
        return "served"
    return "refused" if answer.status in REFUSED_STATUSES else "failed"


@dataclass(slots=True)
class ClassSummary:
    """What became of one class's requests; `requests` counts a client's retries under the first attempt."""

    requests: int = 0
    attempts: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS))

    def row(self, name: str) -> str:
        """The class's line in the table."""
        counts = (self.requests, self.attempts, *(self.outcomes[outcome] for outcome in OUTCOMES))
        percentiles = [
            self.times.get_value_at_percentile(percentile) / MILLISECOND_US for percentile in PERCENTILES
        ]
        cells = "".join(f"{count:>10}" for count in counts)
        return f"{name:<12}{cells}" + "".join(f"{value:>10.1f}" for value in percentiles)


class DaySummary:
    """Requests by class, and the share of the priority weight that was served.

    A response in time earns its class's whole weight and a late one a part of it, both measured from the
    client's first attempt.
    """

    def __init__(self, history: History) -> None:
        self.classes: dict[str, ClassSummary] = {}
        self._day = history
        self._first_attempts = {
            attempt.request_id: request
            for attempt, request in history.requests.items()
            if attempt.number == 0
        }
        self._weight_earned = 0.0
        for attempt, request in history.requests.items():
            self._count(request, history.first_response(attempt))
        self._weight_offered = 0.0
        for request in self._first_attempts.values():
            self.classes[request.class_name].requests += 1
            self._weight_offered += history.classes[request.class_name].priority_weight

    @property
    def requests(self) -> int:
        """Requests of clients, without their retries."""
        return len(self._first_attempts)

    @property
    def served_share(self) -> float:
        """Weight earned over weight offered; 0 where there was no request."""
        return self._weight_earned / self._weight_offered if self._weight_offered else 0.0

    def table(self) -> Iterator[str]:
        """A line of headings and a line a class."""
        headings = ("asked", "tries", *OUTCOMES, *(f"p{percentile} ms" for percentile in PERCENTILES))
        yield f"{'class':<12}" + "".join(f"{heading:>10}" for heading in headings)
        for name, summary in self.classes.items():
            yield summary.row(name)

    def _count(self, request: rec.RequestSent, answer: rec.ResponseReceived | None) -> None:
        summary = self.classes.setdefault(request.class_name, ClassSummary())
        summary.attempts += 1
        summary.outcomes[outcome_of(answer)] += 1
        if answer is not None and answer.status == 0:
            summary.times.record_value(max(answer.at - request.at, 1))
            self._weight_earned += self._weight_of(request, answer)

    def _weight_of(self, request: rec.RequestSent, answer: rec.ResponseReceived) -> float:
        cls = self._day.classes[request.class_name]
        in_time = answer.at - self._first_attempts[request.request_id].at <= cls.latency_objective_us
        return cls.priority_weight * (1.0 if in_time else cls.late_priority_weight)


def summary_lines(records: list[rec.Record]) -> list[str]:
    """Requests by class and outcome, the share served, and how much the checkers had to judge by."""
    history = History.of(records)
    summary = DaySummary(history)
    lines = [*summary.table()]
    offered = sum(record.count for record in records if isinstance(record, rec.LoadOffered))
    if offered:
        lines.append(
            f"offered {offered} requests, asked {summary.requests}, a retry counted under its first try"
        )
    lines.append(
        "share served (worth in time over worth asked, retries under their first try): "
        f"{summary.served_share:.3f}"
    )
    reads = ReadCounts()
    check_reads(history, reads)
    lines.append(
        f"reads judged from their rows: {reads.session} of a session's own writes, "
        f"{reads.bounded} of bounded age, {reads.rows} rows"
    )
    attempts = sum(len(arrivals) for arrivals in history.attempts.values())
    lines.append(f"attempts seen by members: {attempts}")
    return lines


def verdicts(found: dict[int, list[Violation]]) -> Iterator[str]:
    """A line for each rule that held, two for each that was broken."""
    for number, (name, _) in RULES.items():
        violations = found[number]
        if not violations:
            yield f"rule {number} ({name}): held"
            continue
        yield f"rule {number} ({name}): BROKEN {len(violations)} times; first: {violations[0].text}"
        yield f"    {msgspec.json.encode(violations[0].record).decode()}"


def read_recording_or_exit(recording: Path) -> list[rec.Record]:
    """Return the records; where a line is none, say which and end the command with 2."""
    try:
        return list(rec.read_recording(recording))
    except RecordingFormatError as error:
        click.echo(str(error), err=True)
        sys.exit(BAD_RECORDING_STATUS)


def conclude(records: list[rec.Record], more: Iterable[str] = ()) -> NoReturn:
    """Print the summary, `more` and the verdicts; end the command with 1 for a broken rule, else 0."""
    for line in (*summary_lines(records), *more):
        click.echo(line)
    found = check_all(records)
    for line in verdicts(found):
        click.echo(line)
    sys.exit(1 if any(found.values()) else 0)
