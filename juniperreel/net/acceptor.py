"""A listening socket on a `Poller`: accepted connections become transports."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from juniperreel.net.accept_pause import AcceptPause
from juniperreel.net.network import BACKLOG, DESCRIPTOR_EXHAUSTION_ERRNOS, address_family
from juniperreel.net.poller import Poller
from juniperreel.net.transport import Transport


class Acceptor:
    """Listens on an address and hands each new connection to a callback as a transport."""

    ACCEPTS_PER_EVENT = 64

    def __init__(
        self, poller: Poller, host: str, port: int, on_accepted: Callable[[Transport], None]
    ) -> None:
        """Start to listen. Raises OSError where the address can't be had."""
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
        self.exhausted_us = 0  # when descriptors ran out last; nothing is accepted until `retry`
        # Since when connections that are accepted now may have waited in the kernel; 0 where none does.
        self.waiting_since_us = 0
        self._pause = AcceptPause()  # before the next attempt after a failure
        poller.add(self._socket.fileno(), select.EPOLLIN, self)

    def handle_event(self, _mask: int) -> None:
        """Accept what waits, up to `ACCEPTS_PER_EVENT` connections."""
        self._accept(self.ACCEPTS_PER_EVENT)

    def _accept(self, max_connections: int) -> bool:
        """Accept so many connections at most; return whether none is known to wait any more."""
        self.waiting_since_us = self.waiting_since_us or self._poller.ready_since_us
        for _ in range(max_connections):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                self.waiting_since_us = 0
                return True
            except OSError as error:
                if error.errno in DESCRIPTOR_EXHAUSTION_ERRNOS:
                    # The kernel keeps the connection pending and would report it with every poll, so the
                    # loop would spin until a descriptor is free.
                    self.exhausted_us = self._poller.clock.now_us()
                    self._pause.lengthen()
                    self._poller.change(self._socket.fileno(), 0)
                    return False
                continue  # the failure of one connection that was never established
            self._pause.reset()
            transport = self._prepare(connection)
            if transport is not None:
                self._on_accepted(transport)
        self._forget_wait_unless_connections_wait()
        return False

    def _prepare(self, connection: socket.socket) -> Transport | None:
        """Return the connection's transport, or close one that the system has no resources for."""
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return Transport(self._poller, connection)
        except OSError:
            connection.close()
            return None

    def retry_due_us(self) -> int | None:
        """Return when `retry` is to be called; None where nothing has failed."""
        if not self.exhausted_us or not self.is_open:
            return None
        return self.exhausted_us + self._pause.us

    def retry(self, now_us: int) -> None:
        """Accept again, once the pause after descriptors ran out has passed."""
        due_us = self.retry_due_us()
        if due_us is not None and now_us >= due_us:
            self.exhausted_us = 0
            self._forget_wait_unless_connections_wait()
            self._poller.change(self._socket.fileno(), select.EPOLLIN)

    def _forget_wait_unless_connections_wait(self) -> None:
        """Otherwise the next connection, however much later, would count as waiting since then."""
        if not self._connection_waits():
            self.waiting_since_us = 0

    def _connection_waits(self) -> bool:
        """Return whether the kernel holds a connection, which it tells without any free descriptor."""
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Accept the connections that the kernel has already established, then stop listening.

        Those that can't be accepted now would be reset with the requests that were sent on them: the listener
        stays open then, and `close` is to be called again.
        """
        if self.is_open and self._accept(BACKLOG):
            self.is_open = False
            self._poller.remove(self._socket.fileno())
            self._socket.close()
