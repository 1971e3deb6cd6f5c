"""The token's value and its join.

A token maps (group, epoch) to a commit position: whoever presents it has seen, or written, everything
up to there. Positions of several epochs of one group stand side by side, since after a failover the
older one may name a commit that the newer history does not hold; only a history can tell.

Tokens form a join semilattice (as vector clocks do: Fidge 1988, Mattern 1989): `join` is the entrywise
maximum, then cut to the MAX_ENTRIES highest positions. What is cut sinks into `floor`, a position that
every group must have passed. That asks for more than was seen, never less, except that a floor has no
epoch: a commit that was cut off by a failover *and* has sunk is no longer told apart.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

MAX_ENTRIES = 64
MAX_GROUP = (1 << 31) - 1
MAX_EPOCH = (1 << 62) - 1
MAX_POSITION = (1 << 62) - 1  # microseconds since the Unix epoch


@dataclass(frozen=True, slots=True)
class Token:
    """`entries`: (group, epoch) to position in microseconds; always in normal form."""

    entries: Mapping[tuple[int, int], int] = field(default_factory=lambda: MappingProxyType({}))
    floor: int = 0

    @staticmethod
    def of(entries: Mapping[tuple[int, int], int], floor: int = 0) -> Token:
        """A token in normal form; ValueError if a number is out of range."""
        if not 0 <= floor <= MAX_POSITION:
            raise ValueError(f"floor {floor} is out of range")
        for (group, epoch), position in entries.items():
            if not (0 <= group <= MAX_GROUP and 0 <= epoch <= MAX_EPOCH and 0 <= position <= MAX_POSITION):
                raise ValueError(f"entry of group {group}, epoch {epoch} is out of range")
        if len(entries) > MAX_ENTRIES:
            ranked = sorted(entries.values(), reverse=True)
            floor = max(floor, ranked[MAX_ENTRIES])
        kept = {key: at for key, at in sorted(entries.items()) if at > floor}
        return Token(MappingProxyType(kept), floor)

    @staticmethod
    def at(group: int, epoch: int, position: int) -> Token:
        return Token.of({(group, epoch): position})

    def join(self, *others: Token) -> Token:
        """The least token that asks for all that these ask for, as far as MAX_ENTRIES allows."""
        merged = dict(self.entries)
        floor = self.floor
        for other in others:
            floor = max(floor, other.floor)
            for key, position in other.entries.items():
                merged[key] = max(position, merged.get(key, 0))
        return Token.of(merged, floor)

    def of_group(self, group: int) -> list[tuple[int, int]]:
        """(epoch, position) pairs that a member of `group` must hold, oldest epoch first; the floor is
        apart, in `floor`."""
        return [(epoch, at) for (number, epoch), at in self.entries.items() if number == group]

    def __bool__(self) -> bool:
        return bool(self.entries) or self.floor > 0


EMPTY = Token()
