"""Connection pool of one MySQL endpoint: carries out the actions that `pool.core` decides on.

Owns the open connections and the attempts that wait for one. Must never choose the endpoint or retry.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
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

# Reasons for closing a connection at the end of its lease; values of the metric's label `reason`.
TAINTED = "something was left on it"
CONNECTION_BROKEN = "it broke, or an exchange did"
TRANSACTION_OPEN = "a transaction was open"


class BackendConnector:
    """Opens connections to endpoints, and counts them in `connections_opened`."""

    def __init__(self, network: Network, login: BackendConfig, timeout_us: int) -> None:
        self._network = network
        self._login = login
        self._timeout_us = timeout_us
        self.connections_opened = 0

    async def connect(self, address: EndpointAddress) -> BackendConnection:
        """Connect and log in. Raises ConnectError."""
        backend = await BackendConnection.open(
            self._network, address.host, address.port, self._login, self._timeout_us
        )
        self.connections_opened += 1
        return backend


def _never() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """An attempt's request for a connection.

    Attributes:
        state: A connection that is already in this session state is preferred.
        waiting_since_us: When its request began waiting; of a tenant and priority the oldest is served first.
        may_wait_again: Asked whenever the pool's time-out has passed: whether to keep the place in the queue.
    """

    tenant_index: int
    priority_weight: float
    state: SessionState
    waiting_since_us: int
    may_wait_again: Callable[[], bool] = _never


class PoolWaiter:
    """An attempt that waits for a connection, until it is granted a lease or rejected."""

    def __init__(self) -> None:
        self.decided = trio.Event()
        self.lease: Lease[BackendConnection] | None = None
        self.rejection_reason = ""

    def grant(self, lease: Lease[BackendConnection]) -> None:
        """Wake the attempt with a lease."""
        self.lease = lease
        self.decided.set()

    def reject(self, reason: str) -> None:
        """Wake the attempt with a rejection."""
        self.rejection_reason = reason
        self.decided.set()


class EndpointPool:
    """The connections to one endpoint at one address; their tasks run in `nursery`.

    Other modules may read counts from `core`, but only this class changes it. `on_waiting` is called when
    attempts wait for a connection, since `next_due_us` may then be earlier than before.
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
        self._acquire_ids = count()
        self._last_failure = ""

    def process_due(self, now_us: int) -> None:
        """Close and open connections, and reject waiting attempts, as deadlines pass."""
        self._apply(self.core.tick(now_us))

    @property
    def is_draining(self) -> bool:
        """Whether `drain` was called, and `resume` has not been called since."""
        return self.core.draining

    def next_due_us(self, now_us: int) -> int | None:
        """The time of the next call of `process_due`, None if there is no deadline."""
        return self.core.next_tick_us(now_us)

    def resume(self) -> None:
        """Grant leases again after `drain`."""
        self.core.resume()

    def drain(self) -> None:
        """Reject waiting attempts, and close connections when they are idle or returned."""
        self._apply(self.core.drain())

    async def lease(self, request: LeaseRequest) -> Lease[BackendConnection]:
        """Wait for a connection. Raises ConnectError or CallUnprocessedError."""
        while True:
            lease = await self._try_lease(request)
            if lease is None:
                continue
            if not lease.connection.close_reason:
                return lease
            self.return_lease(lease, reusable=False)  # closed by the endpoint while idle

    async def _try_lease(self, request: LeaseRequest) -> Lease[BackendConnection] | None:
        """Wait for a connection until the pool's time-out; None if the request may wait again then."""
        acquire_request = AcquireRequest(
            next(self._acquire_ids),
            request.tenant_index,
            request.priority_weight,
            session_state=request.state,
            waiting_since_us=request.waiting_since_us,
        )
        waiter = await self._wait_for_decision(acquire_request)
        if waiter.lease is not None:
            return waiter.lease
        reason = waiter.rejection_reason
        # Without a wait (`wait 0`), asking again would keep the loop busy until the request's deadline.
        waited = self.core.config.acquire_timeout_us > 0
        if waited and reason == RejectionReason.TIMED_OUT and request.may_wait_again():
            return None
        if reason in (RejectionReason.UNREACHABLE, RejectionReason.DRAINING):
            raise ConnectTimedOutError(f"{self._endpoint}: {reason}; {self._last_failure}")
        raise CallUnprocessedError(f"{self._endpoint}: {reason}")

    async def _wait_for_decision(self, acquire_request: AcquireRequest) -> PoolWaiter:
        waiter = PoolWaiter()
        self._waiters[acquire_request.id] = waiter
        try:
            self._apply(self.core.acquire(self._clock.now_us(), acquire_request))
            await waiter.decided.wait()
        except trio.Cancelled:
            self._cancel_acquire(acquire_request, waiter)
            raise
        return waiter

    def _cancel_acquire(self, acquire_request: AcquireRequest, waiter: PoolWaiter) -> None:
        if waiter.lease is not None:
            self.return_lease(waiter.lease, reusable=True)
        else:
            self._waiters.pop(acquire_request.id, None)
            self._apply(self.core.cancel(acquire_request.id))

    def return_lease(self, lease: Lease[BackendConnection], reusable: bool) -> None:
        """End a lease. A connection that is closed or in an uncertain state is never reused."""
        backend = lease.connection
        reason = "" if reusable else TAINTED
        if backend.close_reason or backend.session.in_flight:
            reason = CONNECTION_BROKEN
        elif backend.session.in_transaction:
            # The next client's statement would become part of the transaction that is still open.
            reason = TRANSACTION_OPEN
        if reason:
            self._metrics.pool_discards.labels(reason).inc()
            backend.close()
        self._apply(self.core.release(self._clock.now_us(), lease, not reason, backend.session_state))

    def _apply(self, actions: Sequence[PoolAction[BackendConnection]]) -> None:
        for action in actions:
            match action:
                case LeaseGranted(lease):
                    self._grant(lease)
                case AcquireRejected(acquire_request, reason):
                    self._metrics.pool_rejections.labels(reason).inc()
                    waiter = self._waiters.pop(acquire_request.id, None)
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
        else:  # its attempt was cancelled at the same time
            now = self._clock.now_us()
            self._apply(self.core.release(now, lease, True, lease.connection.session_state))

    async def _open(self) -> None:
        try:
            backend = await self._connector.connect(self.address)
        except ConnectError as error:
            self._last_failure = str(error)
            is_overloaded = (
                isinstance(error, LoginRejectedError)
                and error_category(error.code) is ErrorCategory.OVERLOADED
            )
            self._apply(self.core.open_failed(self._clock.now_us(), is_overloaded))
            return
        except BaseException:
            self.core.open_cancelled(self._clock.now_us())
            raise
        self._nursery.start_soon(self._read_until_closed, backend)
        self._apply(self.core.connection_opened(self._clock.now_us(), backend, backend.session_state))

    async def _read_until_closed(self, backend: BackendConnection) -> None:
        await backend.run()
        self._apply(self.core.connection_lost(self._clock.now_us(), backend))
