"""How the program's one loop is doing, and how much of a pass newcomers may take.

A trio instrument that knows when sockets were last polled. From that follow how late the loop is, and since
when the bytes just read can have been waiting. Must never drop anything: it only says when.
"""

from __future__ import annotations

import time

import trio

from juniperreel.net.clock import Clock

BUDGET_US = 10_000  # of one pass may go to what came new; what is in hand has the rest
BLOCKED_US = 500  # a poll that took longer than this had nothing ready when it began


class Pace(trio.abc.Instrument):
    """Enter `watch` once in the run whose loop it is; without that nothing is ever late."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.polls = 0
        self.blocked = False  # the last poll found nothing ready when it began
        self._entered_us = self._polled_us = clock.now_us()
        self._since_us = self._polled_us
        self._spent_ns = 0  # of this pass, on newcomers
        self._late_us = 0  # the longest pass of late, newcomers left out

    def watch(self) -> None:
        trio.lowlevel.add_instrument(self)

    def unwatch(self) -> None:
        trio.lowlevel.remove_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        self._entered_us = now = self._clock.now_us()
        took = now - self._polled_us - self._spent_ns // 1000
        if took > self._late_us:
            self._late_us = took

    def after_io_wait(self, timeout: float) -> None:
        before, now = self._polled_us, self._clock.now_us()
        self.blocked = now - self._entered_us > BLOCKED_US
        self._since_us = now if self.blocked else before
        self._polled_us = now
        self.polls += 1
        self._spent_ns = 0

    @property
    def since_us(self) -> int:
        """Since when a socket that the last poll found readable may have been so."""
        return self._since_us

    def late_us(self) -> int:
        """The longest pass since the last call, without what newcomers took of it."""
        late, self._late_us = self._late_us, 0
        return late

    async def turn(self) -> None:
        """Until newcomers may take time of a pass. Danger: bytes of thousands of new requests read at once
        keep the loop from those in hand for seconds."""
        while self._spent_ns > BUDGET_US * 1000:
            await trio.lowlevel.checkpoint()

    def begin(self) -> int:
        return time.perf_counter_ns()

    def end(self, began: int) -> None:
        self._spent_ns += time.perf_counter_ns() - began
