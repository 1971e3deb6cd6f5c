"""An adaptive limit on the requests in flight in the whole process, driven by event loop lag.

The limit decreases multiplicatively on lag and increases multiplicatively in each time window without lag, so
that recovery takes a bounded time regardless of the lowered limit and the request rate.
"""

from __future__ import annotations

MILLISECOND_US = 1_000
WINDOW_US = 100 * MILLISECOND_US  # a stall counts once, not once per request delayed by it
TARGET_LAG_US = 25.0 * MILLISECOND_US  # the limit is lowered above this mean lag
LAG_CAP_US = 200.0 * MILLISECOND_US  # bounds the weight of a single long stall in the mean
LAG_DECAY = 0.9  # weight of the previous moving average, per window
MINIMUM_DECREASE_FACTOR = 0.7  # lower bound of the factor of a single decrease
INCREASE_FACTOR = 1.1  # per window without lag
MAXIMUM_WINDOWS = 1_000  # counted per update; enough to recover from the minimum to any limit
MINIMUM_LIMIT = 8.0


class ProcessLimit:
    """Adaptive limit on the requests in flight in this process. All times are integer microseconds.

    Lag counts only in windows in which at least `MINIMUM_LIMIT` requests were in flight. Below that, requests
    cannot be the cause: fewer are admitted at any lag, so a lower limit would not have prevented it.
    """

    def __init__(self, maximum: float) -> None:
        """Start at the maximum, without any observed lag."""
        self.maximum = max(maximum, MINIMUM_LIMIT)
        self.value = self.maximum
        self._mean_lag_us = 0.0
        self._largest_lag_us = 0  # in the current window
        self._peak_in_flight = 0  # in the current window
        self._window_start_us: int | None = None

    def on_start(self, in_flight: int) -> None:
        """Record the start of a request; `in_flight` includes it."""
        self._peak_in_flight = max(self._peak_in_flight, in_flight)

    def on_loop_lag(self, now_us: int, lag_us: int, in_flight: int) -> None:
        """Record the event loop lag since the last call; `in_flight` is the current number of requests."""
        if self._window_start_us is None:
            self._window_start_us = now_us
        self._largest_lag_us = max(self._largest_lag_us, lag_us)
        windows = min((now_us - self._window_start_us) // WINDOW_US, MAXIMUM_WINDOWS)
        if windows > 0:
            self._end_window(windows)
            self._window_start_us = now_us
            self._largest_lag_us = 0
            self._peak_in_flight = in_flight

    def _end_window(self, windows: int) -> None:
        """Adjust the limit to the lag of a window; a late update accounts for several windows."""
        lag_us = 0.0
        if self._peak_in_flight >= MINIMUM_LIMIT:
            lag_us = min(float(self._largest_lag_us), LAG_CAP_US)
        if lag_us > TARGET_LAG_US:
            windows = 1  # a single stall, regardless of its length
        decay = LAG_DECAY**windows
        self._mean_lag_us = decay * self._mean_lag_us + (1 - decay) * lag_us
        if self._mean_lag_us <= TARGET_LAG_US:
            self._increase(windows)
        elif lag_us > TARGET_LAG_US:
            self._decrease()

    def _decrease(self) -> None:
        # Unused parts of the limit carry no information about lag (RFC 7661): decrease from the used part.
        used = min(self.value, float(self._peak_in_flight))
        factor = max(MINIMUM_DECREASE_FACTOR, TARGET_LAG_US / self._mean_lag_us)
        self.value = max(MINIMUM_LIMIT, used * factor)

    def _increase(self, windows: int) -> None:
        self.value = min(self.maximum, self.value * INCREASE_FACTOR**windows)
