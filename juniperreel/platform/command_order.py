"""The order in which the commands of one connection may start. Performs no I/O.

On one connection, a read must see earlier writes of its key and must not see later ones. Commands that do not
conflict in this way run concurrently.
"""

from __future__ import annotations

from collections import deque

from juniperreel.platform.command import Command
from juniperreel.postgres.request_format import StatementRequest


class OrderedCommand:
    """A command that is not answered, with its statement and whether it was allowed to start."""

    __slots__ = ("command", "started", "statement")

    def __init__(self, command: Command, statement: StatementRequest) -> None:
        """Create a command that has not started."""
        self.command = command
        self.statement = statement
        self.started = False


class CommandOrder:
    """The unanswered commands of one connection, by key."""

    def __init__(self) -> None:
        """Start without commands."""
        self._by_key: dict[str, deque[OrderedCommand]] = {}

    def add(self, command: Command, statement: StatementRequest) -> list[Command]:
        """Add a command behind all others; return it if it may start now."""
        queue = self._by_key.setdefault(statement.key, deque())
        queue.append(OrderedCommand(command, statement))
        return self._start_next(queue)

    def remove(self, command: Command, key: str) -> list[Command]:
        """Remove an answered command; return those that may start now."""
        queue = self._by_key[key]
        answered = next(ordered for ordered in queue if ordered.command is command)
        queue.remove(answered)
        if not queue:
            del self._by_key[key]
        return self._start_next(queue)

    def clear(self) -> None:
        """Forget all commands: none of those that wait will start."""
        self._by_key.clear()

    @staticmethod
    def _start_next(queue: deque[OrderedCommand]) -> list[Command]:
        """Start the commands at the front that do not conflict: one write, or all reads before the next."""
        started = []
        for place, ordered in enumerate(queue):
            if place and (ordered.statement.is_write or queue[0].statement.is_write):
                break
            if not ordered.started:
                ordered.started = True
                started.append(ordered.command)
        return started
