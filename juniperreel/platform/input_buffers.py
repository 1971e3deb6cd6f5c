"""Bounds the input that all client connections together have received but not yet parsed. Performs no I/O.

Clients that stop within a command do not keep others from sending theirs: see `incomplete_messages`.
"""

from __future__ import annotations

from juniperreel.net.transport import READ_BYTES
from juniperreel.platform.incomplete_messages import IncompleteMessages
from juniperreel.platform.memory_budget import MemoryBudget

SHORTAGE_READ_BYTES = 8192


class InputBuffers(IncompleteMessages):
    """Tracks the buffered input of all client connections."""

    def __init__(self, memory: MemoryBudget) -> None:
        """Start without connections."""
        super().__init__(memory.input, lambda: memory.input_is_exceeded)
        self._memory = memory

    @property
    def read_limit(self) -> int:
        """Largest number of bytes that a connection should read at once."""
        return SHORTAGE_READ_BYTES if self._memory.input_is_short else READ_BYTES
