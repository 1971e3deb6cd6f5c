"""Estimates how long received bytes, or accepted connections, may have waited in the socket.

While the event loop is stalled, data waits in the kernel; that time counts towards the deadlines of calls.
"""

from __future__ import annotations

from weakref import WeakKeyDictionary

import trio

from juniperreel.net import Clock, Listener, StallMonitor


class ArrivalEstimator:
    """Estimates the arrival times of one connection's bytes."""

    def __init__(self, stall_monitor: StallMonitor | None, now_us: int) -> None:
        """`stall_monitor` records when sockets were polled; without it, bytes count as just arrived."""
        self.earliest_arrival_us = now_us  # lower bound for the arrival of the bytes read next
        self._stall_monitor = stall_monitor
        self._polls_before = 0

    def before_read(self) -> None:
        """Call before each read."""
        if self._stall_monitor is not None:
            self._polls_before = self._stall_monitor.poll_count

    def after_read(self, now_us: int) -> None:
        """Call after each read that returned bytes."""
        stall_monitor = self._stall_monitor
        if stall_monitor is None:
            self.earliest_arrival_us = now_us
        elif stall_monitor.last_poll_blocked or stall_monitor.poll_count > self._polls_before + 1:
            # The read had to wait, so the socket was empty before.
            self.earliest_arrival_us = max(self.earliest_arrival_us, stall_monitor.ready_since_us)

    def on_socket_emptied(self, read_us: int) -> None:
        """Record that the read at `read_us` left the socket empty."""
        self.earliest_arrival_us = read_us


class TimedListener:
    """A listener that records since when each connection may have waited to be accepted."""

    def __init__(self, listener: Listener, stall_monitor: StallMonitor | None, clock: Clock) -> None:
        """Take ownership of `listener`."""
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
        self._waiting_since_us[stream] = self._estimator.earliest_arrival_us
        return stream

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()

    def waiting_since_us(self, stream: trio.abc.Stream) -> int:
        """Return since when an accepted connection may have waited."""
        return self._waiting_since_us[stream]
