"""Tables of how evenly replicas were loaded, from a trial's records."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from juniperreel.net.clock import US
from juniperreel.verification import records as rec
from juniperreel.verification import spread

COLUMNS = (
    "group",
    "replicas",
    "reads",
    "share of the fair one",
    "dispersion 1 s",
    "highest 500 ms",
    "idle s",
)
COLUMN_GAP = 2
NAME_WIDTH = 12
PEAK_BIN_US = US // 2
NO_SHARE = "     -"


class Span(NamedTuple):
    """From the first request of a recording to its last, in microseconds."""

    since: int
    until: int


def share_table(records: list[rec.Record], step_us: int) -> Iterator[str]:
    """A row a replica: its share of the fair one in each step, '-' while it was not eligible."""
    span = _requests_span(records)
    if span is None:
        return
    eligibility = spread.EligibilityWeight(records)
    starts = range(span.since, span.until - step_us + 1, step_us)
    yield "seconds from".ljust(NAME_WIDTH) + "".join(f"{(s - span.since) / US:>6.0f}" for s in starts)
    for group in sorted(set(eligibility.groups.values())):
        replicas = eligibility.replicas(group)
        arrivals = spread.arrivals(records, replicas)
        cells = spread.count_by_bin(arrivals, replicas, span.since, span.until, step_us, eligibility)
        shares = {(cell.endpoint, cell.start): cell.share for cell in cells if cell.fair}
        for member in replicas:
            row = [shares.get((member, start)) for start in starts]
            values = "".join(NO_SHARE if share is None else f"{share:>6.2f}" for share in row)
            yield member.ljust(NAME_WIDTH) + values


def evenness_table(records: list[rec.Record]) -> Iterator[str]:
    """A row a group, over its eligible replicas; a share is over all the time its replica was eligible."""
    yield _row(COLUMNS)
    span = _requests_span(records)
    if span is None:
        return
    eligibility = spread.EligibilityWeight(records)
    for group in sorted(set(eligibility.groups.values())):
        if eligibility.replicas(group):
            yield _row(_evenness(records, eligibility, group, span))


def _evenness(
    records: list[rec.Record], eligibility: spread.EligibilityWeight, group: int, span: Span
) -> tuple[str, ...]:
    """The values of COLUMNS for a group that has replicas."""
    replicas = eligibility.replicas(group)
    arrivals = spread.arrivals(records, replicas)
    seconds = spread.count_by_bin(arrivals, replicas, span.since, span.until, US, eligibility)
    halves = spread.count_by_bin(arrivals, replicas, span.since, span.until, PEAK_BIN_US, eligibility)
    shares = _shares(seconds, replicas)
    highest, _ = spread.peak_rate(halves)
    idle_us, _, _ = spread.longest_idle(arrivals, replicas, span.since, span.until, eligibility)
    return (
        str(group),
        str(len(replicas)),
        str(len(arrivals)),
        f"{min(shares):.2f} to {max(shares):.2f}" if shares else "-",
        f"{spread.dispersion(seconds):.2f}",
        f"{highest:.2f}" if highest else "-",
        f"{idle_us / US:.1f}",
    )


def _shares(cells: Sequence[spread.Cell], replicas: Sequence[str]) -> list[float]:
    """Arrivals over what was fair for each replica, over all cells; left out if it was never eligible."""
    shares = []
    for replica in replicas:
        own = [cell for cell in cells if cell.endpoint == replica]
        fair = sum(cell.fair for cell in own)
        if fair:
            shares.append(sum(cell.count for cell in own) / fair)
    return shares


def _requests_span(records: list[rec.Record]) -> Span | None:
    """None where there was no request."""
    times = [record.at for record in records if isinstance(record, rec.RequestSent)]
    return Span(min(times), max(times)) if times else None


def _row(values: Sequence[str]) -> str:
    widths = [len(name) + COLUMN_GAP for name in COLUMNS]
    return "".join(f"{value:>{width}}" for value, width in zip(values, widths, strict=True))
