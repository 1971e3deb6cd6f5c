"""The router's one timer, and a throttle for its log lines."""

from __future__ import annotations

from juniperreel.routing.types import SetTimer

DISTANT_PAST_US = -(1 << 60)


class LogThrottle:
    """Passes each message once within `interval_us`."""

    def __init__(self, interval_us: int) -> None:
        """Start without messages."""
        self._interval_us = interval_us
        self._passed: dict[str, int] = {}

    def passes(self, message: str, now_us: int) -> bool:
        """Whether the message is to be written now."""
        if now_us - self._passed.get(message, DISTANT_PAST_US) < self._interval_us:
            return False
        recent = {text: at for text, at in self._passed.items() if now_us - at < self._interval_us}
        self._passed = recent | {message: now_us}
        return True


class TickTimer:
    """The router's one timer: a new key outdates the one that was set before."""

    def __init__(self) -> None:
        """Start without a timer set."""
        self._key = 0
        self._due_us = -1  # not set

    def late_us(self, now_us: int) -> int:
        """By how much the timer is overdue; 0 where none is set."""
        return now_us - self._due_us if self._due_us >= 0 else 0

    def is_current(self, key: int) -> bool:
        """Whether a timer of this key is the one that was set last."""
        return key == self._key

    def clear(self) -> None:
        """None is set any more."""
        self._due_us = -1

    def set_within(self, now_us: int, delay_us: int) -> SetTimer | None:
        """Set the timer, unless one is due before."""
        if 0 <= self._due_us <= now_us + delay_us:
            return None
        self._key += 1
        self._due_us = now_us + delay_us
        return SetTimer(delay_us, self._key)
