"""When the bytes of a stream arrived, for commands that are parsed later. Free of I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

RESOLUTION_US = 1_000  # bytes that arrive within it share a mark, so that single bytes do not fill the memory


class ArrivalMark(NamedTuple):
    """All bytes before `end`, and behind the mark before, had arrived at `at_us`."""

    end: int
    at_us: int


class ArrivalTimes:
    """The arrival times of bytes that are not taken yet."""

    def __init__(self) -> None:
        """Start a stream."""
        self._received = 0
        self._marks: deque[ArrivalMark] = deque()

    def receive(self, count: int, at_us: int) -> None:
        """Note that `count` bytes more have arrived, at the earliest at `at_us`."""
        self._received += count
        if self._marks and at_us - self._marks[-1].at_us < RESOLUTION_US:
            at_us = min(self._marks.pop().at_us, at_us)
        self._marks.append(ArrivalMark(self._received, at_us))

    def take(self, unread: int) -> int:
        """Return when the last byte before the `unread` ones arrived, and forget what came before it."""
        position = self._received - unread
        while self._marks[0].end < position:
            self._marks.popleft()
        return self._marks[0].at_us
