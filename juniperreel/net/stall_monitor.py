"""Measures event loop stalls, and limits the share of a loop iteration that new work may take.

A trio instrument that records when sockets were polled. This gives the lateness of the loop and the earliest
arrival time of bytes just read. It only measures; shedding load is left to its users.
"""

from __future__ import annotations

import time

import trio

from juniperreel.net.clock import Clock

NEW_WORK_BUDGET_US = 10_000  # per loop iteration; the rest is left to work already accepted
BLOCKING_POLL_US = 500  # a poll with a timeout that took longer than this found nothing ready at its start
TICK_INTERVAL_S = 0.02  # bounds the length of a poll, since events are dated to the start of the poll


class StallMonitor(trio.abc.Instrument):
    """Observes the loop of the trio run in which `install` is called; until then no lateness is reported.

    An iteration of the loop lasts from one poll of the sockets to the next.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a monitor whose first iteration starts now."""
        self._clock = clock
        self.poll_count = 0
        self.last_poll_blocked = False  # nothing was ready at its start
        self._polled_us = clock.now_us()
        self._poll_entered_us = self._polled_us
        self._previous_poll_entered_us = self._polled_us
        self._ticker: trio.CancelScope | None = None
        self._ready_since_us = self._polled_us
        self._new_work_ns = 0  # time spent on new work in this iteration
        self._longest_iteration_us = 0  # since the last `take_longest_iteration_us`, excluding new work

    def install(self) -> None:
        """Start observing the current trio run."""
        trio.lowlevel.add_instrument(self)
        self._ticker = trio.CancelScope()
        trio.lowlevel.spawn_system_task(self._tick, self._ticker)

    def uninstall(self) -> None:
        """Stop observing."""
        trio.lowlevel.remove_instrument(self)
        if self._ticker is not None:
            self._ticker.cancel()

    @staticmethod
    async def _tick(scope: trio.CancelScope) -> None:
        """Wake the loop periodically, so that no poll waits longer than `TICK_INTERVAL_S`."""
        with scope:
            while True:
                await trio.sleep(TICK_INTERVAL_S)

    def before_io_wait(self, _timeout: float) -> None:
        """Record the end of an iteration; called by trio."""
        now_us = self._clock.now_us()
        self._previous_poll_entered_us = self._poll_entered_us
        self._poll_entered_us = now_us
        iteration_us = now_us - self._polled_us - self._new_work_ns // 1000
        if iteration_us > self._longest_iteration_us:
            self._longest_iteration_us = iteration_us

    def after_io_wait(self, timeout: float) -> None:
        """Record the start of the next iteration; called by trio.

        The process may have been stalled during the poll, so the end of the poll gives no bound on when the
        sockets it found became ready.
        """
        now_us = self._clock.now_us()
        self.last_poll_blocked = timeout > 0 and now_us - self._poll_entered_us > BLOCKING_POLL_US
        self._ready_since_us = (
            self._poll_entered_us if self.last_poll_blocked else self._previous_poll_entered_us
        )
        self._polled_us = now_us
        self.poll_count += 1
        self._new_work_ns = 0

    @property
    def ready_since_us(self) -> int:
        """Earliest time at which the sockets found by the last poll may have become readable."""
        return self._ready_since_us

    def take_longest_iteration_us(self) -> int:
        """Return the longest iteration since the last call, excluding time spent on new work."""
        longest_us = self._longest_iteration_us
        self._longest_iteration_us = 0
        return longest_us

    async def wait_for_new_work_budget(self) -> None:
        """Wait until the current iteration has budget left for new work.

        Reading thousands of new requests in one iteration would delay requests already accepted by seconds.
        """
        while self._new_work_ns > NEW_WORK_BUDGET_US * 1000:
            await trio.lowlevel.checkpoint()

    def begin_new_work(self) -> int:
        """Return the start time to pass to `end_new_work`."""
        return time.perf_counter_ns()

    def end_new_work(self, started_ns: int) -> None:
        """Charge the time since `started_ns` to the budget of this iteration."""
        self._new_work_ns += time.perf_counter_ns() - started_ns
