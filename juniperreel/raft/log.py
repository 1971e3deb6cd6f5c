"""The log in memory: the entries that follow what was compacted into a snapshot."""

from __future__ import annotations

from collections.abc import Sequence

from juniperreel.raft.errors import LogIndexError
from juniperreel.raft.types import Entry


class RaftLog:
    """Entries `first_index` to `last_index`; what lies before them was compacted.

    Invariant: the indexes of the entries follow each other without a gap, from `compacted_index` + 1 on.
    """

    def __init__(self, compacted_index: int, compacted_term: int, entries: Sequence[Entry] = ()) -> None:
        """Raises LogIndexError where the entries do not follow `compacted_index` without a gap."""
        self.compacted_index = compacted_index
        self.compacted_term = compacted_term
        self.entries = list(entries)
        for expected, entry in enumerate(self.entries, compacted_index + 1):
            if entry.index != expected:
                raise LogIndexError(entry.index, f"stands where {expected} belongs")

    @property
    def first_index(self) -> int:
        """Index of the first entry that is still held, or would be."""
        return self.compacted_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the last compacted one."""
        return self.compacted_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at `last_index`."""
        return self.entries[-1].term if self.entries else self.compacted_term

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index, or None where the log does not reach."""
        if index == self.compacted_index:
            return self.compacted_term
        if self.compacted_index < index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def slice(self, start: int, end: int) -> list[Entry]:
        """Entries `start` to `end`, both included. Raises LogIndexError for what was compacted."""
        if start < self.first_index:
            raise LogIndexError(start, f"lies within the snapshot at {self.compacted_index}")
        return self.entries[start - self.first_index : end - self.compacted_index]

    def append(self, entry: Entry) -> None:
        """Add an entry at the end. Raises LogIndexError where it does not follow the last one."""
        if entry.index != self.last_index + 1:
            raise LogIndexError(entry.index, f"does not follow {self.last_index}")
        self.entries.append(entry)

    def truncate(self, start: int) -> None:
        """Drop `start` and all after it. Raises LogIndexError for what was compacted."""
        if start <= self.compacted_index:
            raise LogIndexError(start, f"lies within the snapshot at {self.compacted_index}")
        del self.entries[start - self.first_index :]

    def compact(self, index: int) -> None:
        """Drop entries up to `index`, which a snapshot covers. Raises LogIndexError if it is not there."""
        term = self.term_at(index)
        if term is None:
            raise LogIndexError(index, "is not in the log")
        del self.entries[: index - self.compacted_index]
        self.compacted_index = index
        self.compacted_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries, as a snapshot at `index` replaces them."""
        self.compacted_index = index
        self.compacted_term = term
        self.entries = []

    def find_conflict_index(self, index: int, term: int) -> int:
        """The highest index up to `index` whose term is not above `term`: where a match may lie."""
        index = min(index, self.last_index)
        while index > self.compacted_index and (self.term_at(index) or 0) > term:
            index -= 1
        return index
