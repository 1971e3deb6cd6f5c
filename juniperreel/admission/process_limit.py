"""A limit on the requests in flight of the whole process, driven by how late its event loop is.

Multiplicative decrease on lag, and multiplicative increase in each window of time without it: the way back
takes a bounded time, whatever the limit was and however many requests come meanwhile.
"""

from __future__ import annotations

MILLISECOND_US = 1_000
WINDOW_US = 100 * MILLISECOND_US  # one stall of the loop counts once, not once for each request behind it
TARGET_LAG_US = 25.0 * MILLISECOND_US  # above this the limit falls
LONGEST_COUNTED_LAG_US = 200.0 * MILLISECOND_US  # one long stall must not outweigh what follows it
LAG_MEMORY = 0.9  # weight of the old moving average of the lag, at each window
SMALLEST_DECREASE_FACTOR = 0.7  # part of the limit that remains after one decrease, whatever the lag was
INCREASE_FACTOR = 1.1  # of the limit, in each window without lag
MOST_WINDOWS = 1_000  # at once; enough of them to come from the minimum to any limit
MINIMUM_LIMIT = 8.0


class ProcessLimit:
    """How many requests may be in flight in this process. All times are whole microseconds.

    Lag counts only in windows in which at least `MINIMUM_LIMIT` requests were in flight: fewer of them are
    allowed at any lag, so that a lower limit would not have helped, and the cause is something else.
    """

    def __init__(self, maximum: float) -> None:
        """Start at the maximum, as if there had never been any lag."""
        self.maximum = max(maximum, MINIMUM_LIMIT)
        self.value = self.maximum
        self._mean_lag_us = 0.0
        self._largest_lag_us = 0  # in the current window
        self._peak_in_flight = 0  # in the current window
        self._window_start_us: int | None = None

    def on_start(self, in_flight: int) -> None:
        """Record that one more request is in flight, `in_flight` with it."""
        self._peak_in_flight = max(self._peak_in_flight, in_flight)

    def on_loop_lag(self, now_us: int, lag_us: int, in_flight: int) -> None:
        """Record how late the event loop was since the last call, with `in_flight` requests now."""
        if self._window_start_us is None:
            self._window_start_us = now_us
        self._largest_lag_us = max(self._largest_lag_us, lag_us)
        windows = min((now_us - self._window_start_us) // WINDOW_US, MOST_WINDOWS)
        if windows > 0:
            self._end_window(windows)
            self._window_start_us = now_us
            self._largest_lag_us = 0
            self._peak_in_flight = in_flight

    def _end_window(self, windows: int) -> None:
        """Follow the lag of a window; one that was observed late stands for several."""
        lag_us = 0.0
        if self._peak_in_flight >= MINIMUM_LIMIT:
            lag_us = min(float(self._largest_lag_us), LONGEST_COUNTED_LAG_US)
        if lag_us > TARGET_LAG_US:
            windows = 1  # one stall, however long it was
        memory = LAG_MEMORY**windows
        self._mean_lag_us = memory * self._mean_lag_us + (1 - memory) * lag_us
        if self._mean_lag_us <= TARGET_LAG_US:
            self._increase(windows)
        elif lag_us > TARGET_LAG_US:
            self._decrease()

    def _decrease(self) -> None:
        # A limit that was never used says nothing about lag (RFC 7661): decrease from what was used.
        used = min(self.value, float(self._peak_in_flight))
        factor = max(SMALLEST_DECREASE_FACTOR, TARGET_LAG_US / self._mean_lag_us)
        self.value = max(MINIMUM_LIMIT, used * factor)

    def _increase(self, windows: int) -> None:
        self.value = min(self.maximum, self.value * INCREASE_FACTOR**windows)
