"""The MySQL front end: accepts connections and drains them on shutdown."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from itertools import count

import trio

from juniperreel.causal import Keyring
from juniperreel.frontends.mysql.connection import Connection
from juniperreel.frontends.mysql.context import FrontendContext, MysqlOptions
from juniperreel.frontends.mysql.errors import SHUTDOWN_RESPONSE, TOO_MANY_CONNECTIONS_RESPONSE
from juniperreel.mysql.auth import NONCE_BYTES
from juniperreel.mysql.server import ServerSession
from juniperreel.net import Clock, Listener
from juniperreel.net.accept import serve_connections
from juniperreel.net.clock import US
from juniperreel.proxy import RequestDriver
from juniperreel.statements import StatementClassifier

DRAIN_POLL_S = 0.05  # between checks for transactions that endpoints may have ended
REJECTION_TIMEOUT_S = 1  # for sending the error to a rejected client
MIN_UPTIME_S = 1e-3  # avoids a division by zero in the query rate


class MysqlFrontend:
    """Owns the connections, but no state of their statements."""

    def __init__(
        self,
        driver: RequestDriver,
        keyring: Keyring,
        clock: Clock,
        options: MysqlOptions,
        nonce: Callable[[], bytes],
    ) -> None:
        """`nonce` draws NONCE_BYTES random bytes without NUL for each connection."""
        self._context = FrontendContext(driver, keyring, clock, options, StatementClassifier())
        self._nonce = nonce
        self._connection_ids = count(1)
        self._connections: set[Connection] = set()
        self._started_us = clock.now_us()
        self._commands_started = 0
        self._draining = False
        self._command_finished = trio.Event()

    @property
    def connections(self) -> int:
        """The number of open connections, including those that are being rejected."""
        return len(self._connections)

    @property
    def draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._draining

    def statistics(self) -> str:
        """The text of COM_STATISTICS, which clients parse; figures that the edge does not count are 0."""
        uptime_s = max((self._context.clock.now_us() - self._started_us) / US, MIN_UPTIME_S)
        return (
            f"Uptime: {uptime_s:.0f}  Threads: {self.connections}  Questions: {self._commands_started}  "
            "Slow queries: 0  Opens: 0  Flush tables: 0  Open tables: 0  "
            f"Queries per second avg: {self._commands_started / uptime_s:.3f}"
        )

    async def drain(self) -> None:
        """Start nothing new; return when no connection has a command in flight or a transaction open."""
        self._draining = True
        while any(connection.blocks_drain for connection in self._connections):
            self._command_finished = trio.Event()
            with trio.move_on_after(DRAIN_POLL_S):
                await self._command_finished.wait()

    def on_command_started(self) -> None:
        """Count a command."""
        self._commands_started += 1

    def on_command_finished(self) -> None:
        """Let a drain check again whether all connections have finished."""
        if self._draining:
            self._command_finished.set()

    async def serve(
        self, listener: Listener, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled or the listener is closed."""
        await serve_connections(listener, self._serve_connection, task_status)

    async def _serve_connection(self, stream: trio.abc.Stream) -> None:
        options = self._context.options
        protocol = ServerSession(
            next(self._connection_ids),
            self._nonce(),
            options.users.get,
            options.max_packet,
            options.login_plugin,
            tls=options.tls is not None,
            schema=options.schema,
        )
        connection = Connection(self, self._context, protocol, stream)
        self._connections.add(connection)
        try:
            if self._draining or len(self._connections) > options.max_connections:
                await self._reject(protocol, stream)
            else:
                protocol.start()
                await connection.run()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            pass  # the client disconnected or does not read; its command in flight has been cancelled
        except* Exception as errors:
            # An unexpected exception on one connection must not end the edge and its other connections.
            self._context.driver.log.exception("MySQL connection failed", exc_info=errors)
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(stream)

    async def _reject(self, protocol: ServerSession, stream: trio.abc.Stream) -> None:
        response = SHUTDOWN_RESPONSE if self._draining else TOO_MANY_CONNECTIONS_RESPONSE
        response.write_to(protocol)
        with trio.move_on_after(REJECTION_TIMEOUT_S):
            await stream.send_all(protocol.data_to_send())


def generate_nonce() -> bytes:
    """Draw NONCE_BYTES random bytes without NUL."""
    return bytes(1 + secrets.randbelow(127) for _ in range(NONCE_BYTES))
