"""The pause after an accept that failed as descriptors or memory had run out.

Resources are mostly there again at once, and a crowd must not wait for each failure: the pause grows only
while failures come one after the other.
"""

from __future__ import annotations

FIRST_PAUSE_US = 1_000
LAST_PAUSE_US = 100_000


class AcceptPause:
    """The current pause in microseconds; 0 after an accept that succeeded."""

    def __init__(self) -> None:
        """Start without a failure."""
        self.us = 0

    def lengthen(self) -> None:
        """Note a failure."""
        self.us = min(max(2 * self.us, FIRST_PAUSE_US), LAST_PAUSE_US)

    def reset(self) -> None:
        """Note an accept that succeeded."""
        self.us = 0
