"""Virtual time: a clock that jumps from one planned action to the next."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import NamedTuple


class PlannedAction(NamedTuple):
    """An entry of the heap; `sequence` orders actions of the same time, and keeps them out of comparisons."""

    at_us: int
    sequence: int
    action: Callable[[], object]


class VirtualClock:
    """A clock in microseconds, and what is planned on it.

    Actions of the same time run in the order in which they were planned.
    """

    def __init__(self, start_us: int = 0) -> None:
        self.now_us = start_us
        self._planned: list[PlannedAction] = []
        self._sequence = count()

    def at(self, time_us: int, action: Callable[[], object]) -> None:
        """Plan an action at a time."""
        heapq.heappush(self._planned, PlannedAction(time_us, next(self._sequence), action))

    def run(self, until_us: int) -> None:
        """Carry out what is planned up to a time, and what that plans; the clock shows the time then."""
        while self._planned and self._planned[0].at_us <= until_us:
            planned = heapq.heappop(self._planned)
            self.now_us = planned.at_us
            planned.action()
        self.now_us = until_us
