"""All clients' connections of one driver: who is accepted, who is closed when descriptors run short."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from juniperreel.net.transport import Transport
from juniperreel.platform.client_connection import ClientConnection
from juniperreel.platform.command import RequestHandler
from juniperreel.platform.counters import CloseReason
from juniperreel.platform.descriptor_budget import DescriptorBudget

FIRST_COMMAND_TIMEOUT_US = 2_000_000  # for a connection to send its first command
COMMAND_TIMEOUT_US = 2_000_000  # for the rest of a command that began to arrive
UNREAD_BYTES_TIMEOUT_US = 500_000  # more than those, where bytes have come that were not read yet
UNREAD_TIMEOUT_US = 10_000_000  # for a client with much unsent to read anything
MAX_UNSENT_BYTES_OF_ALL = 16 << 20  # of clients with much unsent
IDLE_TIMEOUT_US = 60_000_000
SHORTAGE_IDLE_TIMEOUT_US = 2_000_000  # the same where descriptors run short


@dataclass(slots=True)
class SlowReader:
    """A client with much unsent: how much at the last look, and since when that has not become less."""

    unsent_bytes: int
    stuck_since_us: int


class ClientListener:
    """Owns the connections of all clients, and their part of the descriptor budget."""

    def __init__(self, handler: RequestHandler, now: Callable[[], int], budget: DescriptorBudget) -> None:
        """`handler` answers the clients' requests."""
        self.handler = handler
        self.now = now
        self.budget = budget
        self.clients: set[ClientConnection] = set()
        self.closing = False  # connections are closed when their commands are answered
        self._answered: dict[ClientConnection, None] = {}  # without an open command, longest ago first
        self._slow_readers: dict[ClientConnection, SlowReader] = {}

    def accept(self, transport: Transport, waiting_since_us: int = 0) -> None:
        """Serve a new connection, or close it where no descriptor is left for it.

        It may have waited in the kernel since `waiting_since_us`, with requests whose time runs from there.
        """
        now_us = self.now()
        if self.budget.clients_full and not self._evict_one(now_us):
            transport.close()
            return
        self.clients.add(ClientConnection(self, transport, now_us, waiting_since_us))
        self.budget.clients += 1

    def remove(self, client: ClientConnection, reason: CloseReason) -> None:
        """Close a connection at once, and withdraw its open requests."""
        if client not in self.clients:
            return
        self.clients.discard(client)
        if not client.closing_since_us:
            self.handler.connection_closed(client.unanswered_requests(), reason)
        self.budget.clients -= 1
        if client.closing_since_us:
            self.budget.closing_clients -= 1
        elif client.command_count:
            self.budget.active_clients -= 1
        self._answered.pop(client, None)
        self._slow_readers.pop(client, None)
        if reason is not CloseReason.CLIENT_LEFT and client.unsent_answer_bytes:
            self.handler.answers_dropped(client.unsent_answer_bytes, reason)
        client.close()
        for command in client.commands:
            if command.request_id is not None:
                self.handler.client_disconnected(command)

    def close_gracefully(self, client: ClientConnection, reason: CloseReason) -> None:
        """Close a connection in order; its descriptor is free once the client has ended its side, too.

        Until then it counts as closing: counted among the clients that stay, it would make the driver close
        all idle connections where only one is too many.
        """
        self._answered.pop(client, None)
        if not client.closing_since_us:
            self.handler.connection_closed(client.unanswered_requests(), reason)
            if client.command_count:
                self.budget.active_clients -= 1
            self.budget.closing_clients += 1
        if not client.begin_closing(self.now()):
            self.remove(client, reason)

    def on_command_received(self, client: ClientConnection) -> None:
        """A command has arrived."""
        if client.command_count == 1:
            self.budget.active_clients += 1
        self._answered.pop(client, None)

    def on_commands_answered(self, client: ClientConnection) -> None:
        """All commands of a client are answered.

        Clients that send one command and keep their connection for good would fill all connections that the
        operators' front opens to a driver, and it would reject the next clients unseen by the driver. So the
        longest idle are closed when there are too many.
        """
        self._answered[client] = None
        while self.budget.too_many_active_clients and self._answered:
            longest_idle = next(iter(self._answered))
            del self._answered[longest_idle]
            if longest_idle is not client and longest_idle.is_idle:
                self.close_gracefully(longest_idle, CloseReason.DESCRIPTORS)

    def on_answers_unread(self, client: ClientConnection) -> None:
        """A client has much unsent; the worst are closed where that takes too much memory of all."""
        self._slow_readers[client] = SlowReader(client.unsent_bytes, self.now())
        while sum(reader.unsent_bytes for reader in self._slow_readers) > MAX_UNSENT_BYTES_OF_ALL:
            worst = max(self._slow_readers, key=lambda reader: reader.unsent_bytes)
            self.remove(worst, CloseReason.ANSWERS_UNREAD)

    def _look_at_slow_readers(self, now_us: int) -> None:
        for client, reader in list(self._slow_readers.items()):
            if not client.reads_slowly:
                del self._slow_readers[client]
                client.resume()
            elif client.unsent_bytes < reader.unsent_bytes:
                reader.unsent_bytes = client.unsent_bytes
                reader.stuck_since_us = now_us
            elif now_us - reader.stuck_since_us > UNREAD_TIMEOUT_US:
                self.remove(client, CloseReason.ANSWERS_UNREAD)

    def _evict_one(self, now_us: int) -> bool:
        """Close the connection that will be missed least; return False where there is none.

        That is one that is being closed, or never sent a command, else the longest idle; last, one that sent
        a part of its first command. It is closed at once, as its descriptor is needed now. One whose bytes
        wait to be read is about to ask, and stays.
        """
        candidates = [client for client in self.clients if self._may_be_evicted(client, now_us)]
        candidates.sort(key=_eviction_order)
        for client in candidates:
            if client.closing_since_us or client.is_idle:
                self.remove(client, CloseReason.DESCRIPTORS)
                return True
        for client in candidates:
            if not client.command_count and not client.has_unread_bytes():
                self.remove(client, CloseReason.DESCRIPTORS)
                return True
        return False

    @staticmethod
    def _may_be_evicted(client: ClientConnection, now_us: int) -> bool:
        if client.commands or client.unsent_bytes:
            return False
        if client.closing_since_us or not client.command_count:
            return True
        return now_us - client.last_active_us > SHORTAGE_IDLE_TIMEOUT_US

    def close_inactive(self) -> None:
        """Close connections whose time is up; called at intervals."""
        now_us = self.now()
        self._look_at_slow_readers(now_us)
        for client in list(self.clients):
            if client.closing_since_us:
                if client.close_timed_out(now_us):
                    self.remove(client, CloseReason.CLOSE_TIMEOUT)
            elif not client.commands:
                self._close_if_inactive(client, now_us)

    def _close_if_inactive(self, client: ClientConnection, now_us: int) -> None:
        idle_us = now_us - client.last_active_us
        idle_timeout_us = SHORTAGE_IDLE_TIMEOUT_US if self.budget.clients_nearly_full else IDLE_TIMEOUT_US
        if client.partial_since_us:
            if self._is_overdue(client, now_us - client.partial_since_us, COMMAND_TIMEOUT_US):
                client.close_with_error("08P01", "a command does not end", CloseReason.HALF_COMMAND)
        elif not client.command_count:
            if self._is_overdue(client, idle_us, FIRST_COMMAND_TIMEOUT_US):
                client.close_with_error("57P05", "nothing was asked", CloseReason.NO_COMMAND)
        elif idle_us > idle_timeout_us and client.is_idle:
            self.close_gracefully(client, CloseReason.IDLE)

    def _is_overdue(self, client: ClientConnection, waited_us: int, timeout_us: int) -> bool:
        """Whether a client's time is up; the next poll may read the rest of a command that is there.

        A part of the wait may lie before the connection was accepted, when nothing could be read.
        """
        if waited_us <= timeout_us:
            return False
        could_be_read_us = min(waited_us - timeout_us, self.now() - client.accepted_us)
        return could_be_read_us > UNREAD_BYTES_TIMEOUT_US or not client.has_unread_bytes()

    def close_when_answered(self) -> None:
        """Close idle connections now, and from now on the others once they are idle; called again and again.

        Those are read on until then: what was sent behind an open command was accepted with it, and is owed
        its answer. No connection stays busy for good, as requests are rejected at once in the end.
        """
        self.closing = True
        for client in list(self.clients):
            if not client.closing_since_us and client.is_idle:
                self.close_gracefully(client, CloseReason.SHUTDOWN)


def _eviction_order(client: ClientConnection) -> tuple[bool, bool, int]:
    return not client.closing_since_us, client.command_count > 0, client.last_active_us
