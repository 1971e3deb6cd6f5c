"""One clock: trio's monotonic time, read as whole microseconds of the Unix epoch.

The offset between the two is read once and never again while the program runs: re-read from wall time, a step
of the host's clock would move log positions that were already compared.
"""

from __future__ import annotations

import time

import trio

US = 1_000_000  # microseconds in a second


class Clock:
    """Microseconds since the Unix epoch that never jump.

    `offset_us` is the wall time at which trio's clock read zero.
    """

    def __init__(self, offset_us: int | None = None) -> None:
        """Without an offset, read it from the host; that needs a running trio.

        A virtual clock hands its own offset in.
        """
        if offset_us is None:
            offset_us = time.time_ns() // 1000 - int(trio.current_time() * US)
        self.offset_us = offset_us

    def now_us(self) -> int:
        """Return the current time."""
        return self.offset_us + int(trio.current_time() * US)

    def trio_time(self, at_us: int) -> float:
        """Return the deadline in trio's seconds for a time of this clock."""
        return (at_us - self.offset_us) / US

    def drift_us(self) -> int:
        """Return how far the host's wall time is ahead of this clock; negative where it is behind."""
        return time.time_ns() // 1000 - self.now_us()
