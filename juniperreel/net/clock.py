"""The process clock: trio's monotonic time expressed as microseconds since the Unix epoch.

The offset between the two is read once, at start. If it were read again, a step of the wall clock would shift
timestamps relative to log positions that have already been compared.
"""

from __future__ import annotations

import time

import trio

US = 1_000_000  # microseconds per second


class Clock:
    """A clock in microseconds since the Unix epoch that is not affected by wall clock steps.

    `offset_us` is the wall clock time at which trio's clock was zero.
    """

    def __init__(self, offset_us: int | None = None) -> None:
        """Read the offset from the host unless it is given, as virtual clocks do.

        Reading it requires a running trio loop.
        """
        if offset_us is None:
            offset_us = time.time_ns() // 1000 - int(trio.current_time() * US)
        self.offset_us = offset_us

    def now_us(self) -> int:
        """Return the current time in microseconds since the Unix epoch."""
        return self.offset_us + int(trio.current_time() * US)

    def trio_time(self, at_us: int) -> float:
        """Convert a time of this clock to a trio deadline in seconds."""
        return (at_us - self.offset_us) / US

    def drift_us(self) -> int:
        """Return the wall clock time minus this clock's time."""
        return time.time_ns() // 1000 - self.now_us()
