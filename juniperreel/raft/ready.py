"""Output of the core: state to persist, messages to send, entries to apply and reads to answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperreel.raft.messages import Message
from juniperreel.raft.types import Entry, HardState, Snapshot


@dataclass(slots=True)
class PersistBatch:
    """State to write to disk atomically, before the rest of a `Ready` is processed.

    Attributes:
        hard_state: The new hard state, if it changed.
        snapshot: The new snapshot, if any; it replaces the log up to its index.
        replaces_log: Whether the snapshot replaces the whole log.
        entries: New entries; they replace all stored entries from the first one's index on.
        first_retained_index: Entries below it can be deleted once the snapshot is written.
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
    """A confirmed read: the one requested as `context` may be answered once `index` is applied."""

    context: int
    index: int


@dataclass(slots=True)
class Ready:
    """One step of output.

    Write `persist` first and call `RaftCore.mark_persisted`, then send `messages` and apply
    `committed_entries`. The order is required: a message sent before the batch is durable could acknowledge
    a vote or entries that a crash then loses.

    Attributes:
        persist: State to write to disk first.
        messages: Messages to send.
        installed_snapshot: Snapshot to restore the state machine from before applying `committed_entries`.
        committed_entries: Entries to apply to the state machine, in order.
        read_states: Reads that may be answered.
        lost_reads: Contexts of reads that failed because the node lost its leadership; they can be retried.
    """

    persist: PersistBatch
    messages: list[Message]
    installed_snapshot: Snapshot | None
    committed_entries: list[Entry]
    read_states: list[ReadState]
    lost_reads: list[int]
