"""One endpoint's pool of MySQL connections: carries out what `pool.core` decides.

Owns the open connections and those who wait for one. Must never choose the endpoint or retry.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from itertools import count

import trio

from juniperreel.net import Clock, ConnectError, ConnectTimedOutError, Network
from juniperreel.pool.config import BackendConfig
from juniperreel.pool.connection import BackendConnection
from juniperreel.pool.core import Pool
from juniperreel.pool.error_codes import ErrorCategory, error_category
from juniperreel.pool.errors import LoginRejectedError
from juniperreel.pool.session_state import SessionState
from juniperreel.pool.types import (
    AcquireRejected,
    AcquireRequest,
    CloseConnection,
    Lease,
    LeaseGranted,
    OpenConnection,
    PoolAction,
    RejectionReason,
)
from juniperreel.proxy.endpoint_address import EndpointAddress
from juniperreel.rpc.channel import CallUnprocessedError
from juniperreel.telemetry.metrics import Metrics

# Why a connection is not lent again, as metrics show it.
TAINTED = "something was left on it"
BROKEN = "it broke, or an exchange did"
TRANSACTION_OPEN = "a transaction was open"


class BackendConnector:
    """Opens connections to endpoints, and counts them in `opened`."""

    def __init__(self, network: Network, login: BackendConfig, timeout_us: int) -> None:
        self._network = network
        self._login = login
        self._timeout_us = timeout_us
        self.opened = 0

    async def connect(self, address: EndpointAddress) -> BackendConnection:
        """Connect and log in. Raises ConnectError."""
        backend = await BackendConnection.open(
            self._network, address.host, address.port, self._login, self._timeout_us
        )
        self.opened += 1
        return backend


class PoolWaiter:
    """One attempt that waits for a connection, until it has a lease or a reason why not."""

    def __init__(self) -> None:
        self.decided = trio.Event()
        self.lease: Lease[BackendConnection] | None = None
        self.rejection_reason = ""

    def grant(self, lease: Lease[BackendConnection]) -> None:
        """Give it the connection."""
        self.lease = lease
        self.decided.set()

    def reject(self, reason: str) -> None:
        """Give it nothing."""
        self.rejection_reason = reason
        self.decided.set()


class EndpointPool:
    """The connections to one endpoint at one address; their tasks live in `nursery`.

    `core` decides, and is read by others for its counts; all changes pass through this class. `on_waiting` is
    called when the pool has somebody waiting, and so a deadline that may come earlier.
    """

    def __init__(
        self,
        endpoint: str,
        address: EndpointAddress,
        core: Pool[BackendConnection],
        connector: BackendConnector,
        clock: Clock,
        metrics: Metrics,
        nursery: trio.Nursery,
        on_waiting: Callable[[], None],
    ) -> None:
        self.address = address
        self.core = core
        self._endpoint = endpoint
        self._connector = connector
        self._clock = clock
        self._metrics = metrics
        self._nursery = nursery
        self._on_waiting = on_waiting
        self._waiters: dict[Hashable, PoolWaiter] = {}
        self._want_ids = count()
        self._last_failure = ""

    def process_due(self, now_us: int) -> None:
        """Close, open and reject what is due."""
        self._apply(self.core.tick(now_us))

    @property
    def is_draining(self) -> bool:
        """Whether `drain` was called, and `resume` not since."""
        return self.core.draining

    def next_due_us(self, now_us: int) -> int | None:
        """When `process_due` should be called next, None for no deadline."""
        return self.core.next_tick_us(now_us)

    def resume(self) -> None:
        """Lend connections again after `drain`."""
        self.core.resume()

    def drain(self) -> None:
        """Reject who waits, and close connections as they come back."""
        self._apply(self.core.drain())

    async def lease(
        self, tenant_index: int, priority_weight: float, state: SessionState
    ) -> Lease[BackendConnection]:
        """Wait for a connection, preferably one in this session state.

        Raises ConnectError or CallUnprocessedError.
        """
        while True:
            want = AcquireRequest(next(self._want_ids), tenant_index, priority_weight, session_state=state)
            lease = await self._wait_for_lease(want)
            if not lease.connection.close_reason:
                return lease
            self.give_back(lease, reusable=False)  # the endpoint closed it while it was idle

    async def _wait_for_lease(self, want: AcquireRequest) -> Lease[BackendConnection]:
        waiter = PoolWaiter()
        self._waiters[want.id] = waiter
        try:
            self._apply(self.core.acquire(self._clock.now_us(), want))
            await waiter.decided.wait()
        except trio.Cancelled:
            self._abandon(want, waiter)
            raise
        if waiter.lease is not None:
            return waiter.lease
        reason = waiter.rejection_reason
        if reason in (RejectionReason.UNREACHABLE, RejectionReason.DRAINING):
            raise ConnectTimedOutError(f"{self._endpoint}: {reason}; {self._last_failure}")
        raise CallUnprocessedError(f"{self._endpoint}: {reason}")

    def _abandon(self, want: AcquireRequest, waiter: PoolWaiter) -> None:
        if waiter.lease is not None:
            self.give_back(waiter.lease, reusable=True)
        else:
            self._waiters.pop(want.id, None)
            self._apply(self.core.cancel(want.id))

    def give_back(self, lease: Lease[BackendConnection], reusable: bool) -> None:
        """End a lease. A connection that is broken or in doubt is closed, `reusable` or not."""
        backend = lease.connection
        reason = "" if reusable else TAINTED
        if backend.close_reason or backend.session.in_flight:
            reason = BROKEN
        elif backend.session.in_transaction:
            # A transaction that is still open would take in the next client's statement.
            reason = TRANSACTION_OPEN
        if reason:
            self._metrics.pool_spent.labels(reason).inc()
            backend.close()
        self._apply(self.core.release(self._clock.now_us(), lease, not reason, backend.session_state))

    def _apply(self, actions: Sequence[PoolAction[BackendConnection]]) -> None:
        for action in actions:
            match action:
                case LeaseGranted(lease):
                    self._grant(lease)
                case AcquireRejected(want, reason):
                    self._metrics.pool_turned.labels(reason).inc()
                    waiter = self._waiters.pop(want.id, None)
                    if waiter is not None:
                        waiter.reject(reason)
                case OpenConnection():
                    self._nursery.start_soon(self._open)
                case CloseConnection(backend):
                    self._nursery.start_soon(backend.quit)
        if self.core.waiting:
            self._on_waiting()

    def _grant(self, lease: Lease[BackendConnection]) -> None:
        waiter = self._waiters.pop(lease.request.id, None)
        if waiter is not None:
            waiter.grant(lease)
        else:  # its attempt was cancelled in the same moment
            now = self._clock.now_us()
            self._apply(self.core.release(now, lease, True, lease.connection.session_state))

    async def _open(self) -> None:
        try:
            backend = await self._connector.connect(self.address)
        except ConnectError as error:
            self._last_failure = str(error)
            is_busy = (
                isinstance(error, LoginRejectedError)
                and error_category(error.code) is ErrorCategory.OVERLOADED
            )
            self._apply(self.core.open_failed(self._clock.now_us(), is_busy))
            return
        except BaseException:
            self.core.open_cancelled(self._clock.now_us())
            raise
        self._nursery.start_soon(self._read_until_closed, backend)
        self._apply(self.core.connection_opened(self._clock.now_us(), backend, backend.session_state))

    async def _read_until_closed(self, backend: BackendConnection) -> None:
        await backend.run()
        self._apply(self.core.connection_lost(self._clock.now_us(), backend))
