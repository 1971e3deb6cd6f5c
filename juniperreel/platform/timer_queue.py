"""Queue of timed callbacks. Performs no I/O: the owner runs due callbacks with the current time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class TimerQueue:
    """Callbacks ordered by due time; those due at the same time run in insertion order.

    Timers cannot be removed; a callback must check whether it is still needed. `on_call_error` receives
    exceptions raised by callbacks; the default re-raises them.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[int, int, Callable[[], None]]] = []  # due time, order of insertion, call
        self._order = count()
        self.on_call_error: Callable[[Exception], None] = _reraise

    def call_at(self, due_us: int, call: Callable[[], None]) -> None:
        """Schedule a callback."""
        heapq.heappush(self._heap, (due_us, next(self._order), call))

    def next_due_us(self) -> int | None:
        """Return when the next callback is due, or None if there is none."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now_us: int) -> None:
        """Run all due callbacks, including those added meanwhile."""
        while self._heap and self._heap[0][0] <= now_us:
            _, _, call = heapq.heappop(self._heap)
            try:
                call()
            except Exception as error:
                # Callbacks are isolated from each other: one that fails must not prevent the rest.
                self.on_call_error(error)


def _reraise(error: Exception) -> None:
    raise error
