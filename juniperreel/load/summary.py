"""Statistics of a load result by stage, class, tenant and time, and its records for the rule checkers."""

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
# Range of the latency histograms in microseconds, and their precision.
HISTOGRAM_MIN_US = 1
HISTOGRAM_MAX_US = 120_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3
SATURATED_CPU = 0.95  # of a core: above this, the client itself may have limited the run
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
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS)


class RequestAttempts(NamedTuple):
    """A request's first and last attempt."""

    first: Attempt
    last: Attempt

    @property
    def took_us(self) -> int:
        """The time from the first attempt's due time to the last attempt's response."""
        return max(self.last.due_us + self.last.took_us - self.first.due_us, 1)


@dataclass(slots=True)
class LoadCount:
    """Counts of a group of requests by the outcome of their last attempt; `attempts` counts all attempts.

    `unanswered` counts requests whose client deadline expired without a response. The weights are the
    priority weights of the requests' classes: offered by each request, and earned by responses.
    """

    duration_us: int = 0
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
        """Convert a count to a rate over the group's duration."""
        return float(count) / max(self.duration_us, 1) * SECOND_US

    @property
    def weight_share(self) -> float:
        """Weight earned over weight offered; 0 if nothing was offered."""
        return self.weight_earned / self.weight_offered if self.weight_offered else 0.0

    def response_percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency of served requests."""
        return float(self.response_times.get_value_at_percentile(percent)) / 1000

    def rejection_percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency of rejected last attempts."""
        return float(self.rejection_times.get_value_at_percentile(percent)) / 1000

    def add(self, request: RequestAttempts, load_class: LoadClass) -> None:
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
            self.rejection_times.record_value(min(max(request.last.took_us, 1), HISTOGRAM_MAX_US))
        else:
            self.failed += 1
        self.reasons[request.last.reason] += 1

    def _add_served(self, took_us: int, load_class: LoadClass) -> None:
        in_time = took_us <= load_class.latency_objective_us
        self.served += 1
        self.weight_earned += load_class.priority_weight * (
            1.0 if in_time else load_class.late_priority_weight
        )
        self.response_times.record_value(min(took_us, HISTOGRAM_MAX_US))


@dataclass(slots=True)
class Result:
    """The result of a run. `start_us` is a Unix time."""

    plan: Plan
    start_us: int
    attempts: list[Attempt]
    usage: list[ProcessUsage]

    def requests(self) -> list[RequestAttempts]:
        """Return all requests in the order of their first attempts."""
        first: dict[int, Attempt] = {}
        last: dict[int, Attempt] = {}
        for attempt in self.attempts:
            request = attempt.request
            if attempt.attempt == 0:
                first[request] = attempt
            if request not in last or attempt.attempt > last[request].attempt:
                last[request] = attempt
        return [RequestAttempts(attempt, last[request]) for request, attempt in first.items()]

    def count_by(
        self, key: Callable[[Attempt], Key], duration_us: Callable[[Key], int]
    ) -> dict[Key, LoadCount]:
        """Count requests grouped by `key` of their first attempt; `duration_us` gives a group's duration."""
        counts: dict[Key, LoadCount] = {}
        for request in self.requests():
            group_key = key(request.first)
            count = counts.get(group_key)
            if count is None:
                count = LoadCount(duration_us(group_key))
                counts[group_key] = count
            count.add(request, self.plan.classes[request.first.cls])
        return counts

    def stages(self) -> dict[str, LoadCount]:
        """Return the counts by stage, in the order of the plan."""
        counts = self.count_by(lambda attempt: attempt.stage, lambda n: self.plan.stages[n].duration_us)
        return {
            stage.name: counts.get(number, LoadCount(stage.duration_us))
            for number, stage in enumerate(self.plan.stages)
        }

    def records(self) -> Iterator[rec.Record]:
        """Yield the run as records for the checkers of `juniperreel.verification`."""
        for load_class in self.plan.classes:
            yield _class_record(load_class)
        for attempt in self.attempts:
            yield self._request_record(attempt)
            yield self._response_record(attempt)

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

    def _response_record(self, attempt: Attempt) -> rec.ResponseReceived:
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
    """Read a result. Raises OSError, or ValueError if the file is not a valid result."""
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
        raise ValueError(f"{path}: no start record, not a load result")
    return Result(parse_plan(start.plan.encode(), str(path)), start.at_us, attempts, usage)


def format_table(rows: dict[str, LoadCount]) -> list[str]:
    """Format a header and one line per row, with the values of COLUMNS."""
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
    """Format each process's mean and peak CPU usage; a process near one core limited the run."""
    cpu_by_name: dict[str, list[float]] = defaultdict(list)
    lags_us: Counter[str] = Counter()
    for usage in result.usage:
        cpu_by_name[usage.name].append(usage.cpu)
        lags_us[usage.name] = max(lags_us[usage.name], usage.lag_us)
    return [
        _usage_line(name, cpu_by_second, lags_us[name]) for name, cpu_by_second in sorted(cpu_by_name.items())
    ]


def _usage_line(name: str, cpus: list[float], lag_us: int) -> str:
    line = f"{name}: cpu {sum(cpus) / len(cpus):.2f} in the mean, {max(cpus):.2f} at most"
    if lag_us:
        line += f", late by {lag_us / 1000:.0f} ms at the most"
    if max(cpus) > SATURATED_CPU and name.startswith("client"):
        line += "; FULL: figures may be its own"
    return line
