"""Connections whose buffered input waits to be read as commands, in turns. Performs no I/O.

Reading hundreds of commands of one connection at once would delay answers, timers and other connections by
as long as that takes. A turn is one command, and connections without an open command come first.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

# Consecutive turns of the event loop that end with commands left to read. A burst, or what has arrived while
# the process was suspended, is read in fewer.
OVERLOADED_ITERATIONS = 10


class CommandReader(Protocol):
    """A connection with buffered input."""

    @property
    def has_open_commands(self) -> bool:
        """Whether a command of the connection is not answered yet."""
        ...

    def read_command(self) -> None:
        """Read at most one command, and register again if there may be more. Called once per registration."""
        ...


class CommandIntake:
    """The order in which connections read their next command."""

    def __init__(self) -> None:
        """Start without connections."""
        self._without_open_commands: deque[CommandReader] = deque()
        self._with_open_commands: deque[CommandReader] = deque()
        self._unfinished_iterations = 0

    def register(self, reader: CommandReader) -> None:
        """Add a connection behind those that are waiting. It must not be waiting already."""
        if reader.has_open_commands:
            self._with_open_commands.append(reader)
        else:
            self._without_open_commands.append(reader)

    @property
    def is_empty(self) -> bool:
        """Whether no connection is waiting."""
        return not self._without_open_commands and not self._with_open_commands

    @property
    def is_overloaded(self) -> bool:
        """Whether more commands arrive than can be routed.

        Further commands of connections that have an open one should be refused then, which takes little time.
        """
        return self._unfinished_iterations >= OVERLOADED_ITERATIONS

    def end_iteration(self) -> None:
        """Record whether all commands were read in this iteration of the event loop."""
        self._unfinished_iterations = 0 if self.is_empty else self._unfinished_iterations + 1

    def read_next(self) -> bool:
        """Let the next connection read a command; return whether one was waiting."""
        waiting = self._without_open_commands or self._with_open_commands
        if not waiting:
            return False
        waiting.popleft().read_command()
        return True
