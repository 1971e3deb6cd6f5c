"""The router's single timer, and rate limiting of its log messages."""

from __future__ import annotations

from juniperreel.routing.types import SetTimer

DISTANT_PAST_US = -(1 << 60)


class LogThrottle:
    """Passes each distinct message at most once per `interval_us`."""

    def __init__(self, interval_us: int) -> None:
        self._interval_us = interval_us
        self._passed: dict[str, int] = {}

    def passes(self, message: str, now_us: int) -> bool:
        """Whether the message should be logged now; if so, its interval starts."""
        if now_us - self._passed.get(message, DISTANT_PAST_US) < self._interval_us:
            return False
        recent = {text: at for text, at in self._passed.items() if now_us - at < self._interval_us}
        self._passed = recent | {message: now_us}
        return True


class TickTimer:
    """The router's single timer: setting it again invalidates the previous key."""

    def __init__(self) -> None:
        self._key = 0
        self._due_us = -1  # not set

    def late_us(self, now_us: int) -> int:
        """Return how late the timer is; 0 if none is set."""
        return now_us - self._due_us if self._due_us >= 0 else 0

    def is_current(self, key: int) -> bool:
        """Whether this is the key of the timer that was set last."""
        return key == self._key

    def clear(self) -> None:
        """Mark the timer as not set."""
        self._due_us = -1

    def set_within(self, now_us: int, delay_us: int) -> SetTimer | None:
        """Set the timer and return the action, unless one is already due earlier."""
        if 0 <= self._due_us <= now_us + delay_us:
            return None
        self._key += 1
        self._due_us = now_us + delay_us
        return SetTimer(delay_us, self._key)
