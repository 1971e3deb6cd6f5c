"""Calls that are due at a time. Free of I/O: whoever owns the queue runs them with the current time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class TimerQueue:
    """Calls ordered by due time; those of one time run in the order in which they were added.

    A timer is never removed: its call finds out whether it is still wanted. `on_call_error` is called with
    what a call raised, and raises it again where it is not set.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[int, int, Callable[[], None]]] = []  # due time, order of insertion, call
        self._order = count()
        self.on_call_error: Callable[[Exception], None] = _raise_again

    def call_at(self, due_us: int, call: Callable[[], None]) -> None:
        """Add a call."""
        heapq.heappush(self._heap, (due_us, next(self._order), call))

    def next_due_us(self) -> int | None:
        """Return when the next call is due, or None where there is none."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now_us: int) -> None:
        """Run all calls that are due, also those that are added meanwhile."""
        while self._heap and self._heap[0][0] <= now_us:
            _, _, call = heapq.heappop(self._heap)
            try:
                call()
            except Exception as error:
                # The task's boundary: the calls behind this one are owed to others.
                self.on_call_error(error)


def _raise_again(error: Exception) -> None:
    raise error
