"""Estimates since when bytes just read may have waited in their socket."""

from __future__ import annotations

from juniperreel.net import StallMonitor


class ArrivalEstimator:
    """One connection's estimate. Time in the socket counts towards the deadlines of calls."""

    def __init__(self, pace: StallMonitor | None, now_us: int) -> None:
        """`pace` knows when sockets were polled; without it bytes count as fresh."""
        self.arrived_after_us = now_us  # what is read next cannot have come before
        self._pace = pace
        self._polls_before = 0

    def before_read(self) -> None:
        """A read begins."""
        if self._pace is not None:
            self._polls_before = self._pace.poll_count

    def after_read(self, now_us: int) -> None:
        """The read has returned bytes."""
        pace = self._pace
        if pace is None:
            self.arrived_after_us = now_us
        elif pace.last_poll_blocked or pace.poll_count > self._polls_before + 1:
            # The read had to wait: nothing was there before.
            self.arrived_after_us = max(self.arrived_after_us, pace.ready_since_us)

    def on_socket_emptied(self, read_us: int) -> None:
        """The read at `read_us` took all there was."""
        self.arrived_after_us = read_us
