"""Tracks when the bytes of a stream arrived, for commands that are parsed later. Performs no I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

RESOLUTION_US = 1_000  # bytes that arrive within it share a mark, which bounds memory for byte-wise input


class ArrivalMark(NamedTuple):
    """The bytes from the previous mark's `end` up to this one's had arrived by `at_us`."""

    end: int
    at_us: int


class ArrivalTimes:
    """Arrival times of the bytes that have not been taken yet."""

    def __init__(self) -> None:
        """Start with an empty stream."""
        self._received = 0
        self._marks: deque[ArrivalMark] = deque()

    def receive(self, count: int, at_us: int, merge: bool = False) -> None:
        """Record that `count` more bytes arrived, at `at_us` at the earliest.

        `merge`: they may be dated as early as the bytes before them, since their commands are not kept.
        """
        self._received += count
        if self._marks and (merge or at_us - self._marks[-1].at_us < RESOLUTION_US):
            at_us = min(self._marks.pop().at_us, at_us)
        self._marks.append(ArrivalMark(self._received, at_us))

    def take(self, unread: int) -> int:
        """Return when the last byte before the final `unread` ones arrived, and drop earlier marks."""
        position = self._received - unread
        while self._marks[0].end < position:
            self._marks.popleft()
        return self._marks[0].at_us
