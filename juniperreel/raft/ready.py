"""What the core hands out to be done: write, send, apply, answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperreel.raft.messages import Message
from juniperreel.raft.types import Entry, HardState, Snapshot


@dataclass(slots=True)
class PersistBatch:
    """To be written to disk, all of it or nothing, before anything else of a `Ready` happens.

    Attributes:
        hard_state: The new hard state, if it changed.
        snapshot: The new snapshot, if there is one; it replaces the log up to its index.
        replaces_log: Whether the snapshot replaces the whole log.
        entries: They replace whatever the log holds from the first one's index on.
        first_retained_index: Entries below it are no longer needed once the snapshot is written.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    replaces_log: bool = False
    entries: list[Entry] = field(default_factory=list)
    first_retained_index: int = 0

    def __bool__(self) -> bool:
        """Whether there is anything to write."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)


@dataclass(frozen=True, slots=True)
class ReadState:
    """The read that was requested under `context` may be answered once `index` is applied."""

    context: int
    index: int


@dataclass(slots=True)
class Ready:
    """What the core wants done.

    First write `persist` and tell the core so, then send `messages` and apply `committed_entries`. That order
    must not change: a message that is sent before the batch is on disk promises what a crash can take back.

    Attributes:
        persist: To be written to disk first.
        messages: To be sent.
        installed_snapshot: The state machine starts again from this, before `committed_entries` are applied.
        committed_entries: To be applied to the state machine, in their order.
        read_states: Reads that may be answered.
        lost_reads: Contexts of reads whose leader lost its leadership; they may be requested again.
    """

    persist: PersistBatch
    messages: list[Message]
    installed_snapshot: Snapshot | None
    committed_entries: list[Entry]
    read_states: list[ReadState]
    lost_reads: list[int]
