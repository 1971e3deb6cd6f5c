"""How long an idle connection may have stood and still be used. A guard of connections, free of I/O.

A machine between us and a member, or the member itself, forgets idle connections earlier than it says, and
without a word: the next request written there ends as a reset, which may have run. So uses are counted by
how long the connection had been idle; where too many end that way, such connections are given up and new
ones opened.
"""

from __future__ import annotations

BUCKETS = 24  # by powers of two, in milliseconds
LOST_PART = 0.1  # of uses; a new connection costs round trips and a member's work, a lost request more
LOST_LEAST = 4.0  # fewer are chance
HALF_US = 8_000_000  # counts are halved so often: what holds now need not hold then


class IdleTimeout:
    def __init__(self) -> None:
        self._good = [0.0] * BUCKETS
        self._lost = [0.0] * BUCKETS
        self._halved_us = 0
        self.limit_ms = 1 << BUCKETS  # connections idle for longer are not used

    def allows(self, idle_us: int) -> bool:
        return idle_us < self.limit_ms * 1000

    def used(self, now_us: int, idle_us: int, answered: bool) -> None:
        """A request was written on a connection that had been idle for so long."""
        if now_us - self._halved_us > HALF_US:
            self._halved_us = now_us
            self._good = [n / 2 for n in self._good]
            self._lost = [n / 2 for n in self._lost]
        bucket = min((idle_us // 1000).bit_length(), BUCKETS - 1)
        (self._good if answered else self._lost)[bucket] += 1
        self.limit_ms = 1 << BUCKETS
        for i, (good, lost) in enumerate(zip(self._good, self._lost, strict=True)):
            # The shortest times are always tried: else nothing would be kept, nor learned.
            if i > 1 and lost >= LOST_LEAST and lost > LOST_PART * (good + lost):
                self.limit_ms = 1 << (i - 1)
                break
