"""State that has changed in memory and has not been handed out for persistence yet."""

from __future__ import annotations

from juniperreel.raft.ready import PersistBatch
from juniperreel.raft.state import NodeState
from juniperreel.raft.types import HardState, Snapshot


class UnstableState:
    """Builds the next `PersistBatch`.

    Invariant: entries below `_next_index` and the hard state `_saved` are on disk or part of a batch that was
    handed out.
    """

    def __init__(self, state: NodeState, saved: HardState) -> None:
        """`saved` is the hard state on disk."""
        self._state = state
        self._saved = saved
        self._next_index = state.log.last_index + 1
        self._snapshot: Snapshot | None = None
        self._replaces_log = False

    @property
    def has_changes(self) -> bool:
        """Whether a write is required. An advanced commit index alone does not require one."""
        return (
            self._snapshot is not None
            or self._next_index <= self._state.log.last_index
            or (self._state.term, self._state.vote) != (self._saved.term, self._saved.vote)
        )

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Persist a snapshot and keep the log entries after it."""
        self._snapshot = snapshot

    def replace_log(self, snapshot: Snapshot) -> None:
        """Persist a snapshot that replaces the whole log."""
        self._snapshot = snapshot
        self._replaces_log = True
        self._next_index = snapshot.index + 1

    def truncate(self, start: int) -> None:
        """Record that the log was truncated from `start` on, so that later entries are written again."""
        self._next_index = min(self._next_index, start)

    def take_batch(self) -> PersistBatch:
        """Take the next batch; its contents count as handed out from now on."""
        batch = PersistBatch()
        state = self._state
        hard_state = HardState(state.term, state.vote, state.commit_index)
        vote_changed = (state.term, state.vote) != (self._saved.term, self._saved.vote)
        if vote_changed or state.commit_index > self._saved.commit:
            batch.hard_state = hard_state
        self._saved = hard_state
        if self._snapshot is not None:
            batch.snapshot = self._snapshot
            batch.replaces_log = self._replaces_log
            batch.first_retained_index = state.log.first_index
            self._snapshot = None
            self._replaces_log = False
        if self._next_index <= state.log.last_index:
            # Entries that the snapshot covers may have been compacted before they were ever written.
            first_index = max(self._next_index, state.log.first_index)
            batch.entries = state.log.slice(first_index, state.log.last_index)
            self._next_index = state.log.last_index + 1
        return batch
