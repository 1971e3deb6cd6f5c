"""Operations that tasks asked of a node and whose outcome they await."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio

from juniperreel.raft.configuration.state_machine import Outcome
from juniperreel.raft.errors import EntrySupersededError, NotLeaderError, RaftError, RequestRejectedError
from juniperreel.raft.ready import ReadState
from juniperreel.raft.types import Entry, LogPosition

MAX_PENDING = 1024
TOO_MANY_PENDING = "too many requests are in hand"
SUPERSEDED_BY_SNAPSHOT = "a snapshot took its place"
SUPERSEDED_BY_ENTRY = "another leader's entry took its place"


@dataclass(slots=True, eq=False)
class PendingOperation:
    """One operation, from the request to its outcome.

    Attributes:
        start: Runs in the node's task. Returns where the proposed entry stands, or None if the operation has
            no entry. May raise NotLeaderError or RequestRejectedError.
        read_context: Of a linearizable read, which ends when its index is applied.
        done: Set once there is an outcome.
        outcome: Of the applied command, if there was one.
        error: Why the operation failed, if it did.
    """

    start: Callable[[], LogPosition | None]
    read_context: int | None = None
    done: trio.Event = field(default_factory=trio.Event)
    outcome: Outcome | None = None
    error: RaftError | None = None

    def succeed(self, outcome: Outcome | None = None) -> None:
        """End the operation, unless it has ended."""
        if not self.done.is_set():
            self.outcome = outcome
            self.done.set()

    def fail(self, error: RaftError) -> None:
        """End the operation with an error, unless it has ended."""
        if not self.done.is_set():
            self.error = error
            self.done.set()

    async def wait(self) -> Outcome | None:
        """Wait for the outcome. Raises the operation's error."""
        await self.done.wait()
        if self.error is not None:
            raise self.error
        return self.outcome


@dataclass(frozen=True, slots=True)
class PendingEntry:
    """An entry in the log that somebody waits for."""

    term: int
    operation: PendingOperation


class OperationTable:
    """The operations whose entries wait to be applied, and the reads that wait to be confirmed.

    Invariant: every operation in it ends: applied, superseded, lost with the leadership, or with the node.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._entries: dict[int, PendingEntry] = {}  # by index
        self._reads: dict[int, PendingOperation] = {}  # by context

    def require_capacity(self) -> None:
        """Raises RequestRejectedError where too many operations are pending."""
        if len(self._entries) + len(self._reads) >= MAX_PENDING:
            raise RequestRejectedError(TOO_MANY_PENDING)

    def start(self, operation: PendingOperation) -> None:
        """Start an operation in the node's task, and keep it until its outcome is known."""
        try:
            position = operation.start()
        except (NotLeaderError, RequestRejectedError) as error:
            operation.fail(error)
            return
        if position is not None:
            self._entries[position.index] = PendingEntry(position.term, operation)
        elif operation.read_context is not None:
            self._reads[operation.read_context] = operation
        else:
            operation.succeed()

    def forget_read(self, context: int) -> None:
        """Drop a read that nobody waits for any longer."""
        self._reads.pop(context, None)

    def on_applied(self, entry: Entry, outcome: Outcome | None) -> None:
        """End the operation that waited for an entry's index."""
        pending = self._entries.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            pending.operation.succeed(outcome)
        else:
            pending.operation.fail(EntrySupersededError(SUPERSEDED_BY_ENTRY))

    def on_snapshot_installed(self, index: int) -> None:
        """Fail the operations whose entries the snapshot covers: whether they were applied is not known."""
        for covered in [pending_index for pending_index in self._entries if pending_index <= index]:
            self._entries.pop(covered).operation.fail(EntrySupersededError(SUPERSEDED_BY_SNAPSHOT))

    def on_reads_confirmed(self, read_states: Iterable[ReadState]) -> None:
        """End the reads that were confirmed."""
        for read_state in read_states:
            operation = self._reads.pop(read_state.context, None)
            if operation is not None:
                operation.succeed()

    def on_reads_lost(self, contexts: Iterable[int], leader: str | None) -> None:
        """Fail reads that ended with the leadership; `leader` is the new one, if known."""
        for context in contexts:
            operation = self._reads.pop(context, None)
            if operation is not None:
                operation.fail(NotLeaderError(leader))

    def on_leadership_lost(self, leader: str | None) -> None:
        """Fail all reads.

        Entries beyond the commit index may be replaced or committed by another leader: whoever waits for one
        gets its outcome when that index is applied.
        """
        self.on_reads_lost(list(self._reads), leader)

    def reject_all(self, reason: str) -> None:
        """Reject every operation, as the node stops."""
        for pending in self._entries.values():
            pending.operation.fail(RequestRejectedError(reason))
        for operation in self._reads.values():
            operation.fail(RequestRejectedError(reason))
