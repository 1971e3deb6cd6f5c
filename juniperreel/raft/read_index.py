"""Linearizable reads by ReadIndex (dissertation, 6.4): no clock is trusted."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from juniperreel.raft.ready import ReadState
from juniperreel.raft.replication import Replication
from juniperreel.raft.state import NodeState


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a quorum has answered a round of heartbeats."""

    heartbeat_round: int
    context: int
    index: int


class ReadIndex:
    """Owns the reads that a leader was asked for, until they are answered or lost.

    A leader may have been replaced without knowing; so a read waits until a quorum answers a heartbeat that
    was sent after it. A leader that has committed nothing in its term does not know the newest commit index
    yet; so reads wait for that first.
    """

    def __init__(self, state: NodeState, replication: Replication) -> None:
        """Reads wait for rounds of heartbeats of `replication`."""
        self._state = state
        self._replication = replication
        self._pending: deque[PendingRead] = deque()
        self._awaiting_commit: list[int] = []  # contexts
        self._confirmed: list[ReadState] = []
        self._lost: list[int] = []  # contexts

    @property
    def has_results(self) -> bool:
        """Whether reads were confirmed or lost since they were last taken."""
        return bool(self._confirmed or self._lost)

    def take_confirmed(self) -> list[ReadState]:
        """The reads that may be answered, each once."""
        confirmed = self._confirmed
        self._confirmed = []
        return confirmed

    def take_lost(self) -> list[int]:
        """The contexts of reads that ended with the leadership, each once."""
        lost = self._lost
        self._lost = []
        return lost

    def request(self, context: int) -> None:
        """Begin a read, or have it wait for the first commit of the term."""
        if self._replication.has_committed_in_term:
            self._start(context)
        else:
            self._awaiting_commit.append(context)

    def on_commit(self) -> None:
        """Begin the reads that waited for a commit of the term."""
        waiting = self._awaiting_commit
        self._awaiting_commit = []
        for context in waiting:
            self._start(context)

    def _start(self, context: int) -> None:
        heartbeat_round = self._replication.start_heartbeat_round()
        self._pending.append(PendingRead(heartbeat_round, context, self._state.commit_index))
        self._replication.send_heartbeats()
        self.confirm()

    def confirm(self) -> None:
        """Confirm the reads whose round of heartbeats a quorum has answered."""
        acknowledged_round = self._replication.acknowledged_round()
        while self._pending and self._pending[0].heartbeat_round <= acknowledged_round:
            read = self._pending.popleft()
            self._confirmed.append(ReadState(read.context, read.index))

    def abandon(self) -> None:
        """Report all reads as lost, since the leadership has ended."""
        self._lost += [read.context for read in self._pending]
        self._lost += self._awaiting_commit
        self._pending.clear()
        self._awaiting_commit.clear()
