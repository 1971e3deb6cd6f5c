"""What a leader knows of one follower, and how much it may send it at once."""

from __future__ import annotations

from collections import deque
from enum import Enum


class ProgressState(Enum):
    """How a follower is sent the log; the states are those of etcd's raft."""

    PROBE = "probe"  # one message at a time: where the logs match is not known yet
    REPLICATE = "replicate"  # pipelined, up to the limit of messages in flight
    SNAPSHOT = "snapshot"  # chunk after chunk, one at a time


class Progress:
    """The leader's record of one follower.

    Attributes:
        match_index: Known to be on the follower's disk.
        next_index: What it is sent next.
        state: How it is sent entries.
        recently_active: Whether it answered since the quorum was last checked.
        acknowledged_round: The newest round of heartbeats that it answered.
        snapshot_index: The snapshot that it is being sent, in state SNAPSHOT.
        snapshot_offset: How many bytes of that snapshot it is known to hold.
    """

    def __init__(self, next_index: int, max_inflight: int) -> None:
        """Starts in state PROBE. `max_inflight` bounds the unanswered messages in state REPLICATE."""
        self.match_index = 0
        self.next_index = next_index
        self.state = ProgressState.PROBE
        self.recently_active = False
        self.acknowledged_round = 0
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self.awaiting_reply = False  # a probe or a chunk is in flight
        self._max_inflight = max_inflight
        self._inflight: deque[int] = deque()  # last index of each message in flight

    @property
    def paused(self) -> bool:
        """Whether nothing may be sent before an answer or the next heartbeat."""
        if self.state is ProgressState.REPLICATE:
            return len(self._inflight) >= self._max_inflight
        return self.awaiting_reply

    def on_sent(self, last_index: int) -> None:
        """Note that a message was sent; `last_index` is that of its last entry."""
        if self.state is ProgressState.REPLICATE:
            self.next_index = last_index + 1
            self._inflight.append(last_index)
        else:
            self.awaiting_reply = True

    def on_accepted(self, index: int) -> bool:
        """Note that the follower's log matches up to `index`. Returns whether that is more than was known."""
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
        """Note that the log did not match at `rejected_index`, and may match at `hint_index`.

        Returns False for a late answer, which says nothing about what is in flight now.
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
        """Send entries pipelined from the known match on."""
        self._enter(ProgressState.REPLICATE)
        self.next_index = self.match_index + 1

    def become_probe(self) -> None:
        """Send one message at a time from the known match on."""
        self._enter(ProgressState.PROBE)
        self.next_index = self.match_index + 1

    def become_snapshot(self, index: int) -> None:
        """Send the snapshot of `index` from its beginning."""
        self._enter(ProgressState.SNAPSHOT)
        self.snapshot_index = index
        self.snapshot_offset = 0

    def _enter(self, state: ProgressState) -> None:
        self.state = state
        self.awaiting_reply = False
        self._inflight.clear()

    def on_heartbeat(self) -> None:
        """Make room for one more message, as what was in flight may be lost."""
        self.awaiting_reply = False
        if self._inflight and len(self._inflight) >= self._max_inflight:
            self._inflight.popleft()
