"""In-memory counterpart of `Storage` for simulation; after each write it holds what the disk would hold."""

from __future__ import annotations

from juniperreel.raft.ready import PersistBatch
from juniperreel.raft.types import Entry, HardState, Membership, RecoveredState, Snapshot


class InMemoryStorage:
    """Has the semantics of `Storage` without a disk."""

    def __init__(self, membership: Membership) -> None:
        """Starts like a new directory, with an empty snapshot that holds the initial membership."""
        self.hard_state = HardState()
        self.snapshot = Snapshot(0, 0, membership, b"")
        self.compacted_index = 0
        self.compacted_term = 0
        self.entries: list[Entry] = []

    def write(self, batch: PersistBatch) -> None:
        """Write a batch atomically."""
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        if batch.snapshot is not None:
            self._write_snapshot(batch, batch.snapshot)
        if batch.entries:
            start = batch.entries[0].index
            self.entries = [entry for entry in self.entries if entry.index < start] + batch.entries

    def _write_snapshot(self, batch: PersistBatch, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        if batch.replaces_log:
            self.entries = []
        retained = [entry for entry in self.entries if entry.index >= batch.first_retained_index]
        if retained and retained[0].index == batch.first_retained_index <= snapshot.index:
            self.compacted_term = self._term_before(batch.first_retained_index)
            self.compacted_index = batch.first_retained_index - 1
            self.entries = retained
        else:
            self.compacted_index = snapshot.index
            self.compacted_term = snapshot.term
            self.entries = [entry for entry in retained if entry.index > snapshot.index]

    def _term_before(self, index: int) -> int:
        dropped = [entry for entry in self.entries if entry.index == index - 1]
        return dropped[0].term if dropped else self.compacted_term

    def recover(self) -> RecoveredState:
        """The state that a node recovers when it opens this storage."""
        return RecoveredState(
            self.hard_state, self.snapshot, list(self.entries), self.compacted_index, self.compacted_term
        )
