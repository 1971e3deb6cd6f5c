"""Estimates since when bytes just read, or connections just accepted, may have waited in their socket."""

from __future__ import annotations

from weakref import WeakKeyDictionary

import trio

from juniperreel.net import Clock, Listener, StallMonitor


class ArrivalEstimator:
    """One connection's estimate. Time in the socket counts towards the deadlines of calls."""

    def __init__(self, stall_monitor: StallMonitor | None, now_us: int) -> None:
        """`stall_monitor` knows when sockets were polled; without it bytes count as fresh."""
        self.arrived_after_us = now_us  # what is read next cannot have come before
        self._stall_monitor = stall_monitor
        self._polls_before = 0

    def before_read(self) -> None:
        """A read begins."""
        if self._stall_monitor is not None:
            self._polls_before = self._stall_monitor.poll_count

    def after_read(self, now_us: int) -> None:
        """The read has returned bytes."""
        stall_monitor = self._stall_monitor
        if stall_monitor is None:
            self.arrived_after_us = now_us
        elif stall_monitor.last_poll_blocked or stall_monitor.poll_count > self._polls_before + 1:
            # The read had to wait: nothing was there before.
            self.arrived_after_us = max(self.arrived_after_us, stall_monitor.ready_since_us)

    def on_socket_emptied(self, read_us: int) -> None:
        """The read at `read_us` took all there was."""
        self.arrived_after_us = read_us


class TimedListener:
    """A listener that notes since when each connection may have waited to be accepted."""

    def __init__(self, listener: Listener, stall_monitor: StallMonitor | None, clock: Clock) -> None:
        """Take over `listener`."""
        self.port = listener.port
        self._listener = listener
        self._clock = clock
        self._estimator = ArrivalEstimator(stall_monitor, clock.now_us())
        self._waiting_since_us: WeakKeyDictionary[trio.abc.Stream, int] = WeakKeyDictionary()

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection. Raises trio.ClosedResourceError once the listener is closed."""
        self._estimator.before_read()
        stream = await self._listener.accept()
        self._estimator.after_read(self._clock.now_us())
        self._waiting_since_us[stream] = self._estimator.arrived_after_us
        return stream

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()

    def waiting_since_us(self, stream: trio.abc.Stream) -> int:
        """Return since when an accepted connection may have waited."""
        return self._waiting_since_us[stream]
