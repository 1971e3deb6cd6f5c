"""A leader's view of one follower, and flow control of the messages sent to it."""

from __future__ import annotations

from collections import deque
from enum import Enum


class ProgressState(Enum):
    """How the log is replicated to a follower; the states are those of etcd's raft."""

    PROBE = "probe"  # one message at a time, until the match index is known
    REPLICATE = "replicate"  # pipelined, up to the in-flight limit
    SNAPSHOT = "snapshot"  # snapshot transfer, one chunk at a time


class Progress:
    """Replication progress of one follower.

    Attributes:
        match_index: Index of the last entry known to be durable on the follower.
        next_index: Index of the next entry to send.
        state: How the log is replicated to it.
        recently_active: Whether it replied since the last quorum check.
        acknowledged_round: The latest heartbeat round that it acknowledged.
        snapshot_index: Index of the snapshot in transfer, in state SNAPSHOT.
        snapshot_offset: Number of bytes of that snapshot that it has acknowledged.
        chunk_round: The heartbeat round in which the last chunk was sent.
    """

    def __init__(self, next_index: int, max_inflight: int) -> None:
        """Starts in state PROBE. `max_inflight` bounds the unacknowledged messages in state REPLICATE."""
        self.match_index = 0
        self.next_index = next_index
        self.state = ProgressState.PROBE
        self.recently_active = False
        self.acknowledged_round = 0
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self.chunk_round = 0
        self.awaiting_reply = False  # a probe or a chunk is in flight
        self._max_inflight = max_inflight
        self._inflight: deque[int] = deque()  # last index of each message in flight

    @property
    def paused(self) -> bool:
        """Whether sending is suspended until a reply arrives, to a message in flight or to a heartbeat."""
        if self.state is ProgressState.REPLICATE:
            return len(self._inflight) >= self._max_inflight
        return self.awaiting_reply

    def on_sent(self, last_index: int) -> None:
        """Record that a message was sent; `last_index` is the index of its last entry."""
        if self.state is ProgressState.REPLICATE:
            self.next_index = last_index + 1
            self._inflight.append(last_index)
        else:
            self.awaiting_reply = True

    def on_accepted(self, index: int) -> bool:
        """Record that the follower's log matches up to `index`. Returns whether the match index advanced."""
        self.awaiting_reply = False
        while self._inflight and self._inflight[0] <= index:
            self._inflight.popleft()
        advanced = index > self.match_index
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.state is ProgressState.PROBE:
            self.become_replicate()
        return advanced

    def on_rejected(self, rejected_index: int, hint_index: int) -> bool:
        """Record that the log does not match at `rejected_index`, but may match at `hint_index`.

        Returns False if the reply is stale and does not refer to a message in flight.
        """
        if self.state is ProgressState.REPLICATE:
            if rejected_index <= self.match_index:
                return False
            self.become_probe()
            return True
        if rejected_index != self.next_index - 1:
            return False
        self.awaiting_reply = False
        self.next_index = max(min(rejected_index, hint_index + 1), self.match_index + 1)
        return True

    def become_replicate(self) -> None:
        """Replicate with pipelining, starting after the match index."""
        self._enter(ProgressState.REPLICATE)
        self.next_index = self.match_index + 1

    def become_probe(self) -> None:
        """Replicate one message at a time, starting after the match index."""
        self._enter(ProgressState.PROBE)
        self.next_index = self.match_index + 1

    def become_snapshot(self, index: int) -> None:
        """Transfer the snapshot at `index`, starting at offset 0."""
        self._enter(ProgressState.SNAPSHOT)
        self.snapshot_index = index
        self.snapshot_offset = 0

    def _enter(self, state: ProgressState) -> None:
        self.state = state
        self.awaiting_reply = False
        self._inflight.clear()

    def lost_chunk(self, acknowledged_round: int) -> bool:
        """Whether the chunk in flight is lost: the follower has answered a heartbeat sent after it."""
        return self.awaiting_reply and acknowledged_round > self.chunk_round
