"""How evenly a group's members are loaded by drivers that share nothing: measures, from arrivals alone.

A herd is what exceeds chance, so counts are set against independent arrivals at the same mean (Poisson), and
members against what is fair for them: a part by weight of all that came in the same bin, so that swings of
the traffic are nobody's herd. Members whose weight is 0 in a bin (gone, draining, cold) are left out of it,
and what they were sent too. Limits are the caller's; what breaks one is a finding with time and member.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise

from juniperreel.verification import records as rec

SECOND = 1_000_000
LEAST = 5.0  # a fair share of fewer arrivals in a bin says nothing of a single member


@dataclass(frozen=True, slots=True)
class Arrival:
    """One attempt at a member. Times are microseconds."""

    at: int
    member: str
    driver: str


# A member's fair part of its group at a time, against the others': 0 while it is not able or not eligible.
Weight = Callable[[str, int], float]


def even(member: str, at: int) -> float:
    return 1.0


def arrivals(records: Iterable[rec.Record], members: Iterable[str]) -> list[Arrival]:
    """Of attempts that members read, in order of time."""
    wanted = set(members)
    found = [Arrival(r.at, r.member, r.edge) for r in records if isinstance(r, rec.Arrived)]
    return sorted((a for a in found if a.member in wanted), key=lambda a: a.at)


@dataclass(frozen=True, slots=True)
class Cell:
    """One member in one bin: what came, and what was fair."""

    start: int
    member: str
    count: int
    fair: float

    @property
    def share(self) -> float:
        return self.count / self.fair


def cells(
    came: Sequence[Arrival],
    members: Sequence[str],
    since: int,
    until: int,
    bin_us: int,
    weight: Weight = even,
) -> list[Cell]:
    """Whole bins between two times; members of weight 0 in a bin have no cell there."""
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for a in came:
        if since <= a.at < until:
            counts[(a.at - since) // bin_us][a.member] += 1
    made = []
    for number in range((until - since) // bin_us):
        start = since + number * bin_us
        parts = {m: weight(m, start + bin_us // 2) for m in members}
        able = [m for m, part in parts.items() if part > 0]
        total = sum(counts[number][m] for m in able)
        whole = sum(parts.values())
        made += [Cell(start, m, counts[number][m], total * parts[m] / whole) for m in able]
    return made


def dispersion(found: Sequence[Cell]) -> float:
    """Of counts round what was fair, in units of what chance alone gives: 1 for independent arrivals, less
    for turns taken, more for herds. NaN where nothing came.

    The bins' totals are taken as given, so that one degree of freedom is lost in each."""
    by_bin: dict[int, list[Cell]] = defaultdict(list)
    for cell in found:
        if cell.fair > 0:
            by_bin[cell.start].append(cell)
    free = sum(len(row) - 1 for row in by_bin.values())
    if free <= 0:
        return math.nan
    return sum((c.count - c.fair) ** 2 / c.fair for row in by_bin.values() for c in row) / free


def highest(found: Sequence[Cell]) -> tuple[float, Cell | None]:
    """The most that a member got beside its fair part of the mean bin, chance included, and where."""
    totals: dict[str, list[float]] = defaultdict(list)
    for cell in found:
        totals[cell.member].append(cell.fair)
    best: tuple[float, Cell | None] = (0.0, None)
    for cell in found:
        mean = sum(totals[cell.member]) / len(totals[cell.member])
        if mean >= LEAST and cell.count / mean > best[0]:
            best = (cell.count / mean, cell)
    return best


def longest_idle(
    came: Sequence[Arrival], members: Sequence[str], since: int, until: int, weight: Weight = even
) -> tuple[int, str, int]:
    """The longest time that an able member stood without work: microseconds, who, since when."""
    best = (0, "", since)
    for member in members:
        times = [since, *(a.at for a in came if a.member == member and since <= a.at < until), until]
        for start, end in pairwise(times):
            if end - start > best[0] and weight(member, start) > 0 and weight(member, end - 1) > 0:
                best = (end - start, member, start)
    return best


def oscillation(found: Sequence[Cell], lag: int) -> float:
    """Autocorrelation, over all members, of what exceeds the fair part, `lag` bins apart: about 0 for chance;
    below it where a member is flooded and shunned in turn. NaN where there are too few bins."""
    rows: dict[str, dict[int, float]] = defaultdict(dict)
    for cell in found:
        rows[cell.member][cell.start] = cell.count - cell.fair
    starts = sorted({c.start for c in found})
    if len(starts) <= lag:
        return math.nan
    step = starts[1] - starts[0]
    both = power = 0.0
    for row in rows.values():
        for start, value in row.items():
            later = row.get(start + lag * step)
            if later is not None:
                both += value * later
                power += (value * value + later * later) / 2
    return both / power if power else math.nan


def synchrony(times: Sequence[int], since: int, until: int, bin_us: int = SECOND // 10) -> float:
    """After a common event: the highest count of a bin against a uniform spread of as many over the span."""
    counts = Counter((t - since) // bin_us for t in times if since <= t < until)
    total = sum(counts.values())
    fair = total * bin_us / (until - since)
    return max(counts.values()) / max(fair, 1.0) if counts else 0.0


def ends(served: dict[str, tuple[int, int]], least: int = 20) -> tuple[float, float] | None:
    """Served share of the driver that serves worst and of the one that serves best, among those that took at
    least so many requests. `served`: by driver, served and taken. None where no driver took so many."""
    shares = [good / all_ for good, all_ in served.values() if all_ >= least]
    return (min(shares), max(shares)) if shares else None


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a group must keep. None: not judged."""

    share: tuple[float, float] | None = (0.8, 1.25)  # in each window
    window_us: int = 10 * SECOND
    dispersion: float | None = 1.5  # at 1 s
    highest: float | None = 2.0  # in 500 ms, of the fair rate
    idle_us: int | None = 2 * SECOND


@dataclass(frozen=True, slots=True)
class Finding:
    measure: str
    text: str
    at: int


def judge(
    came: Sequence[Arrival],
    members: Sequence[str],
    since: int,
    until: int,
    bounds: Bounds,
    weight: Weight = even,
) -> list[Finding]:
    """Every bound that was broken between two times. What chance alone does is held against nobody: a share
    must be off by three deviations of independent arrivals as well, a rate by four."""
    found: list[Finding] = []
    if bounds.share is not None:
        low, high = bounds.share
        for cell in cells(came, members, since, until, bounds.window_us, weight):
            off = not low * cell.fair <= cell.count <= high * cell.fair
            if off and cell.fair >= LEAST and abs(cell.count - cell.fair) > 3 * math.sqrt(cell.fair):
                found.append(Finding("share", f"{cell.member} got {cell.share:.2f} of its part", cell.start))
    seconds = cells(came, members, since, until, SECOND, weight)
    spread = dispersion(seconds)
    if bounds.dispersion is not None and spread > bounds.dispersion:
        found.append(Finding("dispersion", f"{spread:.2f} at 1 s", since))
    if bounds.highest is not None:
        most, where = highest(cells(came, members, since, until, SECOND // 2, weight))
        # Danger: few arrivals in a bin reach twice their mean by chance alone.
        if (
            where is not None
            and most > bounds.highest
            and where.count > where.fair + 4 * math.sqrt(where.fair)
        ):
            found.append(Finding("herd", f"{where.member} got {most:.2f} times its rate", where.start))
    if bounds.idle_us is not None:
        idle, who, start = longest_idle(came, members, since, until, weight)
        if idle > bounds.idle_us:
            found.append(Finding("idle", f"{who} had no work for {idle / SECOND:.2f} s", start))
    return found


class Able:
    """A weight from records: 1 while a member runs, is warm, and no driver was told that it drains or left.

    Members that committed a write at any time were primaries, whose load is not the draw's: 0 always.
    """

    def __init__(self, records: Iterable[rec.Record]) -> None:
        self._spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._primaries: set[str] = set()
        self.groups: dict[str, int] = {}  # of members that requests came to
        asked: dict[str, int] = {}
        since: dict[str, int] = {}
        cold_us = end = 0
        for r in records:
            end = max(end, r.at)
            match r:
                case rec.Limits():
                    cold_us = r.cold_us
                case rec.Asked():
                    asked[r.rid] = r.group
                case rec.Arrived():
                    if r.rid in asked:
                        self.groups[r.member] = asked[r.rid]
                case rec.Committed():
                    self._primaries.add(r.member)
                case rec.Started():
                    since[r.member] = r.at + (cold_us if r.cold else 0)
                case rec.Stopped():
                    self._close(since, r.member, r.at)
                case rec.Listed() if r.readiness != "up":
                    self._close(since, r.host, r.at)
        for member in list(since):
            self._close(since, member, end)

    def _close(self, since: dict[str, int], member: str, at: int) -> None:
        start = since.pop(member, at)
        if start < at:
            self._spans[member].append((start, at))

    def __call__(self, member: str, at: int) -> float:
        if member in self._primaries:
            return 0.0
        return 1.0 if any(start <= at < end for start, end in self._spans[member]) else 0.0

    def replicas(self, group: int) -> list[str]:
        return sorted(m for m, g in self.groups.items() if g == group and m not in self._primaries)
