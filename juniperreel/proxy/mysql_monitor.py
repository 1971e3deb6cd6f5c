"""One connection to an endpoint beside its pool: health checks and KILL must not wait for pooled connections.

Owns that connection and the number of KILLs that wait for it.
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
    """The monitoring connection of one endpoint, opened when first needed; its tasks live in `nursery`."""

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
        self._lock = trio.Lock()  # exchanges on one connection follow one another
        self._pending_kills = 0
        self.killed = 0

    @property
    def is_connected(self) -> bool:
        """Whether a connection was ever opened; it may have broken since."""
        return self._backend is not None

    async def exchange(self, steps: Sequence[Statement]) -> list[Result | Err]:
        """Run statements on the connection.

        Raises ConnectError, ConnectionLostError or ResultTooLargeError.
        """
        async with self._lock:
            if self._backend is None or self._backend.close_reason:
                self._backend = await self._connector.connect(self._address)
                self._nursery.start_soon(self._backend.run)
            return await self._backend.exchange(steps)

    def close(self) -> None:
        """Close the connection; the next exchange opens another."""
        if self._backend is not None:
            self._backend.close()

    def kill_statement_of(self, victim: BackendConnection) -> None:
        """Have the endpoint end a statement that nobody waits for; without this it would run on.

        If the server was restarted, it may have given the victim's number to another client's connection,
        which would be killed instead. Only a connection that lived beside the victim proves that it was not.
        """
        backend = self._backend
        if backend is None or backend.close_reason or self._pending_kills >= MAX_PENDING_KILLS:
            return
        self._pending_kills += 1
        self._nursery.start_soon(self._kill, backend, victim.thread_id)

    async def _kill(self, backend: BackendConnection, thread: int) -> None:
        try:
            with trio.move_on_after(self._kill_timeout_us / US):
                async with self._lock:
                    if not backend.close_reason:
                        await backend.exchange([Statement(f"kill {thread}".encode())])
                        self.killed += 1
                        self._metrics.pool_kills.inc()
        except (ConnectionLostError, ResultTooLargeError):
            pass  # the connection broke, and the server's statement may have ended with it
        finally:
            self._pending_kills -= 1
