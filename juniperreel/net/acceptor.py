"""A listening socket registered with a `Poller`."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from juniperreel.net.accept_pause import AcceptBackoff
from juniperreel.net.network import BACKLOG, DESCRIPTOR_EXHAUSTION_ERRNOS, address_family
from juniperreel.net.poller import Poller
from juniperreel.net.transport import Transport


class Acceptor:
    """Listens on an address and hands each new connection to a callback as a transport."""

    ACCEPTS_PER_EVENT = 64

    def __init__(
        self, poller: Poller, host: str, port: int, on_accepted: Callable[[Transport], None]
    ) -> None:
        """Start listening. Raises OSError if the address is not available."""
        self._poller = poller
        self._on_accepted = on_accepted
        self._socket = socket.socket(address_family(host), socket.SOCK_STREAM)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind((host, port))
            self._socket.listen(BACKLOG)
            self._socket.setblocking(False)
        except BaseException:
            self._socket.close()
            raise
        self.port: int = self._socket.getsockname()[1]
        self.is_open = True
        # When accept() last ran out of descriptors or memory, else 0; accepting is suspended until `retry`.
        self.exhausted_us = 0
        # Earliest time at which connections accepted now may have entered the kernel's accept queue; 0 if the
        # queue is empty.
        self.waiting_since_us = 0
        self._backoff = AcceptBackoff()
        poller.add(self._socket.fileno(), select.EPOLLIN, self)

    def handle_event(self, _mask: int) -> None:
        """Accept up to `ACCEPTS_PER_EVENT` pending connections."""
        self._accept(self.ACCEPTS_PER_EVENT)

    def _accept(self, max_connections: int) -> bool:
        """Accept at most `max_connections`; return whether the accept queue was drained."""
        self.waiting_since_us = self.waiting_since_us or self._poller.ready_since_us
        for _ in range(max_connections):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                self.waiting_since_us = 0
                return True
            except OSError as error:
                if error.errno in DESCRIPTOR_EXHAUSTION_ERRNOS:
                    # The connection stays in the accept queue and every poll would report it: the loop would
                    # spin until a descriptor is free.
                    self.exhausted_us = self._poller.clock.now_us()
                    self._backoff.record_failure()
                    self._poller.change(self._socket.fileno(), 0)
                    return False
                continue  # this connection was aborted before it was accepted
            self._backoff.reset()
            transport = self._create_transport(connection)
            if transport is not None:
                self._on_accepted(transport)
        self._reset_waiting_since_if_queue_empty()
        return False

    def _create_transport(self, connection: socket.socket) -> Transport | None:
        """Return a transport for the connection, or close it and return None if resources are exhausted."""
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return Transport(self._poller, connection)
        except OSError:
            connection.close()
            return None

    def retry_due_us(self) -> int | None:
        """Return when `retry` is due; None unless accepting is suspended."""
        if not self.exhausted_us or not self.is_open:
            return None
        return self.exhausted_us + self._backoff.delay_us

    def retry(self, now_us: int) -> None:
        """Resume accepting if the backoff delay has elapsed."""
        due_us = self.retry_due_us()
        if due_us is not None and now_us >= due_us:
            self.exhausted_us = 0
            self._reset_waiting_since_if_queue_empty()
            self._poller.change(self._socket.fileno(), select.EPOLLIN)

    def _reset_waiting_since_if_queue_empty(self) -> None:
        """Clear `waiting_since_us`; a stale value would be attributed to later connections."""
        if not self._has_pending_connection():
            self.waiting_since_us = 0

    def _has_pending_connection(self) -> bool:
        """Return whether the accept queue is non-empty; poll() reports this without a free descriptor."""
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Drain the accept queue, then stop listening.

        Closing the listener resets connections still in the queue, and the requests already sent on them are
        lost. If they cannot all be accepted now, the listener stays open and `close` must be called again.
        """
        if self.is_open and self._accept(BACKLOG):
            self.is_open = False
            self._poller.remove(self._socket.fileno())
            self._socket.close()
