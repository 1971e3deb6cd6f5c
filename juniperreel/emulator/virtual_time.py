"""Virtual time: a clock that advances from one scheduled action to the next."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import NamedTuple


class ScheduledAction(NamedTuple):
    """A heap entry; `sequence` orders entries of the same time, so that actions are never compared."""

    at_us: int
    sequence: int
    action: Callable[[], object]


class VirtualClock:
    """A clock in microseconds and the actions scheduled on it.

    Actions of the same time run in the order in which they were scheduled.
    """

    def __init__(self, start_us: int = 0) -> None:
        self.now_us = start_us
        self._scheduled: list[ScheduledAction] = []
        self._sequence = count()

    def at(self, time_us: int, action: Callable[[], object]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._scheduled, ScheduledAction(time_us, next(self._sequence), action))

    def run(self, until_us: int) -> None:
        """Run all actions up to a time, including those scheduled meanwhile; the clock then has that time."""
        while self._scheduled and self._scheduled[0].at_us <= until_us:
            scheduled = heapq.heappop(self._scheduled)
            self.now_us = scheduled.at_us
            scheduled.action()
        self.now_us = until_us
