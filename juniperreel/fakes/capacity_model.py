"""A member's machine: cores, a queue for them, speed, warm-up, and what pushes a cold one over."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from juniperreel.net import Clock


class Full(Exception):
    """The queue takes no more."""


class Machine:
    """Work is microseconds of one warm core at full speed."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        cores: int,
        queue: int,
        cold_from: float,
        cold_us: int,
        fall_multiple: float,
        overload_us: int,
        on_fall: Callable[[], None],
    ) -> None:
        self._clock, self._rng = clock, rng
        self.cores, self._queue = cores, queue
        self._cold_from, self._cold_us = cold_from, cold_us
        self._fall_multiple, self._overload_us = fall_multiple, overload_us
        self._on_fall = on_fall
        self.started_us = 0  # 0: was never cold
        self.speed = 1.0
        self.in_hand = 0
        self.waiting = 0
        self._busy = trio.Semaphore(cores)
        self._offered: deque[tuple[int, int]] = deque()
        self._offered_us = 0

    def ramp(self) -> float:
        age = self._clock.now_us() - self.started_us
        if age >= self._cold_us:
            return 1.0
        return self._cold_from + (1 - self._cold_from) * age / self._cold_us

    def capacity(self) -> float:
        """Microseconds of work a microsecond, now."""
        return self.cores * self.ramp()

    def offer(self, work_us: int) -> None:
        """Counts what is sent, whether it is taken or not. Sent more than the multiple of what it can do
        at that moment, for the whole overload span, a cold member falls over."""
        if self.ramp() >= 1.0:
            self._offered.clear()
            self._offered_us = 0
            return
        now = self._clock.now_us()
        self._offered.append((now, work_us))
        self._offered_us += work_us
        while self._offered and self._offered[0][0] <= now - self._overload_us:
            self._offered_us -= self._offered.popleft()[1]
        if self._offered_us > self._fall_multiple * self.capacity() * self._overload_us:
            self._on_fall()

    def draw(self, mean_us: int) -> int:
        """Work of one request: mostly about the mean, sometimes a multiple."""
        return int(mean_us * self._rng.lognormvariate(-0.08, 0.4))

    @asynccontextmanager
    async def core(self, work_us: int) -> AsyncIterator[None]:
        """Waits for a core; leaving the context early (cancelled) frees it at once."""
        if self.waiting >= self._queue:
            raise Full
        self.in_hand += 1
        self.waiting += 1
        waits = True
        try:
            async with self._busy:
                self.waiting -= 1
                waits = False
                yield
        finally:
            self.in_hand -= 1
            self.waiting -= waits

    async def work(self, work_us: int) -> None:
        await trio.sleep(work_us / 1_000_000 / max(self.speed * self.ramp(), 0.01))
