"""Reloads the configuration file and retries until it can be read.

The platform signals a new file only once. Reading it may fail temporarily, for lack of descriptors or while
it is being written; without retries the driver would keep using the old discovery server.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from juniperreel.platform.config import Config, parse_config
from juniperreel.platform.errors import ConfigError
from juniperreel.platform.log import Log
from juniperreel.platform.timer_queue import TimerQueue

RETRY_INTERVAL_US = 100_000  # short, as the old discovery server may no longer announce drains
LOG_INTERVAL_MS = 1_000  # between log lines about a file that stays invalid
NOT_LOGGED = -1
GIVE_UP_AFTER_US = 60_000_000  # a file that stays invalid for longer will not change by itself


class ConfigReload:
    """Reads the file at each `start`, retrying by timer; `on_config` receives the valid configuration."""

    def __init__(
        self,
        path: Path,
        now: Callable[[], int],
        timers: TimerQueue,
        on_config: Callable[[Config], None],
        log: Log,
    ) -> None:
        """`timers` must be run by its owner."""
        self._path = path
        self._now = now
        self._timers = timers
        self._on_config = on_config
        self._log = log
        self._logged_interval = NOT_LOGGED  # number of the interval in which a failure was last logged
        self._generation = 0  # of the latest `start`; attempts of earlier ones are dropped

    def start(self) -> None:
        """Read the file now, superseding retries of earlier calls."""
        self._generation += 1
        self._logged_interval = NOT_LOGGED
        self._attempt(self._generation, self._now())

    def _attempt(self, generation: int, started_us: int) -> None:
        if generation != self._generation:
            return
        try:
            config = parse_config(self._path.read_bytes())
        except (OSError, ConfigError) as error:
            self._on_failure(error, generation, started_us)
            return
        self._on_config(config)

    def _on_failure(self, error: Exception, generation: int, started_us: int) -> None:
        now_us = self._now()
        waited_ms = (now_us - started_us) // 1000
        if now_us - started_us > GIVE_UP_AFTER_US:
            self._log.error("configuration reload given up", error=str(error), waited_ms=waited_ms)
            return
        if waited_ms // LOG_INTERVAL_MS != self._logged_interval:
            self._logged_interval = waited_ms // LOG_INTERVAL_MS
            self._log.warning("configuration reload rejected", error=str(error), waited_ms=waited_ms)
        self._timers.call_at(now_us + RETRY_INTERVAL_US, lambda: self._attempt(generation, started_us))
