"""Bounds the input that all client connections together have received but not yet parsed. Performs no I/O.

If their part of the memory is used up, the commands that have been incomplete longest without progress
are discarded. Clients that stop within a command thus do not keep others from sending theirs.
"""

from __future__ import annotations

from typing import Protocol

from juniperreel.net.transport import READ_BYTES
from juniperreel.platform.memory_budget import MemoryBudget

SHORTAGE_READ_BYTES = 8192
# Input of a connection up to this size is neither counted nor discarded: most commands are small.
UNCOUNTED_BYTES = 4096


class InputOwner(Protocol):
    """A connection that buffers input."""

    def discard_incomplete_command(self) -> None:
        """Discard the incomplete command, which is refused once its last byte has arrived."""
        ...


class InputBuffers:
    """Tracks the buffered input of all client connections."""

    def __init__(self, memory: MemoryBudget) -> None:
        """Start without connections."""
        self._memory = memory
        self._sizes: dict[InputOwner, int] = {}
        self._incomplete: dict[InputOwner, None] = {}  # longest without progress first
        self.discarded_commands = 0

    @property
    def read_limit(self) -> int:
        """Largest number of bytes that a connection should read at once."""
        return SHORTAGE_READ_BYTES if self._memory.input_is_short else READ_BYTES

    def update(self, owner: InputOwner, size: int, is_incomplete: bool) -> None:
        """Record how much a connection buffers after it has read or parsed.

        `is_incomplete`: all of it belongs to a command whose end has not been received.
        """
        if size <= UNCOUNTED_BYTES:
            if owner in self._sizes:
                self.remove(owner)
            return
        self._memory.input.add(size - self._sizes.pop(owner, 0))
        self._incomplete.pop(owner, None)
        self._sizes[owner] = size
        if is_incomplete:
            self._incomplete[owner] = None
        self._discard_excess()

    def remove(self, owner: InputOwner) -> None:
        """Forget the input of a connection that was closed or has parsed it."""
        self._memory.input.add(-self._sizes.pop(owner, 0))
        self._incomplete.pop(owner, None)

    def fields(self) -> dict[str, int]:
        """Return the count of discarded commands, for the log."""
        return {"discarded_commands": self.discarded_commands}

    def _discard_excess(self) -> None:
        while self._memory.input_is_exceeded and self._incomplete:
            stalled = next(iter(self._incomplete))
            self.remove(stalled)
            self.discarded_commands += 1
            stalled.discard_incomplete_command()
