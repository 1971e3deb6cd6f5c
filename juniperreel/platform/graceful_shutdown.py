"""When a driver that was told to end does what. Free of I/O.

The operators kill it no sooner than the longest deadline (3 s at most) and 0.7 s after SIGTERM. Until
shortly before that it serves whoever still comes: one that leaves early leaves its clients with nobody,
where the next one is not back yet.
"""

from __future__ import annotations

KILL_AFTER_US = 700_000  # beyond the longest deadline
LONGEST_US = 3_000_000  # a deadline counts as no longer than this
CLOSE_US = 500_000  # connections without a request end this long before the kill
ANSWER_US = 200_000  # and every request has its answer so long before it


class GracefulShutdown:
    def __init__(self, longest_us: int) -> None:
        self._span_us = min(longest_us, LONGEST_US) + KILL_AFTER_US
        self._told_us: int | None = None

    @property
    def told(self) -> bool:
        return self._told_us is not None

    def begin(self, now_us: int) -> None:
        """SIGTERM has come."""
        if self._told_us is None:
            self._told_us = now_us

    def steps(self) -> tuple[int, ...]:
        """When something changes: connections begin to end, and nothing can be waited for any more."""
        kill_us = (self._told_us or 0) + self._span_us
        return kill_us - CLOSE_US, kill_us - ANSWER_US // 2

    def latest_us(self, deadline_us: int) -> int:
        """By when a request with this deadline must have its answer."""
        if self._told_us is None:
            return deadline_us
        return min(deadline_us, self._told_us + self._span_us - ANSWER_US)

    def closing(self, now_us: int) -> bool:
        """Whether connections end as soon as no request is open on them."""
        return self._told_us is not None and now_us >= self._told_us + self._span_us - CLOSE_US

    def over(self, now_us: int) -> bool:
        """Whether nothing can be waited for any more."""
        return self._told_us is not None and now_us >= self._told_us + self._span_us - ANSWER_US // 2
