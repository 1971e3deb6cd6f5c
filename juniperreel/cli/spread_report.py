"""Tables of how reads were balanced over replicas, computed from a trial's records."""

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
MISSING_SHARE = "     -"


class TimeSpan(NamedTuple):
    """The time from a recording's first request to its last."""

    start_us: int
    end_us: int


def share_table(records: list[rec.Record], step_us: int) -> Iterator[str]:
    """Yield one row per replica: its share relative to a fair one in each step, '-' while not eligible."""
    span = _request_span(records)
    if span is None:
        return
    eligibility = spread.EligibilityWeight(records)
    starts = range(span.start_us, span.end_us - step_us + 1, step_us)
    yield "seconds from".ljust(NAME_WIDTH) + "".join(
        f"{(bin_start - span.start_us) / US:>6.0f}" for bin_start in starts
    )
    for group in sorted(set(eligibility.groups.values())):
        replicas = eligibility.replicas(group)
        arrivals = spread.arrivals(records, replicas)
        cells = spread.count_by_bin(arrivals, replicas, span.start_us, span.end_us, step_us, eligibility)
        shares = {(cell.endpoint, cell.start): cell.share for cell in cells if cell.fair}
        for replica in replicas:
            row = [shares.get((replica, start)) for start in starts]
            values = "".join(MISSING_SHARE if share is None else f"{share:>6.2f}" for share in row)
            yield replica.ljust(NAME_WIDTH) + values


def balance_table(records: list[rec.Record]) -> Iterator[str]:
    """Yield one row per group; a replica's share covers the whole time during which it was eligible."""
    yield _format_row(COLUMNS)
    span = _request_span(records)
    if span is None:
        return
    eligibility = spread.EligibilityWeight(records)
    for group in sorted(set(eligibility.groups.values())):
        if eligibility.replicas(group):
            yield _format_row(_balance_row(records, eligibility, group, span))


def _balance_row(
    records: list[rec.Record], eligibility: spread.EligibilityWeight, group: int, span: TimeSpan
) -> tuple[str, ...]:
    """Return the values of COLUMNS for a group with replicas."""
    replicas = eligibility.replicas(group)
    arrivals = spread.arrivals(records, replicas)
    second_cells = spread.count_by_bin(arrivals, replicas, span.start_us, span.end_us, US, eligibility)
    half_second_cells = spread.count_by_bin(
        arrivals, replicas, span.start_us, span.end_us, PEAK_BIN_US, eligibility
    )
    shares = _shares(second_cells, replicas)
    peak, _ = spread.peak_rate(half_second_cells)
    idle_us, _, _ = spread.longest_idle(arrivals, replicas, span.start_us, span.end_us, eligibility)
    return (
        str(group),
        str(len(replicas)),
        str(len(arrivals)),
        f"{min(shares):.2f} to {max(shares):.2f}" if shares else "-",
        f"{spread.dispersion(second_cells):.2f}",
        f"{peak:.2f}" if peak else "-",
        f"{idle_us / US:.1f}",
    )


def _shares(cells: Sequence[spread.Cell], replicas: Sequence[str]) -> list[float]:
    """Return each replica's arrivals over its fair number; omits replicas that were never eligible."""
    shares = []
    for replica in replicas:
        replica_cells = [cell for cell in cells if cell.endpoint == replica]
        fair = sum(cell.fair for cell in replica_cells)
        if fair:
            shares.append(sum(cell.count for cell in replica_cells) / fair)
    return shares


def _request_span(records: list[rec.Record]) -> TimeSpan | None:
    """Return the span of the requests, or None if there were none."""
    times = [record.at for record in records if isinstance(record, rec.RequestSent)]
    return TimeSpan(min(times), max(times)) if times else None


def _format_row(values: Sequence[str]) -> str:
    widths = [len(name) + COLUMN_GAP for name in COLUMNS]
    return "".join(f"{value:>{width}}" for value, width in zip(values, widths, strict=True))
