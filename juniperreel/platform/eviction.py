"""Which client connection is closed when a new one needs its descriptor. Performs no I/O.

In order of preference: connections that are being closed, those that never sent anything, the longest idle,
and those that sent part of their first command. Connections with unsent output are kept, and those with
unread input, as they are about to send a command. Finding one costs the same however many there are: under a
flood of connections it is done for each.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice
from typing import Generic, Protocol, TypeVar

SHORTAGE_IDLE_TIMEOUT_US = 2_000_000  # of a client that has sent commands, when descriptors are short
MAX_CHECKS = 32  # of connections of one kind: each may cost a system call


class EvictableClient(Protocol):
    """A client connection, as far as eviction is concerned."""

    @property
    def last_active_us(self) -> int:
        """Time of the last answer, or of the accept."""
        ...

    @property
    def unsent_bytes(self) -> int:
        """Output that the kernel has not accepted."""
        ...

    @property
    def is_idle(self) -> bool:
        """Whether no command is open, no input is pending, and every answer has been sent."""
        ...

    def has_unread_bytes(self) -> bool:
        """Return whether input is pending that the driver has not looked at."""
        ...


Client = TypeVar("Client", bound=EvictableClient)


class EvictionOrder(Generic[Client]):
    """The client connections without an open command, by their value, longest without activity first."""

    def __init__(self) -> None:
        """Start without connections."""
        self._closing: dict[Client, None] = {}
        self._silent: dict[Client, None] = {}  # never sent anything
        self._idle: dict[Client, None] = {}  # have sent commands
        self._partial: dict[Client, None] = {}  # have sent part of their first command

    def on_accepted(self, client: Client) -> None:
        """Add a new connection."""
        self._silent[client] = None

    def on_first_command_incomplete(self, client: Client) -> None:
        """Record that the client has sent part of its first command."""
        if client in self._silent:
            del self._silent[client]
            self._partial[client] = None

    def on_command_received(self, client: Client) -> None:
        """Record that the client has an open command."""
        self.remove(client)

    def on_commands_answered(self, client: Client) -> None:
        """Record that no command of the client is open any more."""
        self._idle[client] = None

    def on_closing(self, client: Client) -> None:
        """Record that the connection is being closed by this side."""
        self.remove(client)
        self._closing[client] = None

    def remove(self, client: Client) -> None:
        """Forget a connection, which was closed or is busy."""
        self._silent.pop(client, None)
        self._partial.pop(client, None)
        self._idle.pop(client, None)
        self._closing.pop(client, None)

    @property
    def longest_idle(self) -> Client | None:
        """The client whose last command was answered longest ago, or None."""
        return next(iter(self._idle), None)

    def find(self, now_us: int) -> Client | None:
        """Return the least valuable connection, or None if each of those checked is to be kept."""
        return (
            _first(self._closing, lambda client: not client.unsent_bytes)
            or _first(self._silent, lambda client: client.is_idle)
            or _first(self._idle, lambda client: _has_been_idle(client, now_us))
            or _first(self._partial, lambda client: not client.unsent_bytes and not client.has_unread_bytes())
        )


def _first(clients: Iterable[Client], may_be_closed: Callable[[Client], bool]) -> Client | None:
    return next(filter(may_be_closed, islice(clients, MAX_CHECKS)), None)


def _has_been_idle(client: EvictableClient, now_us: int) -> bool:
    return now_us - client.last_active_us > SHORTAGE_IDLE_TIMEOUT_US and client.is_idle
