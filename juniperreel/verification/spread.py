"""Measures of how evenly independent edges load a group's endpoints, computed from arrivals alone.

Counts are compared with independent arrivals at the same mean (a Poisson process). The fair count of an
endpoint is its weighted share of all arrivals in the same time bin, so that fluctuations of the total traffic
do not count as uneven load. Endpoints whose weight is 0 in a bin (removed, draining, warming up) are excluded
from it, together with their arrivals. The caller sets the limits; each one that is exceeded gives a finding
with time and endpoint.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import NamedTuple

from juniperreel.verification.records import (
    READY,
    AttemptReceived,
    Committed,
    EndpointListed,
    EndpointStarted,
    EndpointStopped,
    Limits,
    Record,
    RequestSent,
)

SECOND = 1_000_000
PEAK_BIN_US = SECOND // 2
SYNCHRONY_BIN_US = SECOND // 10
MIN_EXPECTED_COUNT = 5.0  # below this, a bin is not significant for a single endpoint
SHARE_DEVIATIONS = 3  # a finding also needs this many standard deviations of independent arrivals
PEAK_DEVIATIONS = 4  # the same for a peak rate
MIN_REQUESTS = 20  # edges with fewer are not compared by served share


@dataclass(frozen=True, slots=True)
class Arrival:
    """The arrival of one attempt at an endpoint. Times are in microseconds."""

    at: int
    endpoint: str
    edge: str


# The weight of an endpoint at a time, relative to the others of its group: 0 while it is not eligible.
Weight = Callable[[str, int], float]


def equal_weight(_endpoint: str, _at: int) -> float:
    """Give every endpoint the same weight at all times."""
    return 1.0


def arrivals(records: Iterable[Record], endpoints: Iterable[str]) -> list[Arrival]:
    """The attempts that the given endpoints received, ordered by time."""
    selected = set(endpoints)
    found = [Arrival(r.at, r.endpoint, r.edge) for r in records if isinstance(r, AttemptReceived)]
    return sorted((a for a in found if a.endpoint in selected), key=lambda a: a.at)


@dataclass(frozen=True, slots=True)
class Cell:
    """One endpoint in one time bin: the observed and the fair number of arrivals."""

    start: int
    endpoint: str
    count: int
    fair: float

    @property
    def share(self) -> float:
        """The ratio of the observed to the fair count."""
        return self.count / self.fair


def count_by_bin(
    observed: Sequence[Arrival],
    endpoints: Sequence[str],
    since: int,
    until: int,
    bin_us: int,
    weight: Weight = equal_weight,
) -> list[Cell]:
    """Cells of the complete bins in an interval; an endpoint with weight 0 in a bin has no cell there."""
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for arrival in observed:
        if since <= arrival.at < until:
            counts[(arrival.at - since) // bin_us][arrival.endpoint] += 1
    cells: list[Cell] = []
    for number in range((until - since) // bin_us):
        start = since + number * bin_us
        weights = {endpoint: weight(endpoint, start + bin_us // 2) for endpoint in endpoints}
        eligible = [endpoint for endpoint, part in weights.items() if part > 0]
        total = sum(counts[number][endpoint] for endpoint in eligible)
        total_weight = sum(weights.values())
        cells += [
            Cell(start, endpoint, counts[number][endpoint], total * weights[endpoint] / total_weight)
            for endpoint in eligible
        ]
    return cells


def dispersion(cells: Sequence[Cell]) -> float:
    """Index of dispersion of the counts around the fair ones.

    It is 1 for independent arrivals, less for round-robin, more for herding, and NaN without arrivals. The
    totals of the bins are taken as given, which costs one degree of freedom per bin.
    """
    by_bin: dict[int, list[Cell]] = defaultdict(list)
    for cell in cells:
        if cell.fair > 0:
            by_bin[cell.start].append(cell)
    degrees_of_freedom = sum(len(row) - 1 for row in by_bin.values())
    if degrees_of_freedom <= 0:
        return math.nan
    chi_square = sum((c.count - c.fair) ** 2 / c.fair for row in by_bin.values() for c in row)
    return chi_square / degrees_of_freedom


class Peak(NamedTuple):
    """The highest rate of an endpoint in units of its mean fair rate, and the cell that has it."""

    ratio: float
    cell: Cell | None


def peak_rate(cells: Sequence[Cell]) -> Peak:
    """The highest count of an endpoint relative to its mean fair count, not corrected for chance."""
    fair_counts: dict[str, list[float]] = defaultdict(list)
    for cell in cells:
        fair_counts[cell.endpoint].append(cell.fair)
    peak = Peak(0.0, None)
    for cell in cells:
        mean = sum(fair_counts[cell.endpoint]) / len(fair_counts[cell.endpoint])
        if mean >= MIN_EXPECTED_COUNT and cell.count / mean > peak.ratio:
            peak = Peak(cell.count / mean, cell)
    return peak


class IdleSpan(NamedTuple):
    """An interval without arrivals at an endpoint. Times are in microseconds."""

    duration_us: int
    endpoint: str
    start: int


def longest_idle(
    observed: Sequence[Arrival],
    endpoints: Sequence[str],
    since: int,
    until: int,
    weight: Weight = equal_weight,
) -> IdleSpan:
    """The longest interval in which an eligible endpoint received no work."""
    longest = IdleSpan(0, "", since)
    for endpoint in endpoints:
        times = [since, *(a.at for a in observed if a.endpoint == endpoint and since <= a.at < until), until]
        for start, end in pairwise(times):
            longer = end - start > longest.duration_us
            if longer and weight(endpoint, start) > 0 and weight(endpoint, end - 1) > 0:
                longest = IdleSpan(end - start, endpoint, start)
    return longest


def oscillation(cells: Sequence[Cell], lag: int) -> float:
    """Autocorrelation, over all endpoints, of the deviation from the fair count, `lag` bins apart.

    It is about 0 for independent arrivals, negative if endpoints are alternately flooded and avoided, and NaN
    if there are too few bins.
    """
    rows: dict[str, dict[int, float]] = defaultdict(dict)
    for cell in cells:
        rows[cell.endpoint][cell.start] = cell.count - cell.fair
    starts = sorted({cell.start for cell in cells})
    if len(starts) <= lag:
        return math.nan
    step = starts[1] - starts[0]
    covariance = 0.0
    variance = 0.0
    for row in rows.values():
        for start, value in row.items():
            later = row.get(start + lag * step)
            if later is not None:
                covariance += value * later
                variance += (value * value + later * later) / 2
    return covariance / variance if variance else math.nan


def synchrony(times: Sequence[int], since: int, until: int, bin_us: int = SYNCHRONY_BIN_US) -> float:
    """The highest count of a bin after a common event, relative to a uniform distribution of all counts."""
    counts = Counter((time - since) // bin_us for time in times if since <= time < until)
    total = sum(counts.values())
    fair = total * bin_us / (until - since)
    return max(counts.values()) / max(fair, 1.0) if counts else 0.0


class ServedShares(NamedTuple):
    """The lowest and the highest served share of all edges."""

    worst: float
    best: float


class RequestTotals(NamedTuple):
    """The numbers of requests that one edge served and accepted."""

    served: int
    accepted: int


def served_shares(totals: dict[str, RequestTotals], min_requests: int = MIN_REQUESTS) -> ServedShares | None:
    """Lowest and highest served share among edges with enough requests; None if there are no such edges."""
    shares = [edge.served / edge.accepted for edge in totals.values() if edge.accepted >= min_requests]
    return ServedShares(min(shares), max(shares)) if shares else None


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits for a group; those that are None are not checked."""

    share: tuple[float, float] | None = (0.8, 1.25)  # in each window
    window_us: int = 10 * SECOND
    dispersion: float | None = 1.5  # with bins of 1 s
    peak: float | None = 2.0  # in 500 ms, of the fair rate
    idle_us: int | None = 2 * SECOND


@dataclass(frozen=True, slots=True)
class Finding:
    """A limit that was exceeded, and when."""

    measure: str
    text: str
    at: int


def check_bounds(
    observed: Sequence[Arrival],
    endpoints: Sequence[str],
    since: int,
    until: int,
    bounds: Bounds,
    weight: Weight = equal_weight,
) -> list[Finding]:
    """All bounds that were exceeded in an interval.

    Random fluctuation is not reported: a share must also deviate by `SHARE_DEVIATIONS` standard deviations of
    independent arrivals, and a peak rate by `PEAK_DEVIATIONS`.
    """
    found: list[Finding] = []
    if bounds.share is not None:
        windows = count_by_bin(observed, endpoints, since, until, bounds.window_us, weight)
        found.extend(_uneven_shares(windows, bounds.share))
    measured = dispersion(count_by_bin(observed, endpoints, since, until, SECOND, weight))
    if bounds.dispersion is not None and measured > bounds.dispersion:
        found.append(Finding("dispersion", f"{measured:.2f} at 1 s", since))
    if bounds.peak is not None:
        peak = peak_rate(count_by_bin(observed, endpoints, since, until, PEAK_BIN_US, weight))
        if _exceeds_chance(peak, bounds.peak) and peak.cell is not None:
            text = f"{peak.cell.endpoint} got {peak.ratio:.2f} times its rate"
            found.append(Finding("herd", text, peak.cell.start))
    if bounds.idle_us is not None:
        idle = longest_idle(observed, endpoints, since, until, weight)
        if idle.duration_us > bounds.idle_us:
            text = f"{idle.endpoint} had no work for {idle.duration_us / SECOND:.2f} s"
            found.append(Finding("idle", text, idle.start))
    return found


def _uneven_shares(windows: Iterable[Cell], allowed: tuple[float, float]) -> Iterable[Finding]:
    low, high = allowed
    for cell in windows:
        uneven = not low * cell.fair <= cell.count <= high * cell.fair
        by_chance = abs(cell.count - cell.fair) <= SHARE_DEVIATIONS * math.sqrt(cell.fair)
        if uneven and cell.fair >= MIN_EXPECTED_COUNT and not by_chance:
            yield Finding("share", f"{cell.endpoint} got {cell.share:.2f} of its part", cell.start)


def _exceeds_chance(peak: Peak, allowed: float) -> bool:
    """Whether a peak exceeds its bound and is statistically significant.

    In a bin with a low expected count, twice the mean occurs by chance and must not be reported as herding.
    """
    cell = peak.cell
    if cell is None or peak.ratio <= allowed:
        return False
    return cell.count > cell.fair + PEAK_DEVIATIONS * math.sqrt(cell.fair)


class EligibilityWeight:
    """A weight from records: 1 while an endpoint runs, is warmed up and was listed to no edge as not ready.

    Endpoints that committed a write at any time have weight 0 throughout: they were primaries, whose load
    does not come from the random selection of replicas.
    """

    def __init__(self, records: Iterable[Record]) -> None:
        self.groups: dict[str, int] = {}  # by endpoint that received a request
        self._eligible_spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._primaries: set[str] = set()
        self._request_groups: dict[str, int] = {}  # by request_id
        self._eligible_since: dict[str, int] = {}
        self._slow_start_us = 0
        end = 0
        for record in records:
            end = max(end, record.at)
            self._add(record)
        for endpoint in list(self._eligible_since):
            self._close_span(endpoint, end)

    def _add(self, record: Record) -> None:
        match record:
            case Limits():
                self._slow_start_us = record.slow_start_us
            case RequestSent():
                self._request_groups[record.request_id] = record.group
            case AttemptReceived():
                if record.request_id in self._request_groups:
                    self.groups[record.endpoint] = self._request_groups[record.request_id]
            case Committed():
                self._primaries.add(record.endpoint)
            case EndpointStarted():
                delay_us = self._slow_start_us if record.warming_up else 0
                self._eligible_since[record.endpoint] = record.at + delay_us
            case EndpointStopped():
                self._close_span(record.endpoint, record.at)
            case EndpointListed() if record.readiness != READY:
                self._close_span(record.endpoint, record.at)

    def _close_span(self, endpoint: str, at: int) -> None:
        start = self._eligible_since.pop(endpoint, at)
        if start < at:
            self._eligible_spans[endpoint].append((start, at))

    def __call__(self, endpoint: str, at: int) -> float:
        """The weight of an endpoint at a given time."""
        if endpoint in self._primaries:
            return 0.0
        eligible = any(start <= at < end for start, end in self._eligible_spans[endpoint])
        return 1.0 if eligible else 0.0

    def replicas(self, group: int) -> list[str]:
        """The endpoints of a group that received requests and were never primary, sorted."""
        return sorted(e for e, number in self.groups.items() if number == group and e not in self._primaries)
