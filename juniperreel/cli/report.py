"""The report on a recording: outcomes and latency by request class, and a verdict on each rule."""

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
from juniperreel.verification.errors import IncompleteRecordingError, RecordingFormatError
from juniperreel.verification.history import History, Violation
from juniperreel.verification.rules import RULES, check_all
from juniperreel.verification.staleness import ReadCounts, check_reads

# Range of the response time histograms in microseconds, and their precision.
HISTOGRAM_MIN_US = 1
HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3
MILLISECOND_US = 1_000
REJECTED_STATUSES = (8, 14)  # gRPC's RESOURCE_EXHAUSTED and UNAVAILABLE
OUTCOMES = ("served", "refused", "failed", "no answer")
PERCENTILES = (50, 99)
INVALID_RECORDING_STATUS = 2


def classify_response(response: rec.ResponseReceived | None) -> str:
    """Classify a response as one of OUTCOMES; a missing or client-generated one is 'no answer'."""
    if response is None or response.local:
        return "no answer"
    if response.status == 0:
        return "served"
    return "refused" if response.status in REJECTED_STATUSES else "failed"


@dataclass(slots=True)
class ClassSummary:
    """The outcomes of one class's requests; `requests` does not count client retries, `attempts` does."""

    requests: int = 0
    attempts: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    response_times: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS)
    )

    def row(self, name: str) -> str:
        """Format the class's row of the table."""
        counts = (self.requests, self.attempts, *(self.outcomes[outcome] for outcome in OUTCOMES))
        percentiles = [
            self.response_times.get_value_at_percentile(percentile) / MILLISECOND_US
            for percentile in PERCENTILES
        ]
        cells = "".join(f"{count:>10}" for count in counts)
        return f"{name:<12}{cells}" + "".join(f"{value:>10.1f}" for value in percentiles)


class RunSummary:
    """Requests by class, and the share of the offered priority weight that was served.

    A response within the latency objective earns its class's full weight and a late one a fraction of it. The
    time counts from the client's first attempt.
    """

    def __init__(self, history: History) -> None:
        self.classes: dict[str, ClassSummary] = {}
        self._history = history
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
        """The number of client requests, not counting retries."""
        return len(self._first_attempts)

    @property
    def served_share(self) -> float:
        """Weight earned over weight offered; 0 if there were no requests."""
        return self._weight_earned / self._weight_offered if self._weight_offered else 0.0

    def table(self) -> Iterator[str]:
        """Yield a header and one row per class."""
        headings = ("asked", "tries", *OUTCOMES, *(f"p{percentile} ms" for percentile in PERCENTILES))
        yield f"{'class':<12}" + "".join(f"{heading:>10}" for heading in headings)
        for name, summary in self.classes.items():
            yield summary.row(name)

    def _count(self, request: rec.RequestSent, response: rec.ResponseReceived | None) -> None:
        summary = self.classes.setdefault(request.class_name, ClassSummary())
        summary.attempts += 1
        summary.outcomes[classify_response(response)] += 1
        if response is not None and response.status == 0:
            summary.response_times.record_value(max(response.at - request.at, 1))
            self._weight_earned += self._earned_weight(request, response)

    def _earned_weight(self, request: rec.RequestSent, response: rec.ResponseReceived) -> float:
        cls = self._history.classes[request.class_name]
        in_time = response.at - self._first_attempts[request.request_id].at <= cls.latency_objective_us
        return cls.priority_weight * (1.0 if in_time else cls.late_priority_weight)


def summary_lines(records: list[rec.Record]) -> list[str]:
    """Summarize requests by class and outcome, the share served, and how many reads the checkers judged."""
    history = History.of(records)
    summary = RunSummary(history)
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


def verdict_lines(violations_by_rule: dict[int, list[Violation]]) -> Iterator[str]:
    """Yield one line per rule that held, and two per violated rule: the verdict and the offending record."""
    for number, (name, _) in RULES.items():
        violations = violations_by_rule[number]
        if not violations:
            yield f"rule {number} ({name}): held"
            continue
        yield f"rule {number} ({name}): BROKEN {len(violations)} times; first: {violations[0].text}"
        yield f"    {msgspec.json.encode(violations[0].record).decode()}"


def read_recording_or_exit(recording: Path) -> list[rec.Record]:
    """Read a recording; if a line is invalid, print which and exit with INVALID_RECORDING_STATUS."""
    try:
        return list(rec.read_recording(recording))
    except RecordingFormatError as error:
        click.echo(str(error), err=True)
        sys.exit(INVALID_RECORDING_STATUS)


def print_report_and_exit(records: list[rec.Record], extra_lines: Iterable[str] = ()) -> NoReturn:
    """Print the summary, `extra_lines` and the verdicts; exit with 1 if a rule was violated, else 0."""
    for line in (*summary_lines(records), *extra_lines):
        click.echo(line)
    try:
        violations_by_rule = check_all(records)
    except IncompleteRecordingError as error:
        click.echo(str(error), err=True)
        sys.exit(INVALID_RECORDING_STATUS)
    for line in verdict_lines(violations_by_rule):
        click.echo(line)
    sys.exit(1 if any(violations_by_rule.values()) else 0)
