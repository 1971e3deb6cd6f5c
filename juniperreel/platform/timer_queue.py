"""What is due when: a heap of calls. Free of I/O; whoever owns it calls `ring` with the time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class TimerQueue:
    """An alarm is never taken back: its call finds out whether it is still wanted."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()

    def call_at(self, due_us: int, call: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (due_us, next(self._order), call))

    def next_due_us(self) -> int | None:
        return self._heap[0][0] if self._heap else None

    def run_due(self, now_us: int) -> None:
        while self._heap and self._heap[0][0] <= now_us:
            heapq.heappop(self._heap)[2]()
