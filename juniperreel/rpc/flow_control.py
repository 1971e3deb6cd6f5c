"""Flow-control windows (RFC 9113, 5.2). No I/O."""

from __future__ import annotations

DEFAULT_WINDOW = 65_535  # bytes, unless SETTINGS or WINDOW_UPDATE change it


class ReceiveWindow:
    """The bytes that the peer may send on a stream or on the whole connection."""

    __slots__ = ("available", "size", "unacknowledged")

    def __init__(self, size: int) -> None:
        """`size` in bytes."""
        self.size = size
        self.available = size
        self.unacknowledged = 0  # consumed bytes that the next WINDOW_UPDATE returns

    def acknowledge(self, count: int) -> int:
        """Record that `count` bytes were consumed.

        Returns the increment to send in a WINDOW_UPDATE, once it is at least half the window; 0 until then.
        """
        self.unacknowledged += count
        if 2 * self.unacknowledged < self.size:
            return 0
        increment = self.unacknowledged
        self.available += increment
        self.unacknowledged = 0
        return increment
