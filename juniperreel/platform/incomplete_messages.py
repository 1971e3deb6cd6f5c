"""Bounds what connections have received of messages that are not complete. Performs no I/O.

If their part of the memory is used up, the messages that have been incomplete longest without progress are
discarded. Peers that stop within a message thus do not keep others from sending theirs.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from juniperreel.platform.memory_budget import MemoryShare

# What a connection holds up to this size is neither counted nor discarded: most messages are small.
UNCOUNTED_BYTES = 1024


class MessageOwner(Protocol):
    """A connection that receives messages."""

    def discard_incomplete_message(self) -> None:
        """Discard what was received of the incomplete message."""
        ...


class IncompleteMessages:
    """Tracks what connections hold, and which of them wait for the rest of a message."""

    def __init__(self, share: MemoryShare, is_exceeded: Callable[[], bool]) -> None:
        """Count against `share`, and discard messages while `is_exceeded`."""
        self._share = share
        self._is_exceeded = is_exceeded
        self._sizes: dict[MessageOwner, int] = {}
        self._incomplete: dict[MessageOwner, None] = {}  # longest without progress first
        self.discarded = 0

    def update(self, owner: MessageOwner, size: int, is_incomplete: bool) -> None:
        """Record how much a connection holds after it has read or parsed.

        `is_incomplete`: all of it belongs to a message whose end has not been received.
        """
        if size <= UNCOUNTED_BYTES:
            if owner in self._sizes:
                self.remove(owner)
            return
        self._share.add(size - self._sizes.pop(owner, 0))
        self._incomplete.pop(owner, None)
        self._sizes[owner] = size
        if is_incomplete:
            self._incomplete[owner] = None
        self._discard_excess()

    def remove(self, owner: MessageOwner) -> None:
        """Forget a connection that was closed or whose messages were all parsed."""
        self._share.add(-self._sizes.pop(owner, 0))
        self._incomplete.pop(owner, None)

    def _discard_excess(self) -> None:
        while self._is_exceeded() and self._incomplete:
            stalled = next(iter(self._incomplete))
            self.remove(stalled)
            self.discarded += 1
            stalled.discard_incomplete_message()
