"""Linearizable reads by ReadIndex (dissertation, 6.4), which does not depend on clocks."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from juniperreel.raft.ready import ReadState
from juniperreel.raft.replication import Replication
from juniperreel.raft.state import NodeState


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a quorum has acknowledged a heartbeat round."""

    heartbeat_round: int
    context: int
    index: int


class ReadIndex:
    """Owns the reads requested from a leader until they are confirmed or lost.

    A leader may have been replaced without knowing it, so each read waits until a quorum acknowledges a
    heartbeat sent after the read started. A leader that has not committed an entry of its term may not know
    the latest commit index yet, so reads wait for that commit first.
    """

    def __init__(self, state: NodeState, replication: Replication) -> None:
        """`replication` sends the heartbeat rounds that confirm reads."""
        self._state = state
        self._replication = replication
        self._pending: deque[PendingRead] = deque()
        self._awaiting_commit: list[int] = []  # contexts
        self._confirmed: list[ReadState] = []
        self._lost: list[int] = []  # contexts

    @property
    def has_results(self) -> bool:
        """Whether there are confirmed or lost reads to take."""
        return bool(self._confirmed or self._lost)

    def take_confirmed(self) -> list[ReadState]:
        """Take the confirmed reads; each is returned once."""
        confirmed = self._confirmed
        self._confirmed = []
        return confirmed

    def take_lost(self) -> list[int]:
        """Take the contexts of reads that were lost with the leadership; each is returned once."""
        lost = self._lost
        self._lost = []
        return lost

    def request(self, context: int) -> None:
        """Start a read, or defer it until the first commit of the term."""
        if self._replication.has_committed_in_term:
            self._start(context)
        else:
            self._awaiting_commit.append(context)

    def on_commit(self) -> None:
        """Start the reads that were deferred until a commit of the term."""
        waiting = self._awaiting_commit
        self._awaiting_commit = []
        for context in waiting:
            self._start(context)

    def _start(self, context: int) -> None:
        heartbeat_round = self._replication.send_heartbeats()
        self._pending.append(PendingRead(heartbeat_round, context, self._state.commit_index))
        self.confirm()

    def confirm(self) -> None:
        """Confirm the reads whose heartbeat round a quorum has acknowledged."""
        acknowledged_round = self._replication.acknowledged_round()
        while self._pending and self._pending[0].heartbeat_round <= acknowledged_round:
            read = self._pending.popleft()
            self._confirmed.append(ReadState(read.context, read.index))

    def fail_all(self) -> None:
        """Report all reads as lost when the leadership ends."""
        self._lost += [read.context for read in self._pending]
        self._lost += self._awaiting_commit
        self._pending.clear()
        self._awaiting_commit.clear()
