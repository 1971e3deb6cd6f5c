"""Flow-control windows (RFC 9113, 5.2). No I/O."""

from __future__ import annotations

DEFAULT_WINDOW = 65_535  # bytes, unless SETTINGS or WINDOW_UPDATE change it


class ReceiveWindow:
    """The bytes that the peer may send on a stream or on the whole connection."""

    __slots__ = ("available", "owed", "size")

    def __init__(self, size: int) -> None:
        """`size` in bytes."""
        self.size = size
        self.available = size
        self.owed = 0  # consumed bytes that the next WINDOW_UPDATE returns

    def give_back(self, count: int) -> int:
        """Record that `count` bytes were consumed.

        Returns the increment to send in a WINDOW_UPDATE, once it is at least half the window; 0 until then.
        """
        self.owed += count
        if 2 * self.owed < self.size:
            return 0
        increment = self.owed
        self.available += increment
        self.owed = 0
        return increment
