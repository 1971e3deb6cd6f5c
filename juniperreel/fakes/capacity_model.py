"""Capacity model of a fake endpoint: cores with a queue, speed, slow start, and failure by overload."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.errors import QueueFullError
from juniperreel.net import Clock
from juniperreel.net.clock import US

MIN_SPEED = 0.01
# Log-normal factor of a request's work: its mean is about 1, and some requests cost several times that.
WORK_FACTOR_MU = -0.08
WORK_FACTOR_SIGMA = 0.4


class OfferedWork(NamedTuple):
    """Work that was offered to the endpoint, and when."""

    at_us: int
    work_us: int


class CapacityModel:
    """Executes work on a limited number of cores. Work is in microseconds of one core after slow start."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: EndpointSettings,
        on_overload: Callable[[], None],
    ) -> None:
        """`on_overload` is called when a warming endpoint exceeds its overload threshold."""
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._on_overload = on_overload
        self.started_us = 0  # 0: slow start does not apply
        self.speed = 1.0
        self.in_flight = 0
        self.queued = 0
        self._cores = trio.Semaphore(settings.cores)
        self._offered: deque[OfferedWork] = deque()
        self._offered_us = 0

    def ramp(self) -> float:
        """The fraction of the full capacity that slow start has reached."""
        age_us = self._clock.now_us() - self.started_us
        settings = self._settings
        if age_us >= settings.slow_start_us:
            return 1.0
        return settings.initial_capacity + (1 - settings.initial_capacity) * age_us / settings.slow_start_us

    def capacity(self) -> float:
        """The current capacity, in microseconds of work per microsecond."""
        return self._settings.cores * self.ramp()

    def offer(self, work_us: int) -> None:
        """Count offered work, whether it is accepted or not.

        A warming endpoint fails if it is offered more than the overload multiple of its current capacity
        within the overload window.
        """
        if self.ramp() >= 1.0:
            self._offered.clear()
            self._offered_us = 0
            return
        now = self._clock.now_us()
        window_us = self._settings.overload_window_us
        self._offered.append(OfferedWork(now, work_us))
        self._offered_us += work_us
        while self._offered and self._offered[0].at_us <= now - window_us:
            self._offered_us -= self._offered.popleft().work_us
        if self._offered_us > self._settings.overload_multiple * self.capacity() * window_us:
            self._on_overload()

    def draw_work_us(self, mean_us: int) -> int:
        """Draw the work of one request from a log-normal distribution around the mean."""
        return int(mean_us * self._rng.lognormvariate(WORK_FACTOR_MU, WORK_FACTOR_SIGMA))

    @asynccontextmanager
    async def core(self) -> AsyncIterator[None]:
        """Wait for a core and hold it; cancellation releases it at once. Raises QueueFullError."""
        if self.queued >= self._settings.queue_limit:
            raise QueueFullError
        self.in_flight += 1
        self.queued += 1
        waiting = True
        try:
            async with self._cores:
                self.queued -= 1
                waiting = False
                yield
        finally:
            self.in_flight -= 1
            self.queued -= waiting

    async def execute(self, work_us: int) -> None:
        """Sleep for as long as the work takes on one core at the current speed."""
        await trio.sleep(work_us / US / max(self.speed * self.ramp(), MIN_SPEED))
