"""Pending operations of a node: requests by other tasks that wait for an outcome."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio

from juniperreel.raft.configuration.state_machine import Outcome
from juniperreel.raft.errors import (
    EntrySupersededError,
    NotLeaderError,
    OutcomeUnknownError,
    RaftError,
    RequestRejectedError,
)
from juniperreel.raft.ready import ReadState
from juniperreel.raft.types import Entry, LogPosition

MAX_PENDING = 1024
TOO_MANY_PENDING = "too many requests are in hand"
COVERED_BY_SNAPSHOT = "a snapshot covers the entry"
REPLACED_IN_LOG = "another entry took its place, which is not committed yet"
SUPERSEDED_BY_ENTRY = "another leader's entry took its place"


@dataclass(slots=True, eq=False)
class PendingOperation:
    """One operation, from request to outcome.

    Attributes:
        start: Runs in the node's task. Returns the position of the proposed entry, or None if the operation
            has no entry. May raise NotLeaderError or RequestRejectedError.
        read_context: Context of a linearizable read, which completes when its index is applied; otherwise
            None.
        done: Set when the operation has succeeded or failed.
        outcome: Outcome of the applied command, if the operation proposed one.
        error: The error that the operation failed with, if any.
    """

    start: Callable[[], LogPosition | None]
    read_context: int | None = None
    done: trio.Event = field(default_factory=trio.Event)
    outcome: Outcome | None = None
    error: RaftError | None = None

    def succeed(self, outcome: Outcome | None = None) -> None:
        """Complete the operation; has no effect if it is already done."""
        if not self.done.is_set():
            self.outcome = outcome
            self.done.set()

    def fail(self, error: RaftError) -> None:
        """Fail the operation; has no effect if it is already done."""
        if not self.done.is_set():
            self.error = error
            self.done.set()

    async def wait(self) -> Outcome | None:
        """Wait for the outcome. Raises the operation's error if it failed."""
        await self.done.wait()
        if self.error is not None:
            raise self.error
        return self.outcome


@dataclass(frozen=True, slots=True)
class PendingEntry:
    """A proposed entry whose operation is waiting for it to be applied."""

    term: int
    operation: PendingOperation


class OperationTable:
    """Operations that wait for their entry to be applied, and reads that wait to be confirmed.

    Invariant: every operation in the table completes: when its entry is applied or superseded, when the
    leadership is lost, or when the node stops.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._entries: dict[int, PendingEntry] = {}  # by index
        self._reads: dict[int, PendingOperation] = {}  # by context

    def require_capacity(self) -> None:
        """Raises RequestRejectedError if too many operations are pending."""
        if len(self._entries) + len(self._reads) >= MAX_PENDING:
            raise RequestRejectedError(TOO_MANY_PENDING)

    def start(self, operation: PendingOperation) -> None:
        """Start an operation and track it until it completes. Runs in the node's task."""
        try:
            position = operation.start()
        except (NotLeaderError, RequestRejectedError) as error:
            operation.fail(error)
            return
        if position is not None:
            self._track_entry(position, operation)
        elif operation.read_context is not None:
            self._reads[operation.read_context] = operation
        else:
            operation.succeed()

    def _track_entry(self, position: LogPosition, operation: PendingOperation) -> None:
        replaced = self._entries.get(position.index)
        if replaced is not None:
            # Its entry was truncated here, but other nodes may hold it and commit it yet.
            replaced.operation.fail(OutcomeUnknownError(REPLACED_IN_LOG))
        self._entries[position.index] = PendingEntry(position.term, operation)

    def discard_read(self, context: int) -> None:
        """Stop tracking a read whose caller no longer waits for it."""
        self._reads.pop(context, None)

    def on_applied(self, entry: Entry, outcome: Outcome | None) -> None:
        """Complete the operation that waits for the entry's index."""
        pending = self._entries.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            pending.operation.succeed(outcome)
        else:
            pending.operation.fail(EntrySupersededError(SUPERSEDED_BY_ENTRY))

    def on_snapshot_installed(self, index: int) -> None:
        """Fail the operations whose entries the snapshot covers: it does not say if they were applied."""
        for covered in [pending_index for pending_index in self._entries if pending_index <= index]:
            self._entries.pop(covered).operation.fail(OutcomeUnknownError(COVERED_BY_SNAPSHOT))

    def on_reads_confirmed(self, read_states: Iterable[ReadState]) -> None:
        """Complete the reads that were confirmed."""
        for read_state in read_states:
            operation = self._reads.pop(read_state.context, None)
            if operation is not None:
                operation.succeed()

    def on_reads_lost(self, contexts: Iterable[int], leader: str | None) -> None:
        """Fail reads that were lost with the leadership; `leader` is the new leader, if known."""
        for context in contexts:
            operation = self._reads.pop(context, None)
            if operation is not None:
                operation.fail(NotLeaderError(leader))

    def on_leadership_lost(self, leader: str | None) -> None:
        """Fail all reads.

        Proposals stay pending: another leader may still commit or replace their entries, and the outcome is
        known when their index is applied.
        """
        self.on_reads_lost(list(self._reads), leader)

    def fail_all(self, reason: str) -> None:
        """Fail every pending operation when the node stops; other nodes may still commit the entries."""
        for pending in self._entries.values():
            pending.operation.fail(OutcomeUnknownError(reason))
        for operation in self._reads.values():
            operation.fail(RequestRejectedError(reason))
