"""Dedicated monitoring connection to a MySQL endpoint, for health checks and KILL.

It is separate from the endpoint's pool, because neither may have to wait for a pooled connection. Owns that
connection and the number of pending KILL statements.
"""

from __future__ import annotations

from collections.abc import Sequence

import trio

from juniperreel.mysql.replies import Err
from juniperreel.net.clock import US
from juniperreel.pool.connection import BackendConnection
from juniperreel.pool.errors import ConnectionLostError, ResultTooLargeError
from juniperreel.pool.result import Result, Statement
from juniperreel.proxy.endpoint_address import EndpointAddress
from juniperreel.proxy.mysql_pool import BackendConnector
from juniperreel.telemetry.metrics import Metrics

MAX_PENDING_KILLS = 8


class EndpointMonitor:
    """The monitoring connection of one endpoint, opened on first use; its tasks run in `nursery`."""

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
            if self._backend is None or self._backend.close_reason:
                self._backend = await self._connector.connect(self._address)
                self._nursery.start_soon(self._backend.run)
            return await self._backend.exchange(steps)

    def close(self) -> None:
        """Close the connection; the next exchange opens a new one."""
        if self._backend is not None:
            self._backend.close()

    def kill_statement_of(self, connection: BackendConnection) -> None:
        """Kill the abandoned statement on a closed connection, which the endpoint would otherwise complete.

        After a restart, the server may have assigned the same thread id to another client's connection, which
        would be killed instead. A monitoring connection that was open while the closed connection was in use,
        and still is, rules that out; so none is opened for a KILL.
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
