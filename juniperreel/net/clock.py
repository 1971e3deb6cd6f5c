"""One clock: trio's monotonic time, read as whole microseconds of the Unix epoch.

Owns the offset between the two, read once. Must never be re-read from wall time while the
program runs: a step of wall time would move log positions that were already compared.
"""

from __future__ import annotations

import time

import trio

US = 1_000_000


class Clock:
    """Microseconds since the Unix epoch that never jump.

    `offset_us` is the wall time at which trio's clock read zero; None reads it from the host. Create it
    inside a trio run, or hand in an offset (a virtual clock does).
    """

    def __init__(self, offset_us: int | None = None) -> None:
        if offset_us is None:
            offset_us = time.time_ns() // 1000 - int(trio.current_time() * US)
        self.offset_us = offset_us

    def now_us(self) -> int:
        return self.offset_us + int(trio.current_time() * US)

    def trio_time(self, at_us: int) -> float:
        """The deadline in trio's seconds for a time of this clock."""
        return (at_us - self.offset_us) / US

    def drift_us(self) -> int:
        """How far the host's wall time has left this clock: positive if wall time is ahead."""
        return time.time_ns() // 1000 - self.now_us()
