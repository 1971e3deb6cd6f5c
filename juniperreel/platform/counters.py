"""What the driver did and why, counted for its status lines."""

from __future__ import annotations

from collections import Counter
from enum import Enum

HELD_UP_US = 20_000  # a wait that outlasts its time by so much was held up


class CloseReason(Enum):
    """Why a client's connection was closed."""

    CLIENT_LEFT = "client left"
    IDLE = "idle"
    NO_COMMAND = "no command"
    HALF_COMMAND = "half a command"
    PROTOCOL_ERROR = "protocol error"
    TERMINATED = "terminated"
    SHUTDOWN = "shutdown"
    DESCRIPTORS = "descriptors"
    ANSWERS_UNREAD = "answers unread"
    CLOSE_TIMEOUT = "close timed out"


class SendRefusal(Enum):
    """Why a query was not written although a connection was there for it."""

    NOT_CONFIRMED = "not confirmed"  # the router found that it does not fit any more
    CLIENT_LEFT = "client left"
    ANSWERED = "answered"


class AnswerKind(Enum):
    """The kinds of final answers."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class Counters:
    """Counts by reason, since the start."""

    def __init__(self) -> None:
        """Start at zero."""
        self.answers: Counter[AnswerKind] = Counter()
        self.attempts: Counter[str] = Counter()  # by outcome
        self.refused_sends: Counter[SendRefusal] = Counter()
        self.closed_clients: Counter[CloseReason] = Counter()
        self.lists: Counter[str] = Counter()  # by kind of update
        self.stalls = 0  # of the event loop
        self.longest_stall_ms = 0
        self.held_up_waits = 0  # that ended long after their time
        self.longest_oversleep_ms = 0
        self.left_at_deadline = 0  # requests whose client left about the time of their deadline
        self.rejected_at_the_end = 0  # of the rejected, those for which a shutdown left no time
        self.withdrawn_unsent = 0  # queries that had left in part when nobody waited for them any more

    def on_stall(self, late_ms: int) -> None:
        """Count a stall of the event loop."""
        self.stalls += 1
        self.longest_stall_ms = max(self.longest_stall_ms, late_ms)

    def on_wait(self, overslept_us: int) -> None:
        """Count a wait for events that outlasted the time that it was given by so much."""
        if overslept_us > HELD_UP_US:
            self.held_up_waits += 1
            self.longest_oversleep_ms = max(self.longest_oversleep_ms, overslept_us // 1000)

    def fields(self) -> dict[str, dict[str, int]]:
        """All counts that are not zero, by names that a log line can hold."""
        return {
            # First, as what keeps the beginning of a line only has to show these.
            "held_up_waits": {"count": self.held_up_waits, "longest_ms": self.longest_oversleep_ms},
            "left_at_deadline": {"count": self.left_at_deadline},
            "answers": {kind.value: count for kind, count in self.answers.items()},
            "attempts": dict(self.attempts),
            "refused_sends": {reason.value: count for reason, count in self.refused_sends.items()},
            "closed_clients": {reason.value: count for reason, count in self.closed_clients.items()},
            "lists": dict(self.lists),
            "stalls": {"count": self.stalls, "longest_ms": self.longest_stall_ms},
            "endings": {"rejected": self.rejected_at_the_end, "withdrawn_unsent": self.withdrawn_unsent},
        }
