"""How long a connection to an endpoint may have been idle and still be used. Free of I/O.

A machine on the way to an endpoint, or the endpoint itself, may forget idle connections earlier than it says,
and without notice: the next request written there ends as a reset, and may have run. So the uses of
connections are counted by how long they had been idle; where too many end that way, such connections are
closed and new ones opened.
"""

from __future__ import annotations

BUCKETS = 24  # of idle time, by powers of two in milliseconds
MAX_LOST_FRACTION = 0.1  # of uses; a new connection costs round trips and an endpoint's work, a loss more
MIN_LOST = 4.0  # fewer are chance
HALF_LIFE_US = 8_000_000  # counts are halved this often, as the cause need not last
ALWAYS_ALLOWED_BUCKETS = 2  # without the shortest times no connection would be reused, nor learned of


class IdleTimeout:
    """Learns the idle time beyond which connections are often found broken."""

    def __init__(self) -> None:
        """Start with no limit."""
        self._answered = [0.0] * BUCKETS
        self._lost = [0.0] * BUCKETS
        self._halved_us = 0
        self.limit_ms = 1 << BUCKETS  # connections idle for longer are not used

    def allows(self, idle_us: int) -> bool:
        """Return whether a connection that was idle for so long may be used."""
        return idle_us < self.limit_ms * 1000

    def record_use(self, now_us: int, idle_us: int, answered: bool) -> None:
        """Count a request written on a connection idle for `idle_us`, and whether it was answered."""
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
