"""Manages the client connections of one driver, including timeouts and eviction under descriptor shortage."""

from __future__ import annotations

from collections.abc import Callable

from juniperreel.net.transport import Transport
from juniperreel.platform.answer_buffers import AnswerBuffers
from juniperreel.platform.client_connection import ClientConnection
from juniperreel.platform.command import RequestHandler
from juniperreel.platform.command_intake import CommandIntake
from juniperreel.platform.counters import CloseReason
from juniperreel.platform.descriptor_budget import DescriptorBudget
from juniperreel.platform.eviction import SHORTAGE_IDLE_TIMEOUT_US, EvictionOrder
from juniperreel.platform.input_buffers import InputBuffers
from juniperreel.platform.memory_budget import MemoryBudget
from juniperreel.platform.slow_readers import SlowReaders

FIRST_COMMAND_TIMEOUT_US = 2_000_000  # for the first command of a connection
COMMAND_TIMEOUT_US = 2_000_000  # for the rest of a partially received command
UNREAD_BYTES_TIMEOUT_US = 500_000  # added to those while received bytes have not been read yet
# Of the answers' share, that all slow readers together may leave unsent. Each may have been sent one answer
# after the share was used up.
MAX_UNSENT_SHARES = 2
IDLE_TIMEOUT_US = 60_000_000


class ClientListener:
    """Owns all client connections and maintains their shares of the descriptor and memory budgets."""

    def __init__(
        self,
        handler: RequestHandler,
        now: Callable[[], int],
        budget: DescriptorBudget,
        memory: MemoryBudget,
    ) -> None:
        """`handler` answers the clients' requests."""
        self.memory = memory
        self.input_buffers = InputBuffers(memory)
        self.answer_buffers = AnswerBuffers(memory.answers)
        self.intake = CommandIntake()
        self.overload_refusals = 0  # commands refused because more arrive than can be routed
        self.handler = handler
        self.now = now
        self.budget = budget
        self.clients: set[ClientConnection] = set()
        self.closing = False  # whether connections are closed once their commands are answered
        self._eviction_order: EvictionOrder[ClientConnection] = EvictionOrder()
        self._slow_readers: SlowReaders[ClientConnection] = SlowReaders()

    def accept(self, transport: Transport, waiting_since_us: int = 0) -> None:
        """Serve a new connection, or close it if no descriptor is left for it.

        It may have waited in the backlog since `waiting_since_us`; the time of its requests counts from then.
        """
        now_us = self.now()
        if self.budget.clients_full and not self._evict_one(now_us):
            transport.close()
            return
        client = ClientConnection(self, transport, now_us, waiting_since_us)
        self.clients.add(client)
        self._eviction_order.on_accepted(client)
        self.budget.clients += 1

    def remove(self, client: ClientConnection, reason: CloseReason) -> None:
        """Close a connection immediately and withdraw its open requests."""
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
        self._eviction_order.remove(client)
        self._slow_readers.remove(client)
        if reason is not CloseReason.CLIENT_LEFT and client.unsent_answer_bytes:
            self.handler.answers_dropped(client.unsent_answer_bytes, reason)
        for command in client.close():
            if command.request_id is not None:
                self.handler.client_disconnected(command)

    def close_gracefully(self, client: ClientConnection, reason: CloseReason) -> None:
        """Close a connection gracefully; its descriptor is freed once the client has closed its side, too.

        Until then it is counted as closing. If it still counted as active, the driver would close all idle
        connections when only one exceeds the limit.
        """
        if not client.closing_since_us:
            self._eviction_order.on_closing(client)
            self.handler.connection_closed(client.unanswered_requests(), reason)
            if client.command_count:
                self.budget.active_clients -= 1
            self.budget.closing_clients += 1
        if not client.begin_closing(self.now()):
            self.remove(client, reason)

    def on_command_received(self, client: ClientConnection) -> None:
        """Mark the client as busy; count it as active on its first command."""
        if client.command_count == 1:
            self.budget.active_clients += 1
        self._eviction_order.on_command_received(client)

    def on_first_command_incomplete(self, client: ClientConnection) -> None:
        """Prefer to keep the client over those that never sent anything."""
        self._eviction_order.on_first_command_incomplete(client)

    def on_commands_answered(self, client: ClientConnection) -> None:
        """Mark the client as idle, and close the longest idle clients if too many are active.

        Clients that send one command and then keep their connection would use up all connections that the
        platform's front end opens to a driver. It would then reject new clients before they reach the driver.
        """
        self._eviction_order.on_commands_answered(client)
        while self.budget.too_many_active_clients:
            longest_idle = self._eviction_order.longest_idle
            if longest_idle is None:
                break
            self._eviction_order.remove(longest_idle)
            if longest_idle is not client and longest_idle.is_idle:
                self.close_gracefully(longest_idle, CloseReason.DESCRIPTORS)

    def on_answers_unread(self, client: ClientConnection) -> None:
        """Track a slow reader, and close the worst ones if their total unsent output is too large."""
        self._slow_readers.add(client, self.now())
        for worst in self._slow_readers.worst_beyond(self.memory.answers.limit * MAX_UNSENT_SHARES):
            self.remove(worst, CloseReason.ANSWERS_UNREAD)

    def watch_slow_reader(self, client: ClientConnection) -> None:
        """Resume a client that is not read once its answers have been sent, or others leave room for them."""
        if client not in self._slow_readers:
            self.on_answers_unread(client)

    def _check_slow_readers(self, now_us: int) -> None:
        for client in self._slow_readers.take_recovered():
            client.resume()
        for client in self._slow_readers.stalled(now_us):
            self.remove(client, CloseReason.ANSWERS_UNREAD)

    def _evict_one(self, now_us: int) -> bool:
        """Close the least valuable connection to free its descriptor; return False if there is none."""
        client = self._eviction_order.find(now_us)
        if client is None:
            return False
        self.remove(client, CloseReason.DESCRIPTORS)
        return True

    def close_inactive(self) -> None:
        """Close connections that have timed out; called periodically."""
        now_us = self.now()
        self._check_slow_readers(now_us)
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
                client.close_with_error("08P01", "a command does not end", CloseReason.INCOMPLETE_COMMAND)
        elif not client.command_count:
            if self._is_overdue(client, idle_us, FIRST_COMMAND_TIMEOUT_US):
                client.close_with_error("57P05", "nothing was asked", CloseReason.NO_COMMAND)
        elif idle_us > idle_timeout_us and client.is_idle:
            self.close_gracefully(client, CloseReason.IDLE)

    def _is_overdue(self, client: ClientConnection, waited_us: int, timeout_us: int) -> bool:
        """Return whether a client has timed out, allowing for input that the next poll will read.

        Part of the wait may precede the accept, when nothing could be read.
        """
        if waited_us <= timeout_us:
            return False
        could_be_read_us = min(waited_us - timeout_us, self.now() - client.accepted_us)
        return could_be_read_us > UNREAD_BYTES_TIMEOUT_US or not client.has_unread_bytes()

    def close_when_answered(self) -> None:
        """Close idle connections now and the others once they are idle; called repeatedly.

        Busy connections are still read, because commands sent after an open one must be answered, too. None
        stays busy indefinitely: the last phase of a shutdown rejects requests immediately.
        """
        self.closing = True
        for client in list(self.clients):
            if not client.closing_since_us and client.is_idle:
                self.close_gracefully(client, CloseReason.SHUTDOWN)
