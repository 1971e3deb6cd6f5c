"""What a leader believes of one follower, and how much it sends it at once."""

from __future__ import annotations

from collections import deque
from enum import Enum


class ProgressState(Enum):
    PROBE = "probe"  # one message, then wait: where the logs match is not known yet
    REPLICATE = "replicate"  # pipelined, up to the window
    SNAPSHOT = "snapshot"  # chunk after chunk


class Progress:
    """`match` is known to be on the follower's disk; `next` is what it is sent next."""

    def __init__(self, next_index: int, max_inflight_appends: int) -> None:
        self.match = 0
        self.next = next_index
        self.pace = ProgressState.PROBE
        self.waiting = False  # a probe or chunk is out
        self.active = False  # heard since the last check of the quorum
        self.round = 0  # of the last heartbeat it answered
        self.offset = 0  # of the snapshot it is sent
        self.snapshot_index = 0
        self._window = max_inflight_appends
        self._inflight: deque[int] = deque()  # last index of each message out

    @property
    def paused(self) -> bool:
        if self.pace is ProgressState.REPLICATE:
            return len(self._inflight) >= self._window
        return self.waiting

    def sent(self, last: int) -> None:
        if self.pace is ProgressState.REPLICATE:
            self.next = last + 1
            self._inflight.append(last)
        else:
            self.waiting = True

    def accepted(self, index: int) -> bool:
        """Whether this is news."""
        self.waiting = False
        while self._inflight and self._inflight[0] <= index:
            self._inflight.popleft()
        news = index > self.match
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        if self.pace is ProgressState.PROBE:
            self.replicate()
        return news

    def rejected(self, refused: int, hint: int) -> bool:
        """Whether the answer is to what is out now, and not a late one."""
        if self.pace is ProgressState.REPLICATE:
            if refused <= self.match:
                return False
            self.probe()
            return True
        if refused != self.next - 1:
            return False
        self.waiting = False
        self.next = max(min(refused, hint + 1), self.match + 1)
        return True

    def replicate(self) -> None:
        self.pace, self.waiting = ProgressState.REPLICATE, False
        self.next = self.match + 1
        self._inflight.clear()

    def probe(self) -> None:
        self.pace, self.waiting = ProgressState.PROBE, False
        self.next = self.match + 1
        self._inflight.clear()

    def snapshot(self, index: int) -> None:
        self.pace, self.waiting = ProgressState.SNAPSHOT, False
        self.snapshot_index, self.offset = index, 0
        self._inflight.clear()

    def nudge(self) -> None:
        """At each heartbeat: what was out may be lost."""
        self.waiting = False
        if self._inflight and len(self._inflight) >= self._window:
            self._inflight.popleft()
