"""Dedicated monitoring connection to a MySQL endpoint, for health checks and KILL.

It is separate from the endpoint's pool, because neither may have to wait for a pooled connection. Owns that
connection and the number of pending KILL statements.
"""

from __future__ import annotations

from collections.abc import Sequence

import trio

from juniperreel.mysql.replies import Err
from juniperreel.net import ConnectError
from juniperreel.net.clock import US
from juniperreel.pool.connection import BackendConnection
from juniperreel.pool.errors import ConnectionLostError, ResultTooLargeError
from juniperreel.pool.result import Result, Statement
from juniperreel.proxy.endpoint_address import EndpointAddress
from juniperreel.proxy.mysql_pool import BackendConnector
from juniperreel.telemetry.metrics import Metrics

MAX_PENDING_KILLS = 8


class EndpointMonitor:
    """The monitoring connection of one endpoint, opened by its first attempt or health check.

    Its tasks run in `nursery`.
    """

    def __init__(
        self,
        address: EndpointAddress,
        connector: BackendConnector,
        kill_timeout_us: int,
        metrics: Metrics,
        nursery: trio.Nursery,
    ) -> None:
        self._address = address
        self._connector = connector
        self._kill_timeout_us = kill_timeout_us
        self._metrics = metrics
        self._nursery = nursery
        self._backend: BackendConnection | None = None
        self._lock = trio.Lock()  # serialises exchanges on the connection
        self._pending_kills = 0
        self._was_requested = False  # by `open_soon`
        self.statements_killed = 0

    @property
    def is_connected(self) -> bool:
        """Whether a connection was ever opened; it may have been lost since."""
        return self._backend is not None

    async def exchange(self, steps: Sequence[Statement]) -> list[Result | Err]:
        """Run statements on the connection, opening it if necessary.

        Raises ConnectError, ConnectionLostError or ResultTooLargeError.
        """
        async with self._lock:
            backend = await self._connected()
            return await backend.exchange(steps)

    async def _connected(self) -> BackendConnection:
        """Return the open connection, opening it if necessary. Requires the lock; raises ConnectError."""
        if self._backend is None or self._backend.close_reason:
            self._backend = await self._connector.connect(self._address)
            self._nursery.start_soon(self._backend.run)
        return self._backend

    def open_soon(self) -> None:
        """Open the connection in the background, for the first statement that may have to be killed.

        Only the first call has an effect: if it fails, the next health check opens the connection.
        """
        if self._backend is None and not self._was_requested:
            self._was_requested = True
            self._nursery.start_soon(self._open)

    async def _open(self) -> None:
        try:
            async with self._lock:
                await self._connected()
        except ConnectError:
            pass  # the attempts and health checks that need the endpoint report it

    def close(self) -> None:
        """Close the connection; the next exchange opens a new one."""
        if self._backend is not None:
            self._backend.close()

    def kill_statement_of(self, connection: BackendConnection) -> None:
        """Kill the abandoned statement on a closed connection, which the endpoint would otherwise complete.

        After a restart, the server may have assigned the same thread id to another client's connection, which
        would be killed instead. A monitoring connection that was open while the closed connection was in use,
        and still is, rules that out; so none is opened for a KILL. See `open_soon`.
        """
        backend = self._backend
        if backend is None or backend.close_reason or self._pending_kills >= MAX_PENDING_KILLS:
            return
        self._pending_kills += 1
        self._nursery.start_soon(self._kill, backend, connection.thread_id)

    async def _kill(self, backend: BackendConnection, thread_id: int) -> None:
        try:
            with trio.move_on_after(self._kill_timeout_us / US):
                async with self._lock:
                    if not backend.close_reason:
                        await backend.exchange([Statement(f"kill {thread_id}".encode())])
                        self.statements_killed += 1
                        self._metrics.pool_kills.inc()
        except (ConnectionLostError, ResultTooLargeError):
            pass  # the monitoring connection was lost; the statement may have ended with the server
        finally:
            self._pending_kills -= 1
