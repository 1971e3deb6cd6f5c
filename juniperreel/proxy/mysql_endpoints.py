"""Connections to endpoints that speak MySQL: an attempt has a connection of its own for its exchange.

Must never decide which endpoint, whether to retry, or when.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from juniperreel.mysql.packets import ProtocolError
from juniperreel.mysql.replies import Err
from juniperreel.net import Clock, ConnectTimedOutError, Network
from juniperreel.net.clock import US
from juniperreel.pool import endpoint_status
from juniperreel.pool.connection import BackendConnection, ConnectionRowStream
from juniperreel.pool.core import Pool
from juniperreel.pool.errors import ConnectionLostError, ResultTooLargeError, StatusUnavailableError
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.session_state import replay_statement
from juniperreel.pool.types import Lease
from juniperreel.proxy.attempts import AttemptRequest, AttemptResponse, EndpointReport
from juniperreel.proxy.endpoint_address import EndpointAddress
from juniperreel.proxy.errors import EndpointError
from juniperreel.proxy.mysql_exchange import AttemptExchange
from juniperreel.proxy.mysql_monitor import EndpointMonitor
from juniperreel.proxy.mysql_pool import BackendConnector, EndpointPool
from juniperreel.proxy.mysql_replies import (
    GTIDS_QUERY,
    LOAD_QUERY,
    STATUS_QUERY,
    error_of,
    heartbeat_of,
    replication_status,
)
from juniperreel.proxy.options import DriverOptions, MysqlEndpointOptions
from juniperreel.proxy.positions import PositionTracker
from juniperreel.proxy.requests import ClientRequest
from juniperreel.proxy.transactions import ENDPOINT_REMOVED, EndpointTransaction
from juniperreel.routing.types import Outcome
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError
from juniperreel.telemetry.metrics import Metrics

MAX_WAIT_S = 1.0  # between two rounds of the pools' deadlines


class MysqlEndpoint:
    """One endpoint at one address: its pool, its monitor and the transactions open on it."""

    def __init__(self, name: str, pool: EndpointPool, monitor: EndpointMonitor) -> None:
        self.name = name
        self.pool = pool
        self.monitor = monitor
        self.transactions: set[EndpointTransaction] = set()

    @property
    def is_draining(self) -> bool:
        """Whether it left the endpoint list or moved to another address."""
        return self.pool.is_draining

    @property
    def connection_count(self) -> int:
        """How many connections are open, the monitor's included."""
        pool = self.pool.core
        return pool.leased + pool.idle + self.monitor.is_connected

    def drain(self) -> None:
        """Close what is idle, and abort the transactions.

        Rule 3: nothing new goes to a removed endpoint, not even the next statement of a transaction.
        """
        self.pool.drain()
        self.monitor.close()
        for transaction in list(self.transactions):
            transaction.abort(ENDPOINT_REMOVED)

    def add_transaction(self, transaction: EndpointTransaction) -> None:
        """Own a transaction that has just begun."""
        self.transactions.add(transaction)
        if self.is_draining:
            transaction.abort(ENDPOINT_REMOVED)

    def kill_statement_of(self, victim: BackendConnection) -> None:
        """Have the server end what still runs on a connection that this side closed."""
        if not self.is_draining:
            self.monitor.kill_statement_of(victim)

    def report_gauges(self, metrics: Metrics) -> None:
        """Write the pool's gauges to the metrics."""
        pool = self.pool.core
        metrics.pool_connections.labels(self.name, "leased").set(pool.leased)
        metrics.pool_connections.labels(self.name, "idle").set(pool.idle)
        metrics.pool_connections.labels(self.name, "opening").set(pool.opening)
        metrics.pool_waiting.labels(self.name).set(pool.waiting)
        metrics.pool_limit.labels(self.name).set(pool.connection_limit)


class MysqlEndpoints:
    """All endpoints of one driver, where they speak MySQL; see `attempts.EndpointConnections`."""

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
        """`group_of` gives an endpoint's group."""
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
        self.replayed = 0  # statements that took a connection to a session's state

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Own the connections' tasks, and process the pools' deadlines, until cancelled."""
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
        """Set where the endpoint is now; at the same address it takes requests again."""
        address = EndpointAddress(host, port)
        known = self._endpoints.get(endpoint)
        if known is not None and known.pool.address == address:
            known.pool.resume()
            return
        if known is not None:
            known.drain()
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
        """Send nothing new to the endpoint, which left the endpoint list."""
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.drain()

    @property
    def connection_count(self) -> int:
        """How many connections are open."""
        return sum(endpoint.connection_count for endpoint in self._endpoints.values())

    @property
    def opened(self) -> int:
        """How many connections were ever opened."""
        return self._connector.opened

    @property
    def killed(self) -> int:
        """How many abandoned statements were killed at the endpoints known."""
        return sum(endpoint.monitor.killed for endpoint in self._endpoints.values())

    def open_transactions(self) -> list[EndpointTransaction]:
        """All transactions that are open."""
        return [transaction for endpoint in self._endpoints.values() for transaction in endpoint.transactions]

    def pools(self) -> dict[str, Pool[BackendConnection]]:
        """The endpoints' pools by name, for tests and benchmarks."""
        return {name: endpoint.pool.core for name, endpoint in self._endpoints.items()}

    def report_gauges(self) -> None:
        """Write the pools' gauges to the metrics."""
        for endpoint in self._endpoints.values():
            endpoint.report_gauges(self._metrics)

    # Attempts.

    async def execute(
        self, endpoint: str, attempt: AttemptRequest, _timeout_us: int, sent: trio.Event
    ) -> AttemptResponse:
        """Make one attempt.

        Raises ConnectError, CallUnprocessedError, CallInterruptedError or EndpointError.
        """
        target = self._endpoints.get(endpoint)
        if target is None:
            raise ConnectTimedOutError(f"no address is known for {endpoint}")
        request = attempt.request
        reusable = not request.taints_connection
        lease = await target.pool.lease(request.tenant_index, attempt.priority_weight, request.session_state)
        try:
            response = await self._execute_on(target, lease, attempt, sent)
        except BaseException:
            target.pool.give_back(lease, reusable)
            if lease.connection.closed_locally:
                target.kill_statement_of(lease.connection)
            raise
        if response.transaction is not None:
            return response  # the transaction owns the lease
        rest = getattr(response.result, "remaining_rows", None)
        if rest is None:
            target.pool.give_back(lease, reusable)
        else:
            assert self._nursery is not None
            self._nursery.start_soon(self._give_back_after, target, lease, rest, reusable)
        return response

    async def _execute_on(
        self,
        target: MysqlEndpoint,
        lease: Lease[BackendConnection],
        attempt: AttemptRequest,
        sent: trio.Event,
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
            sent.set()
            return await exchange.execute()
        except ConnectionLostError as error:
            if not error.sent or not sent.is_set():
                raise CallUnprocessedError(str(error)) from error
            raise CallInterruptedError(str(error)) from error

    async def _replay(self, backend: BackendConnection, attempt: AttemptRequest) -> None:
        """Bring the connection to the session's state.

        Raises ConnectionLostError, or EndpointError where the endpoint rejects it.
        """
        request = attempt.request
        statements = [replay_statement(backend.session_state, request.session_state)]
        if request.last_insert_id is not None:
            statements.append(f"set @@session.last_insert_id = {request.last_insert_id}".encode())
        for text in statements:
            if text is None:
                continue
            self.replayed += 1
            self._metrics.pool_replays.inc()
            (answer,) = await backend.exchange([Statement(text)])
            if isinstance(answer, Err):
                # How much of the state the endpoint took over is not known: nobody may reuse it.
                backend.close()
                raise error_of(answer)
        backend.session_state = request.session_state

    @staticmethod
    async def _give_back_after(
        target: MysqlEndpoint, lease: Lease[BackendConnection], rest: ConnectionRowStream, reusable: bool
    ) -> None:
        """End the lease once a long result has been read to its end, or closed."""
        await rest.finished.wait()
        target.pool.give_back(lease, reusable)

    def _begin_transaction(
        self, target: MysqlEndpoint, lease: Lease[BackendConnection], request: ClientRequest
    ) -> EndpointTransaction:
        assert self._nursery is not None

        def give_back(reusable: bool) -> None:
            """End the transaction's lease."""
            target.transactions.discard(transaction)
            target.pool.give_back(lease, reusable)

        transaction = EndpointTransaction(
            lease.connection,
            request.id,
            target.name,
            self._group_of(target.name),
            self._clock,
            self._positions,
            self._mysql_options.transaction_timeout_us,
            give_back,
        )
        self._nursery.start_soon(transaction.enforce_timeout)
        target.add_transaction(transaction)
        return transaction

    # Health checks.

    async def check_health(self, endpoint: str) -> EndpointReport:
        """Ask the endpoint for its report.

        Raises ConnectError, CallInterruptedError, ConnectionLostError or EndpointError.
        """
        target = self._endpoints.get(endpoint)
        if target is None or target.is_draining:
            raise ConnectTimedOutError(f"no address is known for {endpoint}")
        try:
            answers = await target.monitor.exchange([STATUS_QUERY, LOAD_QUERY, GTIDS_QUERY])
        except (ConnectionLostError, ResultTooLargeError) as error:
            raise CallInterruptedError(str(error)) from error
        status_answer, load, gtids = answers
        heartbeat = heartbeat_of(status_answer)
        if isinstance(load, Err):
            raise error_of(load)
        try:
            status = replication_status(heartbeat)
            if isinstance(gtids, Result):  # a server without GTIDs has none to report
                ((executed,),) = gtids.values()
                group = self._group_of(endpoint)
                self._positions.record_status(group, status)
                self._positions.record_executed_gtids(group, status, str(executed))
            return EndpointReport(status, in_flight=endpoint_status.parse_load(load.values()), queued=0.0)
        except (StatusUnavailableError, ProtocolError, ValueError) as error:
            raise EndpointError(Outcome.ERROR, str(error)) from error
