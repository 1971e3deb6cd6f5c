"""Learns for how long an idle endpoint connection can still be reused. Performs no I/O.

A middlebox or the endpoint itself may drop idle connections silently, and earlier than documented. The next
request written on such a connection is reset, and may have been executed. Reuses are therefore counted by
idle time, and idle times at which too many are lost are no longer used.
"""

from __future__ import annotations

BUCKETS = 24  # of idle time, in powers of two of a millisecond
MAX_LOST_FRACTION = 0.1  # of uses; a loss costs more than the round trips and work of a new connection
MIN_LOST = 4.0  # fewer losses may be coincidental
HALF_LIFE_US = 8_000_000  # counts are halved at this interval, as the cause may be temporary
ALWAYS_ALLOWED_BUCKETS = 2  # the shortest idle times; without them nothing would be reused or learned


class IdleTimeout:
    """Learns the idle time beyond which connections are often broken."""

    def __init__(self) -> None:
        """Start with no limit."""
        self._answered = [0.0] * BUCKETS
        self._lost = [0.0] * BUCKETS
        self._halved_us = 0
        self.limit_ms = 1 << BUCKETS  # connections idle for longer are not reused

    def allows(self, idle_us: int) -> bool:
        """Return whether a connection that was idle for `idle_us` may be reused."""
        return idle_us < self.limit_ms * 1000

    def record_use(self, now_us: int, idle_us: int, answered: bool) -> None:
        """Count a request on a connection that was idle for `idle_us`, and whether it was answered."""
        if now_us - self._halved_us > HALF_LIFE_US:
            self._halved_us = now_us
            self._answered = [uses / 2 for uses in self._answered]
            self._lost = [uses / 2 for uses in self._lost]
        bucket = min((idle_us // 1000).bit_length(), BUCKETS - 1)
        (self._answered if answered else self._lost)[bucket] += 1
        self.limit_ms = self._find_limit_ms()

    def _find_limit_ms(self) -> int:
        for i, (answered, lost) in enumerate(zip(self._answered, self._lost, strict=True)):
            too_many_lost = lost >= MIN_LOST and lost > MAX_LOST_FRACTION * (answered + lost)
            if i >= ALWAYS_ALLOWED_BUCKETS and too_many_lost:
                return 1 << (i - 1)
        return 1 << BUCKETS
