"""How late the soak's own event loop is, which dates what its clients see too late."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import trio

from juniperreel.net import Clock
from juniperreel.net.clock import US

LAG_INTERVAL_S = 0.02
LAG_MEMORY_US = 5_000_000
# A request is sent in one turn of the loop, its answer or its connection's end noticed and read in two.
LOOP_ITERATIONS_PER_ANSWER = 3


class LagSample(NamedTuple):
    """How late the event loop was at a time."""

    at_us: int
    late_us: int


class LoopLag:
    """Measures how late this process's own event loop is, which dates what clients see too late."""

    def __init__(self, clock: Clock) -> None:
        """Measure nothing yet; `run` must be running."""
        self._clock = clock
        self.max_us = 0  # of all samples
        self._samples: deque[LagSample] = deque()
        self._due_us = clock.now_us()  # when the next sample is due

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._due_us = self._clock.now_us() + int(LAG_INTERVAL_S * US)
            await trio.sleep(LAG_INTERVAL_S)
            now_us = self._clock.now_us()
            self.max_us = max(self.max_us, now_us - self._due_us)
            self._samples.append(LagSample(now_us, now_us - self._due_us))
            while self._samples[0].at_us < now_us - LAG_MEMORY_US:
                self._samples.popleft()

    def max_since_us(self, since_us: int) -> int:
        """Return the longest time by which it was late since then, or is late now."""
        current_lag_us = self._clock.now_us() - self._due_us
        samples_us = (sample.late_us for sample in self._samples if sample.at_us >= since_us)
        return max(0, current_lag_us, *samples_us)  # the next sample may not be due yet

    def tolerance_us(self, since_us: int) -> int:
        """Return by how much what a client saw since then may be dated too late."""
        return LOOP_ITERATIONS_PER_ANSWER * self.max_since_us(since_us)
