"""A result in figures: by stage, by class, by tenant, over time; and rule 1 as the clients saw it."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple, TypeVar

from hdrh.histogram import HdrHistogram

from juniperreel.load.arrivals import NO_TENANT
from juniperreel.load.plan import LoadClass, Plan, parse_plan
from juniperreel.load.result_file import REJECTED_STATUSES, Attempt, ProcessUsage, RunStart, read_result
from juniperreel.verification import records as rec

SECOND_US = 1_000_000
# Times of the histograms: microseconds, and significant digits.
LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3
FULL_CPU = 0.95  # of a core: a client that spends more may be what was measured
Key = TypeVar("Key", bound=Hashable)
COLUMNS = (
    "offered/s",
    "good/s",
    "refused/s",
    "failed/s",
    "silent/s",
    "p50 ms",
    "p99 ms",
    "ref p99",
    "worth",
)


def make_histogram() -> HdrHistogram:
    """A histogram of times in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


class FinalAttempts(NamedTuple):
    """A request's first and last attempt."""

    first: Attempt
    last: Attempt

    @property
    def took_us(self) -> int:
        """From when the first was due to the last one's answer."""
        return max(self.last.due_us + self.last.took_us - self.first.due_us, 1)


@dataclass(slots=True)
class LoadCount:
    """Requests of one part of a run, each counted once by its last attempt; `attempts` counts all.

    `unanswered` are those past the client's deadline without an answer. The weights are those of the
    requests' classes, earned by responses and offered by requests.
    """

    span_us: int = 0
    offered: int = 0
    attempts: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    unanswered: int = 0
    weight_earned: float = 0.0
    weight_offered: float = 0.0
    response_times: HdrHistogram = field(default_factory=make_histogram)
    rejection_times: HdrHistogram = field(default_factory=make_histogram)
    reasons: Counter[str] = field(default_factory=Counter)

    def per_second(self, count: int) -> float:
        """One of the counts as a rate over the part's span."""
        return float(count) / max(self.span_us, 1) * SECOND_US

    @property
    def weight_share(self) -> float:
        """Weight earned over weight offered; 0 where nothing was offered."""
        return self.weight_earned / self.weight_offered if self.weight_offered else 0.0

    def response_percentile_ms(self, percent: float) -> float:
        """Of requests that were served."""
        return float(self.response_times.get_value_at_percentile(percent)) / 1000

    def rejection_percentile_ms(self, percent: float) -> float:
        """Of last attempts that were rejected."""
        return float(self.rejection_times.get_value_at_percentile(percent)) / 1000

    def add(self, request: FinalAttempts, load_class: LoadClass) -> None:
        """Count one request."""
        self.offered += 1
        self.attempts += request.last.attempt + 1
        self.weight_offered += load_class.priority_weight
        if request.last.status == 0:
            self._add_served(request.took_us, load_class)
            return
        if request.last.local:
            self.unanswered += 1
        elif request.last.status in REJECTED_STATUSES:
            self.rejected += 1
            self.rejection_times.record_value(min(max(request.last.took_us, 1), HIGHEST_US))
        else:
            self.failed += 1
        self.reasons[request.last.reason] += 1

    def _add_served(self, took_us: int, load_class: LoadClass) -> None:
        in_time = took_us <= load_class.latency_objective_us
        self.served += 1
        self.weight_earned += load_class.priority_weight * (
            1.0 if in_time else load_class.late_priority_weight
        )
        self.response_times.record_value(min(took_us, HIGHEST_US))


@dataclass(slots=True)
class Result:
    """A run read back. `start_us` is on the Unix epoch."""

    plan: Plan
    start_us: int
    attempts: list[Attempt]
    usage: list[ProcessUsage]

    def requests(self) -> list[FinalAttempts]:
        """All requests, in the order of their first attempts."""
        first: dict[int, Attempt] = {}
        last: dict[int, Attempt] = {}
        for attempt in self.attempts:
            request = attempt.request
            if attempt.attempt == 0:
                first[request] = attempt
            if request not in last or attempt.attempt > last[request].attempt:
                last[request] = attempt
        return [FinalAttempts(attempt, last[request]) for request, attempt in first.items()]

    def count_by(self, key: Callable[[Attempt], Key], span_us: Callable[[Key], int]) -> dict[Key, LoadCount]:
        """Count requests by what `key` makes of their first attempts; `span_us` is each part's length."""
        counts: dict[Key, LoadCount] = {}
        for request in self.requests():
            part = key(request.first)
            count = counts.get(part)
            if count is None:
                count = LoadCount(span_us(part))
                counts[part] = count
            count.add(request, self.plan.classes[request.first.cls])
        return counts

    def stages(self) -> dict[str, LoadCount]:
        """Counts by stage, in the plan's order."""
        counts = self.count_by(lambda attempt: attempt.stage, lambda n: self.plan.stages[n].span_us)
        return {
            stage.name: counts.get(number, LoadCount(stage.span_us))
            for number, stage in enumerate(self.plan.stages)
        }

    def records(self) -> Iterator[rec.Record]:
        """The run as records that the checkers of `verification` judge."""
        for load_class in self.plan.classes:
            yield _class_record(load_class)
        for attempt in self.attempts:
            yield self._request_record(attempt)
            yield self._answer_record(attempt)

    def _request_record(self, attempt: Attempt) -> rec.RequestSent:
        load_class = self.plan.classes[attempt.cls]
        sent_us = self.start_us + attempt.sent_us
        return rec.RequestSent(
            sent_us,
            str(attempt.request),
            attempt.attempt,
            "edge",
            load_class.name,
            f"s{attempt.session}",
            self.plan.tenants[attempt.tenant].name if attempt.tenant != NO_TENANT else "",
            attempt.session % self.plan.groups,
            f"r{attempt.session}",
            sent_us + load_class.deadline_us,
        )

    def _answer_record(self, attempt: Attempt) -> rec.ResponseReceived:
        return rec.ResponseReceived(
            self.start_us + attempt.due_us + attempt.took_us,
            str(attempt.request),
            attempt.attempt,
            attempt.status,
            attempt.local,
            retry_after_us=max(attempt.retry_after_ms, 0) * 1000,
        )


def _class_record(load_class: LoadClass) -> rec.RequestClass:
    return rec.RequestClass(
        0,
        load_class.name,
        "keyed" if load_class.writes else "repeatable",
        0,
        load_class.writes,
        True,
        -1,
        load_class.latency_objective_us,
        load_class.priority_weight,
        load_class.late_priority_weight,
    )


def load_result(path: Path) -> Result:
    """Read a result. Raises OSError, and ValueError for a file that is none."""
    start: RunStart | None = None
    attempts: list[Attempt] = []
    usage: list[ProcessUsage] = []
    for line in read_result(path):
        if isinstance(line, RunStart):
            start = line
        elif isinstance(line, Attempt):
            attempts.append(line)
        else:
            usage.append(line)
    if start is None:
        raise ValueError(f"{path}: does not begin as a result does")
    return Result(parse_plan(start.plan.encode(), str(path)), start.at_us, attempts, usage)


def table(rows: dict[str, LoadCount]) -> list[str]:
    """A line of headings and a line for each row, with the values of COLUMNS."""
    lines = [f"{'':<14}" + "".join(f"{column:>11}" for column in COLUMNS)]
    for name, count in rows.items():
        lines.append(f"{name:<14}" + "".join(f"{cell:>11}" for cell in _cells(count)))
    return lines


def _cells(count: LoadCount) -> list[str]:
    counts = (count.offered, count.served, count.rejected, count.failed, count.unanswered)
    times_ms = (
        count.response_percentile_ms(50),
        count.response_percentile_ms(99),
        count.rejection_percentile_ms(99),
    )
    rates = [f"{count.per_second(number):.0f}" for number in counts]
    times = [f"{time_ms:.0f}" for time_ms in times_ms]
    return [*rates, *times, f"{count.weight_share:.3f}"]


def usage_lines(result: Result) -> list[str]:
    """For each process, its mean and highest CPU: a side at one core is what was at its limit."""
    cpus_by_name: dict[str, list[float]] = defaultdict(list)
    lags_us: Counter[str] = Counter()
    for usage in result.usage:
        cpus_by_name[usage.name].append(usage.cpu)
        lags_us[usage.name] = max(lags_us[usage.name], usage.lag_us)
    return [_usage_line(name, cpus, lags_us[name]) for name, cpus in sorted(cpus_by_name.items())]


def _usage_line(name: str, cpus: list[float], lag_us: int) -> str:
    line = f"{name}: cpu {sum(cpus) / len(cpus):.2f} in the mean, {max(cpus):.2f} at most"
    if lag_us:
        line += f", late by {lag_us / 1000:.0f} ms at the most"
    if max(cpus) > FULL_CPU and name.startswith("client"):
        line += "; FULL: figures may be its own"
    return line
