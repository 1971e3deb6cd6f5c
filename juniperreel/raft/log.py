"""The in-memory log: the entries that have not been compacted into a snapshot."""

from __future__ import annotations

from collections.abc import Sequence

from juniperreel.raft.errors import LogIndexError
from juniperreel.raft.types import Entry


class RaftLog:
    """Entries `first_index` to `last_index`; earlier ones were compacted.

    Invariant: the entries' indexes are contiguous, starting at `compacted_index` + 1.
    """

    def __init__(self, compacted_index: int, compacted_term: int, entries: Sequence[Entry] = ()) -> None:
        """Raises LogIndexError if the entries are not contiguous from `compacted_index` + 1."""
        self.compacted_index = compacted_index
        self.compacted_term = compacted_term
        self.entries = list(entries)
        for expected, entry in enumerate(self.entries, compacted_index + 1):
            if entry.index != expected:
                raise LogIndexError(entry.index, f"expected index {expected} at this position")

    @property
    def first_index(self) -> int:
        """Index of the first retained entry, or of the next entry if none is retained."""
        return self.compacted_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the last compacted entry if none is retained."""
        return self.compacted_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at `last_index`."""
        return self.entries[-1].term if self.entries else self.compacted_term

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`, or None if the entry was compacted or does not exist."""
        if index == self.compacted_index:
            return self.compacted_term
        if self.compacted_index < index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def slice(self, start: int, end: int) -> list[Entry]:
        """Entries `start` to `end`, inclusive. Raises LogIndexError if `start` was compacted."""
        if start < self.first_index:
            raise LogIndexError(start, f"was compacted; the log starts after index {self.compacted_index}")
        return self.entries[start - self.first_index : end - self.compacted_index]

    def append(self, entry: Entry) -> None:
        """Append an entry. Raises LogIndexError if its index is not `last_index` + 1."""
        if entry.index != self.last_index + 1:
            raise LogIndexError(entry.index, f"does not follow the last index {self.last_index}")
        self.entries.append(entry)

    def truncate(self, start: int) -> None:
        """Remove the entries from `start` on. Raises LogIndexError if `start` was compacted."""
        if start <= self.compacted_index:
            raise LogIndexError(start, f"was compacted; the log starts after index {self.compacted_index}")
        del self.entries[start - self.first_index :]

    def compact(self, index: int) -> None:
        """Remove entries up to `index`, which a snapshot covers. Raises LogIndexError if it is absent."""
        term = self.term_at(index)
        if term is None:
            raise LogIndexError(index, "is not in the log")
        del self.entries[: index - self.compacted_index]
        self.compacted_index = index
        self.compacted_term = term

    def reset(self, index: int, term: int) -> None:
        """Replace the whole log by a snapshot at `index`."""
        self.compacted_index = index
        self.compacted_term = term
        self.entries = []

    def find_conflict_index(self, index: int, term: int) -> int:
        """The highest index up to `index` whose term is at most `term`; higher ones cannot match."""
        index = min(index, self.last_index)
        while index > self.compacted_index and (self.term_at(index) or 0) > term:
            index -= 1
        return index
