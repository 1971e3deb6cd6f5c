"""Backoff after accept() failed for lack of descriptors or memory.

Resources usually become available again at once, and a burst of connections must not wait for each failure:
the delay grows only with consecutive failures.
"""

from __future__ import annotations

MIN_DELAY_US = 1_000
MAX_DELAY_US = 100_000


class AcceptBackoff:
    """Exponential backoff. `delay_us` is the current delay in microseconds, 0 after a successful accept."""

    def __init__(self) -> None:
        self.delay_us = 0

    def record_failure(self) -> None:
        """Double the delay, up to `MAX_DELAY_US`."""
        self.delay_us = min(max(2 * self.delay_us, MIN_DELAY_US), MAX_DELAY_US)

    def reset(self) -> None:
        """Clear the delay after a successful accept."""
        self.delay_us = 0
