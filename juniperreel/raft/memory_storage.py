"""The storage's in-memory twin: what a disk holds after each write, all together or not at all."""

from __future__ import annotations

from juniperreel.raft.core import RecoveredState
from juniperreel.raft.types import Entry, HardState, Membership, PersistBatch, Snapshot


class InMemoryStorage:
    """Behaves as `Storage` does, but for the disk."""

    def __init__(self, members: Membership) -> None:
        self.hard_state = HardState()
        self.snapshot = Snapshot(0, 0, members, b"")
        self.base, self.base_term = 0, 0
        self.entries: list[Entry] = []

    def write(self, persist: PersistBatch) -> None:
        if persist.hard_state is not None:
            self.hard_state = persist.hard_state
        if persist.snapshot is not None:
            self.snapshot = persist.snapshot
            if persist.reset:
                self.entries = []
            keep = [e for e in self.entries if e.index >= persist.keep_from]
            if keep and keep[0].index == persist.keep_from <= persist.snapshot.index:
                dropped = [e for e in self.entries if e.index == persist.keep_from - 1]
                self.base, self.base_term = persist.keep_from - 1, self._term_before(dropped)
            else:
                keep = [e for e in keep if e.index > persist.snapshot.index]
                self.base, self.base_term = persist.snapshot.index, persist.snapshot.term
            self.entries = keep
        if persist.entries:
            start = persist.entries[0].index
            self.entries = [e for e in self.entries if e.index < start] + persist.entries

    def _term_before(self, dropped: list[Entry]) -> int:
        return dropped[0].term if dropped else self.base_term

    def restore(self) -> RecoveredState:
        return RecoveredState(self.hard_state, self.snapshot, list(self.entries), self.base, self.base_term)
