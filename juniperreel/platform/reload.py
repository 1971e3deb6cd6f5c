"""Reloads the configuration file, again and again while it can't be read.

The operators tell of a new file once. Reading it may fail for a moment, without a descriptor or while it is
being written, and whoever gave up then would follow the old discovery for good.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from juniperreel.platform.config import Config, parse_config
from juniperreel.platform.errors import ConfigError
from juniperreel.platform.log import Log
from juniperreel.platform.timer_queue import TimerQueue

PAUSE_US = 100_000  # before the next attempt: the old discovery may tell of drains no more
LOG_INTERVAL_MS = 1_000  # a file that stays wrong is logged so often
NOT_LOGGED = -1
GIVE_UP_AFTER_US = 60_000_000  # a file that is wrong for so long is meant to be as it is


class ConfigReload:
    """Reads the file at each `start`, and by timers until it is read; `on_config` gets it whole."""

    def __init__(
        self,
        path: Path,
        now: Callable[[], int],
        timers: TimerQueue,
        on_config: Callable[[Config], None],
        log: Log,
    ) -> None:
        """Do nothing yet. `timers` must be run by whoever owns it."""
        self._path = path
        self._now = now
        self._timers = timers
        self._on_config = on_config
        self._log = log
        self._logged_interval = NOT_LOGGED  # of the time that was waited
        self._latest = 0  # number of the last `start`, whose attempts are the only ones that go on

    def start(self) -> None:
        """Read the file now."""
        self._latest += 1
        self._logged_interval = NOT_LOGGED
        self._attempt(self._latest, self._now())

    def _attempt(self, number: int, started_us: int) -> None:
        if number != self._latest:
            return
        try:
            config = parse_config(self._path.read_bytes())
        except (OSError, ConfigError) as error:
            self._on_failure(error, number, started_us)
            return
        self._on_config(config)

    def _on_failure(self, error: Exception, number: int, started_us: int) -> None:
        now_us = self._now()
        waited_ms = (now_us - started_us) // 1000
        if now_us - started_us > GIVE_UP_AFTER_US:
            self._log.error("configuration reload given up", error=str(error), waited_ms=waited_ms)
            return
        if waited_ms // LOG_INTERVAL_MS != self._logged_interval:
            self._logged_interval = waited_ms // LOG_INTERVAL_MS
            self._log.warning("configuration reload rejected", error=str(error), waited_ms=waited_ms)
        self._timers.call_at(now_us + PAUSE_US, lambda: self._attempt(number, started_us))
