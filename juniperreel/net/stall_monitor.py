"""Measures stalls of the event loop, and limits the time that new work takes of one pass.

A trio instrument that records when sockets were last polled. From that follow how late the loop is, and since
when the bytes just read can have been waiting. It only measures: dropping work is up to others.
"""

from __future__ import annotations

import time

import trio

from juniperreel.net.clock import Clock

NEW_WORK_BUDGET_US = 10_000  # of one pass; work that was already accepted has the rest
BLOCKED_US = 500  # a poll that may wait, and took longer than this, had nothing ready when it began
MAX_WAIT_S = 0.02  # no poll waits longer: what it finds counts from its beginning


class StallMonitor(trio.abc.Instrument):
    """Observes the loop of the trio run in which `install` was called; without that nothing is ever late.

    A pass of the loop runs from one poll of the sockets to the next.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with a pass that begins now."""
        self._clock = clock
        self.poll_count = 0
        self.last_poll_blocked = False  # it found nothing ready when it began
        self._polled_us = clock.now_us()
        self._poll_entered_us = self._polled_us
        self._previous_poll_entered_us = self._polled_us
        self._ticker: trio.CancelScope | None = None
        self._ready_since_us = self._polled_us
        self._new_work_ns = 0  # taken of this pass by new work
        self._longest_pass_us = 0  # since the last call of `take_longest_pass_us`, without new work

    def install(self) -> None:
        """Begin to observe the current trio run."""
        trio.lowlevel.add_instrument(self)
        self._ticker = trio.CancelScope()
        trio.lowlevel.spawn_system_task(self._tick, self._ticker)

    def uninstall(self) -> None:
        """End the observation."""
        trio.lowlevel.remove_instrument(self)
        if self._ticker is not None:
            self._ticker.cancel()

    @staticmethod
    async def _tick(scope: trio.CancelScope) -> None:
        """Have the loop poll its sockets often, whatever else it has to do."""
        with scope:
            while True:
                await trio.sleep(MAX_WAIT_S)

    def before_io_wait(self, _timeout: float) -> None:
        """Note the end of a pass; called by trio."""
        now_us = self._clock.now_us()
        self._previous_poll_entered_us = self._poll_entered_us
        self._poll_entered_us = now_us
        pass_us = now_us - self._polled_us - self._new_work_ns // 1000
        if pass_us > self._longest_pass_us:
            self._longest_pass_us = pass_us

    def after_io_wait(self, timeout: float) -> None:
        """Note the start of the next pass; called by trio.

        The process may have been held up anywhere in the poll, so its end says nothing of when what it found
        became ready.
        """
        now_us = self._clock.now_us()
        self.last_poll_blocked = timeout > 0 and now_us - self._poll_entered_us > BLOCKED_US
        self._ready_since_us = (
            self._poll_entered_us if self.last_poll_blocked else self._previous_poll_entered_us
        )
        self._polled_us = now_us
        self.poll_count += 1
        self._new_work_ns = 0

    @property
    def ready_since_us(self) -> int:
        """The earliest time at which a socket that the last poll found readable may have become so."""
        return self._ready_since_us

    def take_longest_pass_us(self) -> int:
        """Return the longest pass since the last call, without the time that new work took of it."""
        longest_us = self._longest_pass_us
        self._longest_pass_us = 0
        return longest_us

    async def wait_for_new_work_budget(self) -> None:
        """Return when new work may take time of a pass.

        The bytes of thousands of new requests, read in one pass, would keep the loop from the requests that
        it has accepted for seconds.
        """
        while self._new_work_ns > NEW_WORK_BUDGET_US * 1000:
            await trio.lowlevel.checkpoint()

    def begin_new_work(self) -> int:
        """Return the start time to hand to `end_new_work`."""
        return time.perf_counter_ns()

    def end_new_work(self, started_ns: int) -> None:
        """Charge the time since `started_ns` to the budget of this pass."""
        self._new_work_ns += time.perf_counter_ns() - started_ns
