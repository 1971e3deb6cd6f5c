"""Schedule of a graceful shutdown. Performs no I/O.

The platform kills the process no sooner than the longest deadline (capped at 3 s) plus 0.7 s after SIGTERM.
The driver accepts clients until shortly before that, because its replacement may not have started yet.

Each step may run late: the process may be suspended for up to 0.15 s at a time, both when the signal arrives,
which it cannot detect, and when answers are due. All answers are therefore due well before the kill.
"""

from __future__ import annotations

KILL_AFTER_US = 700_000  # after the longest deadline
LONGEST_DEADLINE_US = 3_000_000  # upper bound; longer deadlines are treated as this
# New connections keep arriving for 0.4 s after SIGTERM, and established ones remain in use.
NEW_CONNECTIONS_US = 450_000
CLOSE_BEFORE_KILL_US = 800_000  # when the driver starts to close connections without a request
ANSWER_BEFORE_KILL_US = 500_000  # when every request must be answered; later ones are rejected
# Grace after the answers are due; the router has lost track of requests still unanswered by then.
LAST_ANSWERS_AFTER_US = 50_000
EXIT_BEFORE_KILL_US = 200_000  # when the process exits unconditionally


class GracefulShutdown:
    """Computes when each shutdown step is due. Times are in microseconds of the driver's clock."""

    def __init__(self, longest_deadline_us: int) -> None:
        """`longest_deadline_us` is the longest deadline of any request class."""
        self._kill_after_us = min(longest_deadline_us, LONGEST_DEADLINE_US) + KILL_AFTER_US
        self._started_us: int | None = None

    @property
    def started(self) -> bool:
        """Whether the shutdown has begun."""
        return self._started_us is not None

    def begin(self, now_us: int) -> None:
        """Start the shutdown. Only the first call has an effect."""
        if self._started_us is None:
            self._started_us = now_us

    def closing_starts_us(self) -> int:
        """Return when the driver starts to close connections.

        If the kill is close, this is when new connections stop arriving or when answers are due, whichever
        is earlier.
        """
        started_us = self._started_us or 0
        earliest_us = min(started_us + NEW_CONNECTIONS_US, self.answers_due_us())
        return max(self._kill_us() - CLOSE_BEFORE_KILL_US, earliest_us)

    def answers_due_us(self) -> int:
        """Return the time by which every request must be answered."""
        return self._kill_us() - ANSWER_BEFORE_KILL_US

    def last_answers_us(self) -> int:
        """Return when the driver itself answers requests that the router has not answered."""
        return self.answers_due_us() + LAST_ANSWERS_AFTER_US

    def exit_us(self) -> int:
        """Return when the process must exit."""
        return self._kill_us() - EXIT_BEFORE_KILL_US

    def _kill_us(self) -> int:
        return (self._started_us or 0) + self._kill_after_us

    def latest_answer_us(self, deadline_us: int) -> int:
        """Return the deadline, shortened to the time by which the shutdown requires an answer."""
        if self._started_us is None:
            return deadline_us
        return min(deadline_us, self.answers_due_us())

    def closes_connections(self, now_us: int) -> bool:
        """Return whether connections are to be closed as soon as they are idle."""
        return self.started and now_us >= self.closing_starts_us()

    def closes_listener(self, now_us: int) -> bool:
        """Return whether new connections are no longer expected."""
        if self._started_us is None:
            return False
        return now_us >= max(self.closing_starts_us(), self._started_us + NEW_CONNECTIONS_US)

    def rejects_requests(self, now_us: int) -> bool:
        """Return whether a request that arrives now is to be rejected for lack of time."""
        return self.started and now_us >= self.answers_due_us()

    def is_over(self, now_us: int) -> bool:
        """Return whether the process must exit now."""
        return self.started and now_us >= self.exit_us()
