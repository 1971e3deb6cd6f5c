"""Tracks the answers that client connections hold until the clients' kernels take them. Performs no I/O.

An answer is held while an earlier command of its connection is open, and while its client does not read.
"""

from __future__ import annotations

from typing import Protocol

from juniperreel.platform.memory_budget import MemoryShare


class AnswerOwner(Protocol):
    """A connection that holds answers."""

    @property
    def held_answer_bytes(self) -> int:
        """Size of all answers that the connection holds now."""
        ...


class AnswerBuffers:
    """Tracks the held answers of all client connections."""

    def __init__(self, share: MemoryShare) -> None:
        """Start without connections."""
        self._share = share
        self._sizes: dict[AnswerOwner, int] = {}

    def update(self, owner: AnswerOwner) -> None:
        """Record what a connection holds, after it was given an answer or has sent some."""
        size = owner.held_answer_bytes
        self._share.add(size - self._sizes.pop(owner, 0))
        if size:
            self._sizes[owner] = size

    def remove(self, owner: AnswerOwner) -> None:
        """Forget a connection that was closed."""
        self._share.add(-self._sizes.pop(owner, 0))

    def has_room(self, size: int) -> bool:
        """Return whether a connection may hold `size` more bytes.

        What the kernel has taken since the last update is only looked for when the share seems to be full.
        """
        if self._share.fits(size):
            return True
        for owner in list(self._sizes):
            self.update(owner)
        return self._share.fits(size)
