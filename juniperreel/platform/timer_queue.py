"""Queue of timed callbacks. Performs no I/O: the owner runs due callbacks with the current time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

MIN_COMPACTED = 64  # cancelled timers, below which they are not worth removing


class Timer:
    """A scheduled callback."""

    __slots__ = ("_queue", "call")

    def __init__(self, queue: TimerQueue, call: Callable[[], None]) -> None:
        """Created by `TimerQueue.call_at`."""
        self._queue = queue
        self.call: Callable[[], None] | None = call  # None once it ran or was cancelled

    def cancel(self) -> None:
        """Cancel the callback, and release it now; has no effect once it ran."""
        if self.call is not None:
            self.call = None
            self._queue.on_cancelled()


class TimerQueue:
    """Callbacks ordered by due time; those due at the same time run in insertion order.

    Cancelled timers are removed once they are the majority, so that a queue of long timeouts does not grow
    with the rate of requests. `on_call_error` receives exceptions raised by callbacks; the default re-raises
    them.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[int, int, Timer]] = []  # due time, order of insertion, timer
        self._order = count()
        self._cancelled = 0  # timers in the heap
        self.on_call_error: Callable[[Exception], None] = _reraise

    def __len__(self) -> int:
        return len(self._heap)

    def call_at(self, due_us: int, call: Callable[[], None]) -> Timer:
        """Schedule a callback."""
        timer = Timer(self, call)
        heapq.heappush(self._heap, (due_us, next(self._order), timer))
        return timer

    def on_cancelled(self) -> None:
        """Called by a timer that was cancelled."""
        self._cancelled += 1
        if self._cancelled >= MIN_COMPACTED and self._cancelled * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def next_due_us(self) -> int | None:
        """Return when the next callback is due, or None if there is none."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now_us: int) -> None:
        """Run all due callbacks, including those added meanwhile."""
        while self._heap and self._heap[0][0] <= now_us:
            _, _, timer = heapq.heappop(self._heap)
            call, timer.call = timer.call, None
            if call is None:
                self._cancelled -= 1
                continue
            try:
                call()
            except Exception as error:
                # Callbacks are isolated from each other: one that fails must not prevent the rest.
                self.on_call_error(error)


def _reraise(error: Exception) -> None:
    raise error
