"""Causal tokens as values, and their join.

A token maps (group, epoch) to a commit position: the client that presents it has observed or written commits
up to that position. A group may have positions in several epochs, since after a failover the older one may
refer to a commit that the newer history does not contain; only a `History` can decide this.

Tokens form a join semilattice, as vector clocks do (Fidge 1988, Mattern 1989): `join` is the entrywise
maximum, truncated to the MAX_ENTRIES highest positions. Truncated entries raise `floor`, a position that
every group must have passed. This is conservative, since it never requires less than was observed, with one
exception: the floor has no epoch, so that a commit that was lost in a failover *and* was truncated into the
floor can no longer be detected.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple

MAX_ENTRIES = 64
MAX_GROUP = (1 << 31) - 1
MAX_EPOCH = (1 << 62) - 1
MAX_POSITION = (1 << 62) - 1  # microseconds since the Unix epoch


class EpochPosition(NamedTuple):
    """A commit position in one epoch of a group."""

    epoch: int
    position_us: int


@dataclass(frozen=True, slots=True)
class Token:
    """A causal token in normal form: at most MAX_ENTRIES entries, sorted, all above the floor.

    Attributes:
        entries: Positions in microseconds, keyed by group and epoch.
        floor: The position in microseconds that every group must have passed, in any epoch.
    """

    entries: Mapping[tuple[int, int], int] = field(default_factory=lambda: MappingProxyType({}))
    floor: int = 0

    @staticmethod
    def from_entries(entries: Mapping[tuple[int, int], int], floor: int = 0) -> Token:
        """Create a token in normal form.

        Raises:
            ValueError: A number is out of range.
        """
        if not 0 <= floor <= MAX_POSITION:
            raise ValueError(f"floor {floor} is out of range")
        for (group, epoch), position_us in entries.items():
            in_range = (
                0 <= group <= MAX_GROUP and 0 <= epoch <= MAX_EPOCH and 0 <= position_us <= MAX_POSITION
            )
            if not in_range:
                raise ValueError(f"entry of group {group}, epoch {epoch} is out of range")
        if len(entries) > MAX_ENTRIES:
            highest_first = sorted(entries.values(), reverse=True)
            floor = max(floor, highest_first[MAX_ENTRIES])
        above_floor = {
            key: position_us for key, position_us in sorted(entries.items()) if position_us > floor
        }
        return Token(MappingProxyType(above_floor), floor)

    @staticmethod
    def for_position(group: int, epoch: int, position_us: int) -> Token:
        """Create the token of a single commit."""
        return Token.from_entries({(group, epoch): position_us})

    def join(self, *others: Token) -> Token:
        """Return the least upper bound of the tokens, as far as MAX_ENTRIES allows."""
        joined = dict(self.entries)
        floor = self.floor
        for other in others:
            floor = max(floor, other.floor)
            for key, position_us in other.entries.items():
                joined[key] = max(position_us, joined.get(key, 0))
        return Token.from_entries(joined, floor)

    def positions_in(self, group: int) -> list[EpochPosition]:
        """Return the positions required of a group, by ascending epoch, in addition to the `floor`."""
        return [
            EpochPosition(epoch, position_us)
            for (entry_group, epoch), position_us in self.entries.items()
            if entry_group == group
        ]

    def __bool__(self) -> bool:
        return bool(self.entries) or self.floor > 0


EMPTY_TOKEN = Token()
