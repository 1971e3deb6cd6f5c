"""The connection pool of one endpoint: a state machine without I/O and without a clock.

    opening -> idle <-> leased -> closed          a lease serves one transaction and is released exactly once

Waiters are served by tenant share (see `wait_queue`); openings are rate-limited (see `open_limiter`). The
most recently used idle connection is leased first, so that the others reach their idle timeout, but one whose
session state matches the request is preferred over one whose state would have to be changed.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic

from juniperreel.pool.config import PoolConfig
from juniperreel.pool.open_limiter import OpenLimiter
from juniperreel.pool.types import (
    AcquireRejected,
    AcquireRequest,
    CloseConnection,
    ConnectionT,
    Lease,
    LeaseGranted,
    OpenConnection,
    PoolAction,
    RejectionReason,
)
from juniperreel.pool.wait_queue import FairWaitQueue

# Random factor of the maximum lifetime, so that proxies started together do not reconnect together.
LIFETIME_JITTER = (0.8, 1.0)


@dataclass(eq=False, slots=True)
class PooledConnection(Generic[ConnectionT]):
    """An open connection. It is not leased again after `expires_us`."""

    connection: ConnectionT
    expires_us: int
    session_state: Hashable = None
    idle_since_us: int = 0


class Pool(Generic[ConnectionT]):
    """Connection pool logic of one endpoint. Methods return the actions that the caller must execute.

    The caller passes the time in microseconds, executes the actions in order, and calls `tick` at
    `next_tick_us`. Invariant: a connection is either idle or leased to exactly one request.
    """

    def __init__(self, config: PoolConfig, random_source: random.Random) -> None:
        self.config = config
        self.draining = False
        self._random = random_source
        self._idle: deque[PooledConnection[ConnectionT]] = deque()  # least recently used first
        self._leased: dict[ConnectionT, PooledConnection[ConnectionT]] = {}
        self._opening = 0
        self._waiters = FairWaitQueue(config.tenant_shares)
        self._open_limiter = OpenLimiter(
            config.max_connections, config.open_rate, config.open_burst, random_source
        )

    @property
    def leased(self) -> int:
        """Number of leased connections."""
        return len(self._leased)

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    @property
    def opening(self) -> int:
        """Number of connections being opened."""
        return self._opening

    @property
    def total(self) -> int:
        """Number of connections in any state."""
        return self.leased + self.idle + self.opening

    @property
    def waiting(self) -> int:
        """Number of requests waiting for a connection."""
        return len(self._waiters)

    @property
    def rejected_openings(self) -> int:
        """Number of openings that the endpoint rejected because it had too many connections."""
        return self._open_limiter.rejections

    @property
    def connection_limit(self) -> int:
        """The current limit on connections; below the configured maximum after the endpoint rejected some."""
        return self._open_limiter.connection_limit

    def next_tick_us(self, now_us: int) -> int | None:
        """Return when `tick` must be called next; None if nothing is pending."""
        due_times = self._waiters.deadlines_us()
        for pooled in self._idle:
            idle_deadline_us = pooled.idle_since_us + self.config.idle_timeout_us
            due_times.append(min(idle_deadline_us, pooled.expires_us))
        if self.waiting and self.total < self.connection_limit:
            due_times.append(self._open_limiter.next_opening_us(now_us))
        return min(due_times, default=None)

    def acquire(self, now_us: int, request: AcquireRequest) -> list[PoolAction[ConnectionT]]:
        """Request a connection. The grant or rejection is returned by this or a later call of any method."""
        if self.draining:
            return [AcquireRejected(request, RejectionReason.DRAINING)]
        if not self.waiting:
            pooled = self._take_idle(now_us, request.session_state)
            if pooled is not None:
                return [self._grant(pooled, request)]
        if self._is_unreachable(now_us):
            return [AcquireRejected(request, RejectionReason.UNREACHABLE)]
        deadline_us = min(request.deadline_us, now_us + self.config.acquire_timeout_us)
        if deadline_us <= now_us:
            return [AcquireRejected(request, RejectionReason.TIMED_OUT)]
        actions: list[PoolAction[ConnectionT]] = []
        if self.waiting >= self.config.max_waiters:
            evicted = self._waiters.evict_for(request.tenant)
            if evicted is None:
                return [AcquireRejected(request, RejectionReason.QUEUE_FULL)]
            actions.append(AcquireRejected(evicted.request, RejectionReason.QUEUE_FULL))
        self._waiters.add(now_us, request, deadline_us)
        return actions + self._open_more(now_us)

    def cancel(self, request_id: Hashable) -> list[PoolAction[ConnectionT]]:
        """Remove a waiting request whose caller no longer needs a connection. Requires no action."""
        self._waiters.cancel(request_id)
        return []

    def release(
        self, now_us: int, lease: Lease[ConnectionT], reusable: bool, session_state: Hashable = None
    ) -> list[PoolAction[ConnectionT]]:
        """End a lease.

        Args:
            now_us: The current time.
            lease: A lease granted by this pool.
            reusable: Whether the connection has no open transaction and no outstanding response.
            session_state: The current session state of the connection.

        Raises:
            ValueError: The lease was already released.
        """
        if lease.released:
            raise ValueError("lease already released")
        lease.released = True
        pooled = self._leased.pop(lease.connection)
        expired = now_us >= pooled.expires_us
        if not reusable or self.draining or expired or self.total >= self.connection_limit:
            return [CloseConnection(lease.connection), *self._open_more(now_us)]
        pooled.session_state = session_state
        pooled.idle_since_us = now_us
        self._idle.append(pooled)
        return self._serve_waiters(now_us)

    def connection_opened(
        self, now_us: int, connection: ConnectionT, session_state: Hashable = None
    ) -> list[PoolAction[ConnectionT]]:
        """Record that an `OpenConnection` succeeded."""
        self._opening -= 1
        self._open_limiter.record_success()
        if self.draining:
            return [CloseConnection(connection)]
        lifetime_us = int(self.config.max_lifetime_us * self._random.uniform(*LIFETIME_JITTER))
        self._idle.append(PooledConnection(connection, now_us + lifetime_us, session_state, now_us))
        return self._serve_waiters(now_us)

    def open_failed(self, now_us: int, rejected: bool) -> list[PoolAction[ConnectionT]]:
        """Record that an `OpenConnection` failed.

        Args:
            now_us: The current time.
            rejected: Whether the endpoint responded that it has too many connections. Otherwise it was
                unreachable, or rejected the login.
        """
        self._opening -= 1
        if rejected:
            self._open_limiter.record_rejection(now_us, self.total)
        self._open_limiter.record_failure(now_us)
        if not self.total:
            return self._reject_waiters(RejectionReason.UNREACHABLE)
        return self._serve_waiters(now_us) if rejected else []

    def open_cancelled(self, now_us: int) -> list[PoolAction[ConnectionT]]:
        """Record that an `OpenConnection` was cancelled, which carries no information about the endpoint."""
        self._opening -= 1
        return self._open_more(now_us)

    def connection_lost(self, now_us: int, connection: ConnectionT) -> list[PoolAction[ConnectionT]]:
        """Record that the endpoint closed a connection. A leased one is discarded when it is released."""
        pooled = next((p for p in self._idle if p.connection == connection), None)
        if pooled is not None:
            self._idle.remove(pooled)
        return self._open_more(now_us)

    def tick(self, now_us: int) -> list[PoolAction[ConnectionT]]:
        """Process expired waiters and connections, and openings delayed by the rate limit."""
        self._open_limiter.raise_limit(now_us)
        actions: list[PoolAction[ConnectionT]] = [
            AcquireRejected(waiter.request, RejectionReason.TIMED_OUT)
            for waiter in self._waiters.expire(now_us)
        ]
        for pooled in list(self._idle):
            idle_for_us = now_us - pooled.idle_since_us
            above_minimum = self.total > self.config.min_connections
            timed_out = idle_for_us >= self.config.idle_timeout_us and above_minimum
            if timed_out or now_us >= pooled.expires_us:
                self._idle.remove(pooled)
                actions.append(CloseConnection(pooled.connection))
        return actions + self._serve_waiters(now_us)

    def drain(self) -> list[PoolAction[ConnectionT]]:
        """Close idle connections and reject all waiters; leased connections are closed on release."""
        self.draining = True
        actions: list[PoolAction[ConnectionT]] = [CloseConnection(pooled.connection) for pooled in self._idle]
        self._idle.clear()
        return actions + self._reject_waiters(RejectionReason.DRAINING)

    def resume(self) -> None:
        """Serve requests again after `drain`."""
        self.draining = False

    def _take_idle(self, now_us: int, session_state: Hashable) -> PooledConnection[ConnectionT] | None:
        """Remove the most recently used idle connection with this session state, or else of any state."""
        for pooled in reversed(self._idle):
            if pooled.session_state == session_state and now_us < pooled.expires_us:
                self._idle.remove(pooled)
                return pooled
        if not self._idle:
            return None
        pooled = self._idle.pop()
        if now_us < pooled.expires_us:
            return pooled
        self._idle.appendleft(pooled)  # expired: the next `tick` closes it
        return None

    def _grant(
        self, pooled: PooledConnection[ConnectionT], request: AcquireRequest
    ) -> LeaseGranted[ConnectionT]:
        assert pooled.connection not in self._leased
        self._leased[pooled.connection] = pooled
        self._waiters.charge(request.tenant)
        return LeaseGranted(Lease(pooled.connection, request))

    def _serve_waiters(self, now_us: int) -> list[PoolAction[ConnectionT]]:
        """Grant idle connections to waiters, and open connections for the remaining ones."""
        actions: list[PoolAction[ConnectionT]] = []
        while self.waiting and self._idle:
            waiter = self._waiters.pop(now_us)
            if waiter is None:
                break
            pooled = self._take_idle(now_us, waiter.request.session_state)
            if pooled is None:
                self._waiters.put_back(waiter)
                break
            actions.append(self._grant(pooled, waiter.request))
        return actions + self._open_more(now_us)

    def _open_more(self, now_us: int) -> list[PoolAction[ConnectionT]]:
        """Open as many connections as waiters and `min_connections` require, as far as the limits allow."""
        actions: list[PoolAction[ConnectionT]] = []
        if self.draining or self._open_limiter.in_backoff(now_us):
            return actions
        missing_connections = self.config.min_connections - self.total + self._opening
        wanted = max(self.waiting, missing_connections)
        while self._opening < wanted and self._may_open(now_us):
            self._open_limiter.take_token(now_us)
            self._opening += 1
            actions.append(OpenConnection())
        return actions

    def _may_open(self, now_us: int) -> bool:
        return self.total < self.connection_limit and self._open_limiter.available_tokens(now_us) >= 1.0

    def _is_unreachable(self, now_us: int) -> bool:
        return not self.total and self._open_limiter.in_backoff(now_us)

    def _reject_waiters(self, reason: RejectionReason) -> list[PoolAction[ConnectionT]]:
        return [AcquireRejected(waiter.request, reason) for waiter in self._waiters.clear()]
