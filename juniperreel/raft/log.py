"""The log in memory: a snapshot's place, and the entries after it."""

from __future__ import annotations

from collections.abc import Sequence

from juniperreel.raft.types import Entry, EntryKind, Membership


class RaftLog:
    """Entries `first` to `last`. What lies before `first` is covered by the snapshot at `base`."""

    def __init__(self, base: int, base_term: int, entries: Sequence[Entry] = ()) -> None:
        self.base, self.base_term = base, base_term
        self.entries = list(entries)
        for number, entry in enumerate(self.entries, base + 1):
            if entry.index != number:
                raise ValueError(f"entry {entry.index} stands where {number} belongs")

    @property
    def first(self) -> int:
        return self.base + 1

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int | None:
        """The term at an index; None where the log does not reach."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1].term
        return None

    def slice(self, start: int, end: int) -> list[Entry]:
        """Entries `start` to `end`, both included."""
        return self.entries[start - self.base - 1 : end - self.base]

    def append(self, entry: Entry) -> None:
        if entry.index != self.last + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last}")
        self.entries.append(entry)

    def truncate(self, start: int) -> None:
        """Drop `start` and all after it."""
        if start <= self.base:
            raise ValueError(f"{start} lies within the snapshot at {self.base}")
        del self.entries[start - self.base - 1 :]

    def compact(self, index: int) -> None:
        """Drop entries up to `index`, which a snapshot covers."""
        term = self.term(index)
        if term is None:
            raise ValueError(f"{index} is not in the log")
        del self.entries[: index - self.base]
        self.base, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Nothing but a snapshot's place."""
        self.base, self.base_term, self.entries = index, term, []

    def conflict(self, index: int, term: int) -> int:
        """The highest index up to `index` whose term is not above `term`: where a match may lie."""
        index = min(index, self.last)
        while index > self.base and (self.term(index) or 0) > term:
            index -= 1
        return index


# Membership as an entry's data.


def encode_membership(members: Membership) -> bytes:
    parts = (members.voters, members.learners, members.retired)
    return "\n".join(",".join(sorted(names)) for names in parts).encode()


def decode_membership(data: bytes) -> Membership:
    parts = [frozenset(filter(None, line.split(","))) for line in data.decode().split("\n")]
    if len(parts) != 3:
        raise ValueError("not a membership")
    return Membership(*parts)


class MembershipHistory:
    """The membership in force is that of the newest entry in the log, committed or not (dissertation, 4.1);
    when the entry is cut off, the one before it is in force again."""

    def __init__(self, index: int, members: Membership) -> None:
        self._stack = [(index, members)]

    @property
    def current(self) -> Membership:
        return self._stack[-1][1]

    @property
    def index(self) -> int:
        return self._stack[-1][0]

    def push(self, entry: Entry) -> None:
        if entry.kind is EntryKind.CONFIG:
            self._stack.append((entry.index, decode_membership(entry.data)))

    def truncate(self, start: int) -> None:
        while len(self._stack) > 1 and self._stack[-1][0] >= start:
            self._stack.pop()

    def at(self, index: int) -> Membership:
        """The membership in force at an index that the stack still reaches."""
        return next(m for at, m in reversed(self._stack) if at <= index)

    def compact(self, index: int) -> None:
        members = self.at(index)
        self._stack = [(index, members)] + [(at, m) for at, m in self._stack if at > index]

    def reset(self, index: int, members: Membership) -> None:
        self._stack = [(index, members)]
