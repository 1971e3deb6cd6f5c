"""Limits the rate and number of connection openings. No I/O, no clock.

Three mechanisms are combined. A token bucket limits the rate, so that an endpoint that recovers is not hit by
the connections of all proxies at once. Failed openings cause an exponential backoff. An endpoint that rejects
connections lowers the limit on their number, which is then raised one at a time.
"""

from __future__ import annotations

import random

INITIAL_BACKOFF_US = 50_000  # after a failed opening; doubles with each further failure
MAX_BACKOFF_US = 2_000_000
MAX_BACKOFF_DOUBLINGS = 10
BACKOFF_JITTER = (0.5, 1.0)
LIMIT_RAISE_INTERVAL_US = 5_000_000  # between increments of the limit after a rejection
US_PER_SECOND = 1e6


class OpenLimiter:
    """Decides whether another connection may be opened.

    Attributes:
        rejections: The number of openings that the endpoint rejected because it had too many connections.
    """

    def __init__(
        self, max_connections: int, open_rate: float, open_burst: float, random_source: random.Random
    ) -> None:
        self._max_connections = max_connections
        self._open_rate = open_rate
        self._open_burst = open_burst
        self._random = random_source
        self._current_limit = max_connections
        self._next_raise_us = 0
        self._tokens = open_burst
        self._tokens_updated_us: int | None = None  # None before the first use
        self._failures = 0
        self._backoff_until_us = 0
        self.rejections = 0

    @property
    def connection_limit(self) -> int:
        """The current limit on connections; below the configured maximum after the endpoint rejected some."""
        return max(1, self._current_limit)

    def in_backoff(self, now_us: int) -> bool:
        """Return whether openings are suspended after a failure."""
        return now_us < self._backoff_until_us

    def available_tokens(self, now_us: int) -> float:
        """Return the current number of tokens, which may be fractional."""
        if self._tokens_updated_us is None:
            self._tokens_updated_us = now_us
        refilled = (now_us - self._tokens_updated_us) / US_PER_SECOND * self._open_rate
        return min(self._open_burst, self._tokens + refilled)

    def take_token(self, now_us: int) -> None:
        """Consume the token of one opening."""
        self._tokens = self.available_tokens(now_us) - 1.0
        self._tokens_updated_us = now_us

    def next_opening_us(self, now_us: int) -> int:
        """Return the earliest time at which the rate limit and the backoff allow an opening."""
        missing_tokens = max(0.0, 1.0 - self.available_tokens(now_us))
        token_due_us = now_us + int(missing_tokens / self._open_rate * US_PER_SECOND) + 1
        return max(self._backoff_until_us, token_due_us)

    def record_success(self) -> None:
        """Record a successful opening, which ends the backoff."""
        self._failures = 0
        self._backoff_until_us = 0

    def record_rejection(self, now_us: int, connections: int) -> None:
        """Record that the endpoint has too many connections, and limit them to what it accepted."""
        self.rejections += 1
        self._current_limit = max(1, min(self.connection_limit, connections))
        self._next_raise_us = now_us + LIMIT_RAISE_INTERVAL_US

    def record_failure(self, now_us: int) -> None:
        """Record an opening that failed for any reason, and back off."""
        backoff_us = min(INITIAL_BACKOFF_US << min(self._failures, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF_US)
        self._failures += 1
        self._backoff_until_us = now_us + int(backoff_us * self._random.uniform(*BACKOFF_JITTER))

    def raise_limit(self, now_us: int) -> None:
        """Raise the limit by one, `LIMIT_RAISE_INTERVAL_US` after the last rejection or increment."""
        if self._current_limit < self._max_connections and now_us >= self._next_raise_us:
            self._current_limit += 1
            self._next_raise_us = now_us + LIMIT_RAISE_INTERVAL_US
