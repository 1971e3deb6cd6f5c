"""Connections to MySQL endpoints; each attempt leases a connection for its exchange.

Must never choose the endpoint, or decide whether and when to retry.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import partial

import trio

from juniperreel.mysql.packets import ProtocolError
from juniperreel.mysql.replies import Err
from juniperreel.net import Clock, ConnectTimedOutError, Network
from juniperreel.net.clock import US
from juniperreel.pool import endpoint_status
from juniperreel.pool.connection import BackendConnection
from juniperreel.pool.core import Pool
from juniperreel.pool.errors import ConnectionLostError, ResultTooLargeError, StatusUnavailableError
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.row_stream import ConnectionRowStream
from juniperreel.pool.session_state import replay_statement
from juniperreel.pool.types import Lease
from juniperreel.proxy.attempts import AttemptProgress, AttemptRequest, AttemptResponse, EndpointReport
from juniperreel.proxy.endpoint_address import EndpointAddress
from juniperreel.proxy.errors import EndpointError
from juniperreel.proxy.mysql_exchange import AttemptExchange
from juniperreel.proxy.mysql_monitor import EndpointMonitor
from juniperreel.proxy.mysql_pool import BackendConnector, EndpointPool, LeaseRequest
from juniperreel.proxy.mysql_replies import (
    GTIDS_QUERY,
    LOAD_QUERY,
    STATUS_QUERY,
    error_from_packet,
    parse_heartbeat,
    replication_status,
)
from juniperreel.proxy.options import DriverOptions, MysqlEndpointOptions
from juniperreel.proxy.positions import PositionTracker
from juniperreel.proxy.requests import ClientRequest
from juniperreel.proxy.transactions import ENDPOINT_REMOVED, EndpointTransaction
from juniperreel.routing.types import Outcome
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError
from juniperreel.telemetry.metrics import Metrics

MAX_WAIT_S = 1.0  # longest interval between two checks of the pools' deadlines


class MysqlEndpoint:
    """One endpoint at one address: its pool, its monitor and the transactions open on it."""

    def __init__(self, name: str, pool: EndpointPool, monitor: EndpointMonitor) -> None:
        self.name = name
        self.pool = pool
        self.monitor = monitor
        self.transactions: set[EndpointTransaction] = set()

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint was removed from the endpoint list or moved to another address."""
        return self.pool.is_draining

    @property
    def connection_count(self) -> int:
        """The number of open connections, including the monitor's."""
        pool = self.pool.core
        return pool.leased + pool.idle + self.monitor.is_connected

    def drain(self) -> None:
        """Close idle connections, and abort open transactions.

        Rule 3: nothing new goes to a removed endpoint, not even the next statement of a transaction.
        """
        self.pool.drain()
        self.monitor.close()
        for transaction in list(self.transactions):
            transaction.abort(ENDPOINT_REMOVED)

    def add_transaction(self, transaction: EndpointTransaction) -> None:
        """Track a new transaction, so that `drain` aborts it; abort it at once if draining."""
        self.transactions.add(transaction)
        if self.is_draining:
            transaction.abort(ENDPOINT_REMOVED)

    def kill_statement_of(self, connection: BackendConnection) -> None:
        """Kill the statement that may still run on a connection that the edge closed."""
        if not self.is_draining:
            self.monitor.kill_statement_of(connection)

    def report_gauges(self, metrics: Metrics) -> None:
        """Update the gauges of the pool."""
        pool = self.pool.core
        metrics.pool_connections.labels(self.name, "leased").set(pool.leased)
        metrics.pool_connections.labels(self.name, "idle").set(pool.idle)
        metrics.pool_connections.labels(self.name, "opening").set(pool.opening)
        metrics.pool_waiting.labels(self.name).set(pool.waiting)
        metrics.pool_limit.labels(self.name).set(pool.connection_limit)


class MysqlEndpoints:
    """Implements `attempts.EndpointConnections` for MySQL endpoints."""

    def __init__(
        self,
        options: DriverOptions,
        mysql_options: MysqlEndpointOptions,
        network: Network,
        clock: Clock,
        positions: PositionTracker,
        rng: random.Random,
        group_of: Callable[[str], int],
        metrics: Metrics,
    ) -> None:
        """`group_of` returns an endpoint's group."""
        self._options = options
        self._mysql_options = mysql_options
        self._clock = clock
        self._positions = positions
        self._rng = rng
        self._group_of = group_of
        self._metrics = metrics
        self._connector = BackendConnector(network, mysql_options.login, options.connect_timeout_us)
        self._endpoints: dict[str, MysqlEndpoint] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self.statements_replayed = 0  # statements executed to bring connections to a session's state

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the connections' tasks, and process the pools' deadlines, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            while True:
                await self._wait_until_due()
                now = self._clock.now_us()
                for endpoint in self._endpoints.values():
                    endpoint.pool.process_due(now)

    async def _wait_until_due(self) -> None:
        now = self._clock.now_us()
        deadlines = [endpoint.pool.next_due_us(now) for endpoint in self._endpoints.values()]
        wait_s = MAX_WAIT_S
        if set_deadlines := [deadline for deadline in deadlines if deadline is not None]:
            wait_s = min(max(min(set_deadlines) - now, 0) / US, MAX_WAIT_S)
        self._wake = trio.Event()
        with trio.move_on_after(wait_s):
            await self._wake.wait()

    def _on_waiting(self) -> None:
        self._wake.set()

    # Endpoints.

    def set_address(self, endpoint: str, host: str, port: int) -> None:
        """Set the endpoint's address; a draining endpoint at the same address takes requests again."""
        address = EndpointAddress(host, port)
        current = self._endpoints.get(endpoint)
        if current is not None and current.pool.address == address:
            current.pool.resume()
            return
        if current is not None:
            current.drain()
        self._endpoints[endpoint] = self._new_endpoint(endpoint, address)

    def _new_endpoint(self, name: str, address: EndpointAddress) -> MysqlEndpoint:
        assert self._nursery is not None
        core: Pool[BackendConnection] = Pool(
            self._mysql_options.pool_sizes, random.Random(self._rng.random())
        )
        pool = EndpointPool(
            name,
            address,
            core,
            self._connector,
            self._clock,
            self._metrics,
            self._nursery,
            self._on_waiting,
        )
        monitor = EndpointMonitor(
            address, self._connector, self._options.health_check_timeout_us, self._metrics, self._nursery
        )
        return MysqlEndpoint(name, pool, monitor)

    def remove(self, endpoint: str) -> None:
        """Drain an endpoint that was removed from the endpoint list."""
        current = self._endpoints.get(endpoint)
        if current is not None:
            current.drain()

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return sum(endpoint.connection_count for endpoint in self._endpoints.values())

    @property
    def connections_opened(self) -> int:
        """The number of connections opened since the start."""
        return self._connector.connections_opened

    @property
    def statements_killed(self) -> int:
        """The number of abandoned statements killed at the current endpoints."""
        return sum(endpoint.monitor.statements_killed for endpoint in self._endpoints.values())

    def open_transactions(self) -> list[EndpointTransaction]:
        """Return the open transactions on all endpoints."""
        return [transaction for endpoint in self._endpoints.values() for transaction in endpoint.transactions]

    def pools(self) -> dict[str, Pool[BackendConnection]]:
        """Return the pools by endpoint name, for tests and benchmarks."""
        return {name: endpoint.pool.core for name, endpoint in self._endpoints.items()}

    def report_gauges(self) -> None:
        """Update the gauges of all pools."""
        for endpoint in self._endpoints.values():
            endpoint.report_gauges(self._metrics)

    # Attempts.

    async def execute(
        self, endpoint: str, attempt: AttemptRequest, _timeout_us: int, progress: AttemptProgress
    ) -> AttemptResponse:
        """Make one attempt.

        Raises ConnectError, CallUnprocessedError, CallInterruptedError or EndpointError.
        """
        target = self._endpoints.get(endpoint)
        if target is None:
            raise ConnectTimedOutError(f"no address is known for {endpoint}")
        request = attempt.request
        reusable = not request.taints_connection
        if not target.is_draining:
            target.monitor.open_soon()
        progress.waits_for_lease = target.pool.core.leased > 0
        lease = await target.pool.lease(self._lease_request(attempt))
        progress.waits_for_lease = False
        try:
            response = await self._execute_on(target, lease, attempt, progress)
        except BaseException:
            target.pool.return_lease(lease, reusable)
            if lease.connection.closed_locally:
                target.kill_statement_of(lease.connection)
            raise
        if response.transaction is not None:
            return response  # the transaction owns the lease now
        remaining_rows = getattr(response.result, "remaining_rows", None)
        if remaining_rows is None:
            target.pool.return_lease(lease, reusable)
        else:
            assert self._nursery is not None
            self._nursery.start_soon(self._return_lease_after, target, lease, remaining_rows, reusable)
        return response

    def _lease_request(self, attempt: AttemptRequest) -> LeaseRequest:
        request = attempt.request
        epoch = self._positions.history(request.group).epoch
        return LeaseRequest(
            request.tenant_index,
            attempt.priority_weight,
            request.session_state,
            attempt.waiting_since_us,
            partial(self._may_wait_again, attempt, epoch),
        )

    def _may_wait_again(self, attempt: AttemptRequest, epoch: int) -> bool:
        """Whether an attempt whose wait timed out stays in the queue, instead of being routed anew.

        Only another endpoint would be a reason to route it anew: a write has none until a failover begins a
        new `epoch`, and after the last attempt the router would only reject the request.
        """
        primary_unchanged = self._positions.history(attempt.request.group).epoch == epoch
        return (attempt.is_last or (attempt.is_write and primary_unchanged)) and attempt.may_send()

    async def _execute_on(
        self,
        target: MysqlEndpoint,
        lease: Lease[BackendConnection],
        attempt: AttemptRequest,
        progress: AttemptProgress,
    ) -> AttemptResponse:
        exchange = AttemptExchange(
            target.name,
            lease.connection,
            attempt,
            self._positions,
            self._group_of,
            lambda: self._begin_transaction(target, lease, attempt.request),
        )
        try:
            await self._replay(lease.connection, attempt)
            attempt.require_may_send()
            progress.sent.set()
            return await exchange.execute()
        except ConnectionLostError as error:
            if not error.sent or not progress.sent.is_set():
                raise CallUnprocessedError(str(error)) from error
            raise CallInterruptedError(str(error)) from error

    async def _replay(self, backend: BackendConnection, attempt: AttemptRequest) -> None:
        """Replay the session's state on the connection.

        Raises ConnectionLostError, or EndpointError if the endpoint rejects a statement.
        """
        request = attempt.request
        statements = [replay_statement(backend.session_state, request.session_state)]
        if request.last_insert_id is not None:
            statements.append(f"set @@session.last_insert_id = {request.last_insert_id}".encode())
        for text in statements:
            if text is None:
                continue
            self.statements_replayed += 1
            self._metrics.pool_replays.inc()
            (reply,) = await backend.exchange([Statement(text)])
            if isinstance(reply, Err):
                # It is unknown how much of the state was applied, so the connection must not be reused.
                backend.close()
                raise error_from_packet(reply)
        backend.session_state = request.session_state

    @staticmethod
    async def _return_lease_after(
        target: MysqlEndpoint,
        lease: Lease[BackendConnection],
        remaining_rows: ConnectionRowStream,
        reusable: bool,
    ) -> None:
        """Return the lease once a streamed result has been read to its end or closed."""
        await remaining_rows.finished.wait()
        target.pool.return_lease(lease, reusable)

    def _begin_transaction(
        self, target: MysqlEndpoint, lease: Lease[BackendConnection], request: ClientRequest
    ) -> EndpointTransaction:
        assert self._nursery is not None

        def return_lease(reusable: bool) -> None:
            """Remove the transaction, and return its lease."""
            target.transactions.discard(transaction)
            target.pool.return_lease(lease, reusable)

        transaction = EndpointTransaction(
            lease.connection,
            request.id,
            target.name,
            self._group_of(target.name),
            self._clock,
            self._positions,
            self._mysql_options.transaction_timeout_us,
            return_lease,
        )
        self._nursery.start_soon(transaction.enforce_timeout)
        target.add_transaction(transaction)
        return transaction

    # Health checks.

    async def check_health(self, endpoint: str) -> EndpointReport:
        """Query the endpoint's replication status, load and executed GTIDs.

        Raises ConnectError, CallInterruptedError or EndpointError.
        """
        target = self._endpoints.get(endpoint)
        if target is None or target.is_draining:
            raise ConnectTimedOutError(f"no address is known for {endpoint}")
        try:
            replies = await target.monitor.exchange([STATUS_QUERY, LOAD_QUERY, GTIDS_QUERY])
            return self._report_from(endpoint, replies)
        except (ConnectionLostError, ResultTooLargeError) as error:
            raise CallInterruptedError(str(error)) from error

    def _report_from(self, endpoint: str, replies: Sequence[Result | Err]) -> EndpointReport:
        """Raises EndpointError, or ConnectionLostError where the server closes the connection."""
        status_reply, load, gtids = replies
        heartbeat = parse_heartbeat(status_reply)
        if isinstance(load, Err):
            raise error_from_packet(load)
        try:
            status = replication_status(heartbeat)
            if isinstance(gtids, Result):  # an error reply means that the server has no GTIDs
                ((executed,),) = gtids.values()
                group = self._group_of(endpoint)
                self._positions.record_status(group, status)
                self._positions.record_executed_gtids(group, status, str(executed))
            return EndpointReport(status, in_flight=endpoint_status.parse_load(load.values()), queued=0.0)
        except (StatusUnavailableError, ProtocolError, ValueError) as error:
            raise EndpointError(Outcome.ERROR, str(error)) from error
