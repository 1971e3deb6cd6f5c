"""MySQL GTID sets, such as `uuid:1-5:7,other:1-3` (reference manual, "GTID Sets"). No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from juniperreel.pool.errors import InvalidGtidError

SOURCE_SET_PATTERN = re.compile(
    r"([0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12})((?::[a-z_][a-z0-9_]{0,31}|:\d+(?:-\d+)?)+)\Z"
)
MAX_TEXT_LENGTH = 1 << 20


class Interval(NamedTuple):
    """Transaction numbers from `first` to `last`, inclusive."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class Gtid:
    """The id of one transaction.

    Attributes:
        source: The UUID of the server that originally committed it, followed by the tag if there is one.
        number: Its sequence number on that server.
    """

    source: str
    number: int

    @staticmethod
    def parse(text: str) -> Gtid:
        """Parse a GTID. For a set, which a server may report for a single commit, return its last GTID.

        Raises:
            InvalidGtidError: The text is not a GTID set with exactly one source.
        """
        gtid_set = GtidSet.parse(text)
        if len(gtid_set.intervals) != 1:
            raise InvalidGtidError(f"{text[:80]!r} does not have exactly one source")
        ((source, intervals),) = gtid_set.intervals.items()
        return Gtid(source, intervals[-1].last)


@dataclass(frozen=True, slots=True)
class GtidSet:
    """A set of transactions: ascending intervals per source that are neither adjacent nor overlapping."""

    intervals: Mapping[str, tuple[Interval, ...]] = field(default_factory=dict)

    @staticmethod
    def parse(text: str) -> GtidSet:
        """Parse a GTID set, ignoring case and whitespace.

        Raises:
            InvalidGtidError: The text is not a GTID set, or is longer than `MAX_TEXT_LENGTH`.
        """
        if len(text) > MAX_TEXT_LENGTH:
            raise InvalidGtidError(f"GTID set of {len(text)} characters exceeds {MAX_TEXT_LENGTH}")
        intervals: dict[str, list[Interval]] = {}
        for part in "".join(text.lower().split()).split(","):
            if part:
                _parse_source_set(part, intervals)
        return GtidSet({source: _merge_intervals(found) for source, found in intervals.items()})

    def __contains__(self, gtid: Gtid) -> bool:
        """Return whether the set contains the transaction."""
        return any(
            interval.first <= gtid.number <= interval.last for interval in self.intervals.get(gtid.source, ())
        )


def _parse_source_set(part: str, intervals: dict[str, list[Interval]]) -> None:
    """Parse `uuid:interval...` into `intervals`; a tag applies to all intervals that follow it."""
    match = SOURCE_SET_PATTERN.match(part)
    if match is None:
        raise InvalidGtidError(f"{part[:80]!r} is not a GTID set")
    source = match[1]
    for element in match[2][1:].split(":"):
        if not element[0].isdigit():
            source = f"{match[1]}:{element}"
            continue
        first, _, last = element.partition("-")
        interval = Interval(int(first), int(last or first))
        if not 0 < interval.first <= interval.last:
            raise InvalidGtidError(f"{element[:40]!r} is not an interval of transaction numbers")
        intervals.setdefault(source, []).append(interval)


def _merge_intervals(intervals: list[Interval]) -> tuple[Interval, ...]:
    merged: list[Interval] = []
    for interval in sorted(intervals):
        if merged and interval.first <= merged[-1].last + 1:
            merged[-1] = Interval(merged[-1].first, max(merged[-1].last, interval.last))
        else:
            merged.append(interval)
    return tuple(merged)
