"""Flow-control windows (RFC 9113, 5.2). No I/O."""

from __future__ import annotations

DEFAULT_WINDOW = 65_535  # bytes, until settings or updates change it


class ReceiveWindow:
    """What the peer may send, on a stream or on the whole connection."""

    __slots__ = ("available", "owed", "size")

    def __init__(self, size: int) -> None:
        """`size` in bytes."""
        self.size = size
        self.available = size
        self.owed = 0  # bytes taken, to be given back with the next update

    def give_back(self, count: int) -> int:
        """Note that `count` bytes were taken.

        Returns the increment to announce, once half a window is owed; 0 until then.
        """
        self.owed += count
        if 2 * self.owed < self.size:
            return 0
        increment = self.owed
        self.available += increment
        self.owed = 0
        return increment
