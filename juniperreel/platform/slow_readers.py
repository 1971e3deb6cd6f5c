"""Clients that do not read their answers: which are read again, and which are closed. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

UNREAD_TIMEOUT_US = 10_000_000  # for a slow reader to read anything


class ReadingClient(Protocol):
    """A client connection, as far as its reading is concerned."""

    @property
    def unsent_bytes(self) -> int:
        """Output that the kernel has not accepted because the client does not read it."""
        ...

    @property
    def reads_slowly(self) -> bool:
        """Whether the client has to read its answers before further commands are read."""
        ...


Client = TypeVar("Client", bound=ReadingClient)


@dataclass(slots=True)
class Progress:
    """A slow reader's unsent output at the last check, and since when it has not shrunk."""

    unsent_bytes: int
    stalled_since_us: int


class SlowReaders(Generic[Client]):
    """The clients that have to read their answers before they are read again."""

    def __init__(self) -> None:
        """Start without clients."""
        self._progress: dict[Client, Progress] = {}

    def __contains__(self, client: Client) -> bool:
        return client in self._progress

    def add(self, client: Client, now_us: int) -> None:
        """Track a client, whose time to read anything begins now."""
        self._progress[client] = Progress(client.unsent_bytes, now_us)

    def remove(self, client: Client) -> None:
        """Forget a client that was closed."""
        self._progress.pop(client, None)

    def worst_beyond(self, limit: int) -> Iterator[Client]:
        """Yield the client with most unsent output while all together have more than `limit`.

        The caller must remove each before it asks for the next.
        """
        while sum(client.unsent_bytes for client in self._progress) > limit:
            yield max(self._progress, key=lambda client: client.unsent_bytes)

    def take_recovered(self) -> list[Client]:
        """Forget and return the clients that may be read again."""
        recovered = [client for client in self._progress if not client.reads_slowly]
        for client in recovered:
            del self._progress[client]
        return recovered

    def stalled(self, now_us: int) -> list[Client]:
        """Return the clients that have read nothing for too long."""
        for client, progress in self._progress.items():
            if client.unsent_bytes < progress.unsent_bytes:
                progress.unsent_bytes = client.unsent_bytes
                progress.stalled_since_us = now_us
        return [
            client
            for client, progress in self._progress.items()
            if now_us - progress.stalled_since_us > UNREAD_TIMEOUT_US
        ]
