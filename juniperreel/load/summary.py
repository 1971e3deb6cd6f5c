"""A result in figures: by stage, by class, by tenant, over time; and rule 1 as the clients saw it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from juniperreel.load.plan import Plan, parse_plan
from juniperreel.load.shots import REFUSED, Shot, Side, Start, read_result
from juniperreel.verification import records as rec

LOWEST, HIGHEST, DIGITS = 1, 120_000_000, 3
US = 1_000_000


def histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST, HIGHEST, DIGITS)


@dataclass(slots=True)
class Count:
    """Of one part of a run. Requests count once, by their last try; `tries` counts all."""

    span_us: int = 0
    offered: int = 0
    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    silent: int = 0  # past the client's deadline, without a word
    worth: float = 0.0
    worth_asked: float = 0.0
    took: HdrHistogram = field(default_factory=histogram)
    refusal: HdrHistogram = field(default_factory=histogram)
    reasons: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def rate(self, name: str) -> float:
        return float(getattr(self, name)) / max(self.span_us, 1) * US

    def p(self, percent: float, refusals: bool = False) -> float:
        """Milliseconds."""
        return float((self.refusal if refusals else self.took).get_value_at_percentile(percent)) / 1000


@dataclass(slots=True)
class Result:
    """A run read back."""

    plan: Plan
    start_us: int
    shots: list[Shot]
    sides: list[Side]

    def finals(self) -> list[tuple[Shot, Shot]]:
        """Each request's first and last try."""
        first: dict[int, Shot] = {}
        last: dict[int, Shot] = {}
        for shot in self.shots:
            if shot.number == 0:
                first[shot.n] = shot
            if shot.n not in last or shot.number > last[shot.n].number:
                last[shot.n] = shot
        return [(first[n], last[n]) for n in first]

    def counts(self, key: Callable[[Shot], object], span_us: Callable[[object], int]) -> dict[object, Count]:
        """By whatever `key` makes of a request's first try."""
        found: dict[object, Count] = {}
        for first, last in self.finals():
            name = key(first)
            count = found.get(name)
            if count is None:
                count = found[name] = Count(span_us(name))
            cls = self.plan.classes[first.cls]
            count.offered += 1
            count.tries += last.number + 1
            count.worth_asked += cls.worth
            took = max(last.due + last.took - first.due, 1)
            if last.status == 0:
                count.served += 1
                count.worth += cls.worth * (1.0 if took <= cls.aim_us else cls.late_worth)
                count.took.record_value(min(took, HIGHEST))
                continue
            if last.local:
                count.silent += 1
            elif last.status in REFUSED:
                count.refused += 1
                count.refusal.record_value(min(max(last.took, 1), HIGHEST))
            else:
                count.failed += 1
            count.reasons[last.why] += 1
        return found

    def stages(self) -> dict[str, Count]:
        counts = self.counts(lambda s: s.stage, lambda n: self.plan.stages[int(str(n))].span_us)
        return {s.name: counts.get(n, Count(s.span_us)) for n, s in enumerate(self.plan.stages)}

    def records(self) -> Iterable[rec.Record]:
        """The run in the words of `proof`, whose checkers judge it from there."""
        for c in self.plan.classes:
            effect = "keyed" if c.writes else "repeatable"
            yield rec.RequestClass(0, c.name, effect, 0, c.writes, True, -1, c.aim_us, c.worth, c.late_worth)
        for s in self.shots:
            cls = self.plan.classes[s.cls]
            sent, rid = self.start_us + s.sent, str(s.n)
            tenant = self.plan.tenants[s.tenant][0] if s.tenant >= 0 else ""
            yield rec.RequestSent(
                sent,
                rid,
                s.number,
                "edge",
                cls.name,
                f"s{s.session}",
                tenant,
                s.session % self.plan.groups,
                f"r{s.session}",
                sent + cls.deadline_us,
            )
            told = self.start_us + s.due + s.took
            yield rec.ResponseReceived(
                told, rid, s.number, s.status, s.local, retry_after_us=max(s.wait, 0) * 1000
            )


def load_result(path: Path) -> Result:
    """Raises ValueError for a file that is no result."""
    start: Start | None = None
    shots: list[Shot] = []
    sides: list[Side] = []
    for line in read_result(path):
        if isinstance(line, Start):
            start = line
        elif isinstance(line, Shot):
            shots.append(line)
        else:
            sides.append(line)
    if start is None:
        raise ValueError(f"{path}: does not begin as a result does")
    return Result(parse_plan(start.plan.encode(), str(path)), start.at, shots, sides)


COLUMNS = "offered/s", "good/s", "refused/s", "failed/s", "silent/s", "p50 ms", "p99 ms", "ref p99", "worth"


def cells(count: Count) -> list[str]:
    rates = [f"{count.rate(k):.0f}" for k in ("offered", "served", "refused", "failed", "silent")]
    times = [f"{count.p(50):.0f}", f"{count.p(99):.0f}", f"{count.p(99, refusals=True):.0f}"]
    share = count.worth / count.worth_asked if count.worth_asked else 0.0
    return [*rates, *times, f"{share:.3f}"]


def table(rows: dict[str, Count]) -> list[str]:
    lines = [f"{'':<14}" + "".join(f"{c:>11}" for c in COLUMNS)]
    for name, count in rows.items():
        lines.append(f"{name:<14}" + "".join(f"{c:>11}" for c in cells(count)))
    return lines


def full_sides(result: Result) -> list[str]:
    """For each process, its mean and highest CPU: a side at one core is what was full."""
    by: dict[str, list[float]] = defaultdict(list)
    late: dict[str, int] = defaultdict(int)
    for side in result.sides:
        by[side.name].append(side.cpu)
        late[side.name] = max(late[side.name], side.late_us)
    lines = []
    for name, cpus in sorted(by.items()):
        told = f", late by {late[name] / 1000:.0f} ms at the most" if late[name] else ""
        full = "; FULL: figures may be its own" if max(cpus) > 0.95 and name.startswith("client") else ""
        lines.append(
            f"{name}: cpu {sum(cpus) / len(cpus):.2f} in the mean, {max(cpus):.2f} at most{told}{full}"
        )
    return lines
