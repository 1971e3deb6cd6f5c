"""The timetable of a graceful shutdown. Free of I/O.

The operators kill the process no sooner than the longest deadline (3 s at most) and 0.7 s after SIGTERM.
Until shortly before that the driver serves whoever connects: one that closes early leaves its clients without
a driver where the next one has not started yet.

Every step may be late. The process may be held up for 0.15 s at a time: when the signal arrives, which cannot
be noticed, and again when answers are due. So all answers are due well before the kill.
"""

from __future__ import annotations

KILL_AFTER_US = 700_000  # beyond the longest deadline
LONGEST_DEADLINE_US = 3_000_000  # a longer deadline counts as this
# New connections keep arriving for 0.4 s after SIGTERM, and the connections that are there are used.
NEW_CONNECTIONS_US = 450_000
CLOSE_BEFORE_KILL_US = 800_000  # connections without a request are closed from then on
ANSWER_BEFORE_KILL_US = 500_000  # every request has its answer by then; whatever comes later is rejected
# After the answers are due: what the router has not answered by then it has forgotten.
LAST_ANSWERS_AFTER_US = 50_000
EXIT_BEFORE_KILL_US = 200_000  # nothing is waited for any more


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

    def closing_starts_us(self) -> int:
        """Return when connections begin to be closed.

        Where the kill comes soon, that is when no new connections arrive any more, or when answers are due.
        """
        started_us = self._started_us or 0
        earliest_us = min(started_us + NEW_CONNECTIONS_US, self.answers_due_us())
        return max(self._kill_us() - CLOSE_BEFORE_KILL_US, earliest_us)

    def answers_due_us(self) -> int:
        """Return by when every request must have its answer."""
        return self._kill_us() - ANSWER_BEFORE_KILL_US

    def last_answers_us(self) -> int:
        """Return when the driver itself answers what the router has not."""
        return self.answers_due_us() + LAST_ANSWERS_AFTER_US

    def exit_us(self) -> int:
        """Return when nothing can be waited for any more."""
        return self._kill_us() - EXIT_BEFORE_KILL_US

    def _kill_us(self) -> int:
        return (self._started_us or 0) + self._kill_after_us

    def latest_answer_us(self, deadline_us: int) -> int:
        """Return by when a request with this deadline must have its answer."""
        if self._started_us is None:
            return deadline_us
        return min(deadline_us, self.answers_due_us())

    def closes_connections(self, now_us: int) -> bool:
        """Return whether connections are closed as soon as no request is open on them."""
        return self.started and now_us >= self.closing_starts_us()

    def closes_listener(self, now_us: int) -> bool:
        """Return whether no new connections are expected any more."""
        if self._started_us is None:
            return False
        return now_us >= max(self.closing_starts_us(), self._started_us + NEW_CONNECTIONS_US)

    def rejects_requests(self, now_us: int) -> bool:
        """Return whether there is no time left to serve a request that arrives now."""
        return self.started and now_us >= self.answers_due_us()

    def is_over(self, now_us: int) -> bool:
        """Return whether nothing can be waited for any more."""
        return self.started and now_us >= self.exit_us()
