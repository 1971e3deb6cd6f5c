"""Measures the lag of the soak's own event loop, which makes its clients observe events late."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import trio

from juniperreel.net import Clock
from juniperreel.net.clock import US

LAG_INTERVAL_S = 0.02
LAG_MEMORY_US = 5_000_000
# One iteration sends a request; two more notice and read its answer or the close of its connection.
LOOP_ITERATIONS_PER_ANSWER = 3


class LagSample(NamedTuple):
    """The lag of the event loop at a time."""

    at_us: int
    late_us: int


class LoopLag:
    """Measures the lag of this process's event loop, by which clients observe events late."""

    def __init__(self, clock: Clock) -> None:
        """Samples are taken only while `run` is running."""
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
        """Return the maximum lag since then, including the current lag."""
        current_lag_us = self._clock.now_us() - self._due_us
        samples_us = (sample.late_us for sample in self._samples if sample.at_us >= since_us)
        return max(0, current_lag_us, *samples_us)  # the next sample may not be due yet

    def tolerance_us(self, since_us: int) -> int:
        """Return by how much the times of client observations since then may be late."""
        return LOOP_ITERATIONS_PER_ANSWER * self.max_since_us(since_us)
