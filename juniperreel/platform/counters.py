"""Counters of the driver, reported in its status log lines."""

from __future__ import annotations

from collections import Counter
from enum import Enum

OVERSLEEP_THRESHOLD_US = 20_000  # waits that exceed their timeout by more are counted as held up


class CloseReason(Enum):
    """Why a client connection was closed."""

    CLIENT_LEFT = "client left"
    IDLE = "idle"
    NO_COMMAND = "no command"
    INCOMPLETE_COMMAND = "half a command"
    PROTOCOL_ERROR = "protocol error"
    TERMINATED = "terminated"
    SHUTDOWN = "shutdown"
    DESCRIPTORS = "descriptors"
    ANSWERS_UNREAD = "answers unread"
    CLOSE_TIMEOUT = "close timed out"


class SendRefusal(Enum):
    """Why a query was not written although a connection was available."""

    NOT_CONFIRMED = "not confirmed"  # the router no longer considers the attempt valid
    CLIENT_LEFT = "client left"
    ANSWERED = "answered"


class AnswerKind(Enum):
    """Kind of a final answer."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class Counters:
    """Counts by reason since the start of the process."""

    def __init__(self) -> None:
        """Start all counts at zero."""
        self.answers: Counter[AnswerKind] = Counter()
        self.attempts: Counter[str] = Counter()  # by outcome
        self.refused_sends: Counter[SendRefusal] = Counter()
        self.closed_clients: Counter[CloseReason] = Counter()
        self.lists: Counter[str] = Counter()  # by update kind
        self.stalls = 0  # of the event loop
        self.longest_stall_ms = 0
        self.longest_iteration_ms = 0  # of the event loop, without its wait
        self.held_up_waits = 0  # waits of the event loop that ended long after their timeout
        self.longest_oversleep_ms = 0
        self.left_at_deadline = 0  # requests whose client left close to their deadline
        self.rejected_at_shutdown = 0  # requests rejected because they arrived too late in a shutdown
        self.withdrawn_unsent = 0  # partially sent queries aborted because nobody waited for the reply

    def on_stall(self, late_ms: int) -> None:
        """Count a stall of the event loop."""
        self.stalls += 1
        self.longest_stall_ms = max(self.longest_stall_ms, late_ms)

    def on_iteration(self, duration_us: int) -> None:
        """Record how long an iteration of the event loop took, without its wait."""
        self.longest_iteration_ms = max(self.longest_iteration_ms, duration_us // 1000)

    def on_wait(self, overslept_us: int) -> None:
        """Count a wait for events that exceeded its timeout by `overslept_us`, if that is significant."""
        if overslept_us > OVERSLEEP_THRESHOLD_US:
            self.held_up_waits += 1
            self.longest_oversleep_ms = max(self.longest_oversleep_ms, overslept_us // 1000)

    def fields(self) -> dict[str, dict[str, int]]:
        """Return the counts as fields of a log line."""
        return {
            # First, so that truncated lines still contain them.
            "held_up_waits": {"count": self.held_up_waits, "longest_ms": self.longest_oversleep_ms},
            "left_at_deadline": {"count": self.left_at_deadline},
            "answers": {kind.value: count for kind, count in self.answers.items()},
            "attempts": dict(self.attempts),
            "refused_sends": {reason.value: count for reason, count in self.refused_sends.items()},
            "closed_clients": {reason.value: count for reason, count in self.closed_clients.items()},
            "lists": dict(self.lists),
            "stalls": {"count": self.stalls, "longest_ms": self.longest_stall_ms},
            "iterations": {"longest_ms": self.longest_iteration_ms},
            "endings": {"rejected": self.rejected_at_shutdown, "withdrawn_unsent": self.withdrawn_unsent},
        }
