"""The timetable of a graceful shutdown. Free of I/O.

The operators kill the process no sooner than the longest deadline (3 s at most) and 0.7 s after SIGTERM.
Until shortly before that the driver serves whoever connects: one that closes early leaves its clients without
a driver where the next one has not started yet.
"""

from __future__ import annotations

KILL_AFTER_US = 700_000  # beyond the longest deadline
LONGEST_DEADLINE_US = 3_000_000  # a longer deadline counts as this
CLOSE_BEFORE_KILL_US = 500_000  # connections without a request are closed from then on
ANSWER_BEFORE_KILL_US = 200_000  # every request has its answer by then
EXIT_BEFORE_KILL_US = ANSWER_BEFORE_KILL_US // 2  # nothing is waited for any more


class GracefulShutdown:
    """Says what is due when, once `begin` was called. Times are microseconds of the driver's clock."""

    def __init__(self, longest_deadline_us: int) -> None:
        """`longest_deadline_us` is the longest deadline that any class of requests has."""
        self._kill_after_us = min(longest_deadline_us, LONGEST_DEADLINE_US) + KILL_AFTER_US
        self._started_us: int | None = None

    @property
    def started(self) -> bool:
        """Whether the shutdown has begun."""
        return self._started_us is not None

    def begin(self, now_us: int) -> None:
        """Begin at the first SIGTERM; further calls change nothing."""
        if self._started_us is None:
            self._started_us = now_us

    def wake_times_us(self) -> tuple[int, int]:
        """Return when connections begin to be closed, and when nothing can be waited for any more."""
        kill_us = (self._started_us or 0) + self._kill_after_us
        return kill_us - CLOSE_BEFORE_KILL_US, kill_us - EXIT_BEFORE_KILL_US

    def latest_answer_us(self, deadline_us: int) -> int:
        """Return by when a request with this deadline must have its answer."""
        if self._started_us is None:
            return deadline_us
        return min(deadline_us, self._started_us + self._kill_after_us - ANSWER_BEFORE_KILL_US)

    def closes_connections(self, now_us: int) -> bool:
        """Return whether connections are closed as soon as no request is open on them."""
        if self._started_us is None:
            return False
        return now_us >= self._started_us + self._kill_after_us - CLOSE_BEFORE_KILL_US

    def is_over(self, now_us: int) -> bool:
        """Return whether nothing can be waited for any more."""
        if self._started_us is None:
            return False
        return now_us >= self._started_us + self._kill_after_us - EXIT_BEFORE_KILL_US
