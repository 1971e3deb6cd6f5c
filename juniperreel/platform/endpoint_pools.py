"""Connection pools, one per endpoint. Idle connections are reused in last-in, first-out order.

Between its reply and its reuse a connection is synchronizing: an empty query is out, whose response shows
that nothing more follows the reply.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from juniperreel.net.transport import Transport
from juniperreel.platform.descriptor_budget import DescriptorBudget
from juniperreel.platform.endpoint_connection import EndpointConnection
from juniperreel.platform.endpoint_list import Address
from juniperreel.platform.exchange import Exchange
from juniperreel.platform.idle_timeout import IdleTimeout
from juniperreel.platform.incomplete_messages import IncompleteMessages
from juniperreel.platform.memory_budget import MemoryBudget
from juniperreel.platform.timer_queue import TimerQueue
from juniperreel.routing.types import Outcome

# Fraction of the endpoint's own idle timeout after which an idle connection is closed here. The remainder
# covers the interval between two calls of `close_idle` and the network delay to the endpoint.
IDLE_TIMEOUT_FRACTION = 0.9


class Connect(Protocol):
    """Starts opening a connection."""

    def __call__(self, host: str, port: int, /) -> Transport:
        """Return the transport. Raises OSError if no socket can be created."""
        ...


class EndpointPool:
    """The connections to one endpoint at one address."""

    def __init__(self, pools: EndpointPools, address: Address) -> None:
        """Start without connections."""
        self._pools = pools
        self.address = address
        self.idle: list[EndpointConnection] = []
        self.syncing: dict[EndpointConnection, None] = {}  # longest first
        self.connections: set[EndpointConnection] = set()
        self.retired = False
        self.draining = False  # the endpoint wants nothing new
        self.now = pools.now

    @property
    def keeps_connections(self) -> bool:
        """Whether connections are kept for further exchanges."""
        return not self.retired and not self.draining

    def run(self, exchange: Exchange) -> None:
        """Start the exchange on an idle connection, or open one for it."""
        if not exchange.may_send():
            exchange.finish(Outcome.NOT_SENT)
            return
        while self.idle:
            connection = self.idle.pop()
            idle_us = self.now() - connection.idle_since_us
            if self._pools.idle_timeout.allows(idle_us) and connection.is_usable():
                connection.start(exchange)
                return
            connection.close()
        self._open(exchange)

    def _open(self, exchange: Exchange) -> None:
        # NOT_SENT rather than UNREACHABLE: a local resource shortage says nothing about the endpoint.
        if not self._pools.ensure_free_descriptor():
            exchange.finish(Outcome.NOT_SENT)
            return
        try:
            transport = self._pools.connect(*self.address)
        except OSError:
            exchange.finish(Outcome.NOT_SENT)
            return
        connection = EndpointConnection(self, transport)
        self.connections.add(connection)
        self._pools.budget.endpoint_connections += 1
        connection.exchange = exchange
        exchange.connection = connection
        timeout_at_us = self.now() + self._pools.connect_timeout_us
        self._pools.timers.call_at(timeout_at_us, connection.close_unless_logged_in)

    def on_reply_received(self, connection: EndpointConnection) -> None:
        """Record how much of an incomplete reply the connection holds, or that the reply is complete."""
        self._pools.replies.update(connection, connection.protocol.held, is_incomplete=True)

    def on_sync_started(self, connection: EndpointConnection) -> None:
        """Wait for the response to the empty query behind a reply.

        The idle time counts from the reply: the endpoint may disregard empty queries.
        """
        connection.idle_since_us = self.now()
        self.syncing[connection] = None

    def on_surplus_received(self) -> None:
        """Count a connection that is closed because more followed a reply than belongs to it."""
        self._pools.surplus_replies += 1

    def release(self, connection: EndpointConnection) -> None:
        """Return a connection that is ready for the next query to the pool."""
        self.syncing.pop(connection, None)
        if self.retired:
            connection.close()
            return
        connection.idle_since_us = connection.idle_since_us or self.now()
        self.idle.append(connection)

    def record_idle_use(self, idle_us: int, answered: bool) -> None:
        """Record whether a request on a connection idle for `idle_us` was answered."""
        self._pools.idle_timeout.record_use(self.now(), idle_us, answered)

    def remove(self, connection: EndpointConnection) -> None:
        """Remove a closed connection; does nothing if it does not belong to this pool."""
        if connection in self.connections:
            self.connections.discard(connection)
            self._pools.replies.remove(connection)
            self._pools.budget.endpoint_connections -= 1
            self.syncing.pop(connection, None)
            if connection in self.idle:
                self.idle.remove(connection)

    def retire(self) -> None:
        """Retire the pool: close idle connections now, and busy ones after their exchanges."""
        self.retired = True
        for connection in [*self.idle, *self.syncing]:
            connection.close()

    def close_expired(self, idle_before_us: int, syncing_before_us: int) -> None:
        """Close connections that have been idle, or without the response to an empty query, for too long."""
        expired = [connection for connection in self.idle if connection.idle_since_us < idle_before_us]
        stuck = [connection for connection in self.syncing if connection.idle_since_us < syncing_before_us]
        self._pools.sync_timeouts += len(stuck)
        for connection in expired + stuck:
            connection.close()


class EndpointPools:
    """The pools of all endpoints of one driver."""

    def __init__(
        self,
        connect: Connect,
        now: Callable[[], int],
        timers: TimerQueue,
        budget: DescriptorBudget,
        memory: MemoryBudget,
        connect_timeout_us: int,
        endpoint_idle_timeout_us: int,
    ) -> None:
        """`endpoint_idle_timeout_us` is the longest time an endpoint keeps an idle connection open."""
        self.connect = connect
        self.now = now
        self.timers = timers
        self.budget = budget
        self.replies = IncompleteMessages(memory.replies, lambda: not memory.replies.fits(0))
        self.connect_timeout_us = connect_timeout_us
        self._max_idle_us = int(endpoint_idle_timeout_us * IDLE_TIMEOUT_FRACTION)
        self.idle_timeout = IdleTimeout()
        self.pools: dict[str, EndpointPool] = {}
        self.surplus_replies = 0  # connections closed because more followed a reply than belongs to it
        self.sync_timeouts = 0  # connections closed because the response to an empty query did not come

    def set_address(self, endpoint: str, address: Address, draining: bool = False) -> None:
        """Set the endpoint's address, and whether it is `draining`, so that its connections are not kept.

        Connections to its previous address are closed once idle.
        """
        pool = self.pools.get(endpoint)
        if pool is None or pool.address != address:
            if pool is not None:
                pool.retire()
            pool = self.pools[endpoint] = EndpointPool(self, address)
        pool.retired = False
        pool.draining = draining

    def retire(self, endpoint: str) -> None:
        """Retire the endpoint's pool until its address is set again."""
        pool = self.pools.get(endpoint)
        if pool is not None:
            pool.retire()

    def run(self, endpoint: str, exchange: Exchange) -> None:
        """Start the exchange on a connection to the endpoint."""
        pool = self.pools.get(endpoint)
        if pool is None:
            exchange.finish(Outcome.NOT_SENT)
            return
        pool.run(exchange)

    def abandon(self, exchange: Exchange, cancelled: bool) -> None:
        """Abandon the exchange because the attempt was `cancelled` or timed out."""
        if exchange.connection is not None:
            exchange.connection.abandon(exchange, cancelled)

    def withdraw_unsent(self, exchange: Exchange) -> bool:
        """Abort the exchange if its query was sent only in part, so that it is never executed."""
        return exchange.connection is not None and exchange.connection.withdraw_unsent(exchange)

    def fields(self) -> dict[str, int]:
        """Return the counts of connections that were not used again, for the log."""
        return {"surplus_replies": self.surplus_replies, "sync_timeouts": self.sync_timeouts}

    def ensure_free_descriptor(self) -> bool:
        """Return whether another connection may be opened, closing the longest idle one if necessary.

        Idle connections to some endpoints must not prevent connections to others, and busy ones must not
        use up the descriptors reserved for clients and discovery.
        """
        if not self.budget.endpoints_full:
            return True
        pools = self.pools.values()
        unused = [connection for pool in pools for connection in pool.idle] or [
            connection for pool in pools for connection in pool.syncing
        ]
        if not unused:
            return False
        min(unused, key=lambda connection: connection.idle_since_us).close()
        return True

    def close_idle(self, forget_retired: bool) -> None:
        """Close connections that the endpoint is about to close itself; a request written then is lost.

        Also those whose empty query gets no response: an endpoint that does not respond within the time of a
        connect would not serve the next query either.

        `forget_retired` drops retired pools that have no connection left. Endpoints are replaced
        continuously, so their pools would otherwise accumulate; one that returns gets a new pool.
        """
        max_idle_us = min(self._max_idle_us, self.idle_timeout.limit_ms * 1000)
        now_us = self.now()
        for name, pool in list(self.pools.items()):
            pool.close_expired(now_us - max_idle_us, now_us - self.connect_timeout_us)
            if forget_retired and pool.retired and not pool.connections:
                del self.pools[name]
