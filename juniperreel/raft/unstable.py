"""What has changed in memory and was not yet handed out to be written to disk."""

from __future__ import annotations

from juniperreel.raft.ready import PersistBatch
from juniperreel.raft.state import NodeState
from juniperreel.raft.types import HardState, Snapshot


class UnstableState:
    """Collects the next batch for the disk.

    Invariant: entries below the next one to be handed out, and the hard state handed out last, are on disk or
    on their way there.
    """

    def __init__(self, state: NodeState, saved: HardState) -> None:
        """`saved` is the hard state that the disk holds."""
        self._state = state
        self._saved = saved
        self._next_index = state.log.last_index + 1
        self._snapshot: Snapshot | None = None
        self._replaces_log = False

    @property
    def has_changes(self) -> bool:
        """Whether anything must be written. A commit index alone does not count."""
        return (
            self._snapshot is not None
            or self._next_index <= self._state.log.last_index
            or (self._state.term, self._state.vote) != (self._saved.term, self._saved.vote)
        )

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Have a snapshot written that leaves the log after it as it is."""
        self._snapshot = snapshot

    def replace_log(self, snapshot: Snapshot) -> None:
        """Have a snapshot written in place of the whole log."""
        self._snapshot = snapshot
        self._replaces_log = True
        self._next_index = snapshot.index + 1

    def truncate(self, start: int) -> None:
        """Note that `start` and all after it were dropped from the log, so that they are written anew."""
        self._next_index = min(self._next_index, start)

    def take_batch(self) -> PersistBatch:
        """The next batch; what it holds counts as handed out from now on."""
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
            # What a snapshot covers may be gone from the log before it was ever written.
            first_index = max(self._next_index, state.log.first_index)
            batch.entries = state.log.slice(first_index, state.log.last_index)
            self._next_index = state.log.last_index + 1
        return batch
