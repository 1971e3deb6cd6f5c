"""The PostgreSQL server of a fake endpoint: the platform's two statements and probes.

Connections come from relays in the same process, which identify the edge. A value consists of the endpoint's
name, a vertical bar, and the identifiers of all requests that wrote to the key, newest first, so that a
response shows which endpoint sent it and which commits it contains. As at the platform's endpoints, work is
cancelled when the client closes the connection.
"""

from __future__ import annotations

import socket
import sqlite3
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import trio

from juniperreel.fakes.errors import FakesError, QueueFullError
from juniperreel.fakes.replica import ExecutedWrite
from juniperreel.fakes.store import Statement
from juniperreel.net.network import ConnectRefusedError
from juniperreel.postgres import messages, server
from juniperreel.postgres.request_format import RequestFormatError, StatementRequest, parse_request
from juniperreel.verification.records import AttemptAbandoned, AttemptFinished, AttemptReceived

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import FakeEndpoint

INSERT = "insert into runs (runner, id) values (?, ?)"
SELECT = "select id from runs where runner = ? order by number desc limit ?"
MAX_IDS = 1_000  # in one value
REPORT_INTERVAL_US = 100_000
READ_BYTES = 65_536

READ_ONLY_TRANSACTION = "25006"
TOO_MANY_CONNECTIONS = "53300"
INTERNAL_ERROR = "XX000"
PROTOCOL_VIOLATION = "08P01"
SNAPSHOT_TOO_OLD = "72000"
OUTCOMES = {
    READ_ONLY_TRANSACTION: "NOT_PRIMARY",
    SNAPSHOT_TOO_OLD: "BEHIND",
    TOO_MANY_CONNECTIONS: "NOT_EXECUTED",
}


class PostgresError(FakesError):
    """An error that the client receives as an ErrorResponse message with this SQLSTATE."""

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate


class ResponseLostError(FakesError):
    """A fault suppresses the response; if `broken`, the connection is closed as well."""

    def __init__(self, broken: bool) -> None:
        super().__init__("fault: connection closed" if broken else "fault: response lost")
        self.broken = broken


class CachedReport(NamedTuple):
    """A load report and the time of its creation."""

    at_us: int
    text: bytes


class RunningAttempt(NamedTuple):
    """The attempt that a connection is executing."""

    request_id: str
    number: int


class StatementResult(NamedTuple):
    """The value in the response to a statement, and the commit position of a write."""

    value: bytes
    commit: int | None


def single_row(value: bytes) -> bytes:
    """The messages of a result of one row with one column."""
    description = messages.message(
        b"T", b"\0\1body\0" + b"\0" * 6 + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1"
    )
    data = messages.message(b"D", b"\0\1" + len(value).to_bytes(4, "big") + value)
    return description + data + messages.message(b"C", b"SELECT 1\0")


class PostgresServer:
    """The PostgreSQL connections of one endpoint."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        self.endpoint = endpoint
        self.opened = 0  # total number of connections
        self.open = 0  # connections open now
        self.most_open = 0  # maximum of open connections
        self.probes = 0  # total number of probes answered
        self.attempts: dict[str, int] = {}  # number of the last attempt, by request
        self.running: dict[str, list[PostgresConnection]] = {}  # executing connections, by request
        self._nursery: trio.Nursery | None = None  # set while the endpoint's process is running
        self._cached_report = CachedReport(0, b"")

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve the connections that `connect` opens, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            try:
                task_status.started()
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def connect(self, edge: str, edge_closed: Callable[[], bool]) -> trio.abc.Stream:
        """Open a connection for an edge and return the edge's end of it.

        A socket pair is used instead of a listening port: with one port for each pair of edge and endpoint,
        hundreds of edges with dozens of endpoints would exhaust the machine's ports. `edge_closed` returns
        whether the edge has closed the connection, even if that has not been read here yet. Raises
        ConnectRefusedError while the endpoint's process is not running.
        """
        await trio.lowlevel.checkpoint()
        if self._nursery is None:
            raise ConnectRefusedError(f"{self.endpoint.name} is not running")
        if edge_closed():
            # If the event loop is late, serving clients that have disconnected since would delay it further.
            raise ConnectRefusedError("the edge has closed the connection")
        try:
            pair = socket.socketpair()
        except OSError as error:
            raise ConnectRefusedError(f"{self.endpoint.name}: {error}") from error
        edge_end, server_end = (trio.SocketStream(trio.socket.from_stdlib_socket(end)) for end in pair)
        self._nursery.start_soon(PostgresConnection(self, edge, server_end, edge_closed).run)
        return edge_end

    def report(self) -> bytes:
        """The load report, which is refreshed at intervals and stale in between."""
        endpoint = self.endpoint
        now = endpoint.recorded_at_us()
        if now - self._cached_report.at_us > REPORT_INTERVAL_US:
            position_s = endpoint.replication_status().position / 1e6
            primary = int(endpoint.claims_primary)
            text = f"x0={position_s:.6f},x1={primary},queue={endpoint.capacity.queued}"
            self._cached_report = CachedReport(now, text.encode())
        return self._cached_report.text

    def start_attempt(self, request_id: str, connection: PostgresConnection) -> RunningAttempt:
        """Assign a number to an attempt and register its connection."""
        number = self.attempts.get(request_id, -1) + 1
        self.attempts[request_id] = number
        self.running.setdefault(request_id, []).append(connection)
        return RunningAttempt(request_id, number)

    def finish_attempt(self, request_id: str, connection: PostgresConnection) -> None:
        """Unregister the connection of an attempt."""
        connections = self.running[request_id]
        connections.remove(connection)
        if not connections:
            del self.running[request_id]


class PostgresConnection:
    """A connection that reads queries, executes them in order and sends their results."""

    def __init__(
        self,
        postgres_server: PostgresServer,
        edge: str,
        stream: trio.abc.Stream,
        edge_closed: Callable[[], bool],
    ) -> None:
        self.edge_closed = edge_closed
        self._server = postgres_server
        self._endpoint = postgres_server.endpoint
        self._edge = edge
        self._stream = stream
        self._protocol = server.ServerConnection()
        self._received = trio.Event()  # replaced each time data is received
        self._attempt: RunningAttempt | None = None
        self._abandoned = False  # whether the attempt was recorded as abandoned

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        self._server.opened += 1
        self._server.open += 1
        self._server.most_open = max(self._server.most_open, self._server.open)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read, nursery.cancel_scope)
                await self._serve()
                nursery.cancel_scope.cancel()
        finally:
            self._server.open -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _read(self, connection_scope: trio.CancelScope) -> None:
        """Read until the client disconnects, which cancels the running statement."""
        try:
            while data := await self._stream.receive_some(READ_BYTES):
                self._protocol.receive_data(bytes(data))
                self._received.set()
                self._received = trio.Event()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.record_abandoned()
        connection_scope.cancel()

    def record_abandoned(self) -> None:
        """Record the running attempt as abandoned, at most once."""
        if self._attempt is not None and not self._abandoned:
            self._abandoned = True
            endpoint = self._endpoint
            now = endpoint.recorded_at_us()
            endpoint.record(AttemptAbandoned(now, endpoint.name, *self._attempt))

    async def _serve(self) -> None:
        protocol = self._protocol
        try:
            while protocol.phase is not server.Phase.CLOSED:
                query = protocol.next_query()
                if query is not None:
                    protocol.outgoing += await self._answer(query.text)
                if protocol.outgoing:
                    out = bytes(protocol.outgoing)
                    protocol.outgoing = bytearray()
                    await self._stream.send_all(out)
                elif query is None:
                    await self._received.wait()
        except ResponseLostError as error:
            if not error.broken:
                await trio.sleep_forever()  # until the edge closes the connection
        except (trio.BrokenResourceError, trio.ClosedResourceError, messages.ProtocolError):
            return

    async def _answer(self, text: bytes) -> bytes:
        await self._endpoint.wait_while_hung()
        if not text.strip():
            return server.empty_query_response()
        if text == b"SHOW pressure":
            self._server.probes += 1
            return single_row(self._server.report()) + messages.READY
        if text == b"SELECT 1":
            self._server.probes += 1
            return single_row(b"1") + messages.READY
        try:
            request = parse_request(text)
        except RequestFormatError as error:
            return server.failed(PROTOCOL_VIOLATION, str(error))
        return await self._run_attempt(request)

    async def _run_attempt(self, request: StatementRequest) -> bytes:
        endpoint = self._endpoint
        # On a loaded machine this process runs late. An attempt that the edge abandoned in time, by closing
        # the connection, would then be recorded as sent after the final response or concurrently with the
        # next attempt.
        if self.edge_closed():
            raise ResponseLostError(broken=True)
        self._record_abandoned_elsewhere(request.id)
        mean_us = endpoint.mean_work_us(request.is_write)
        now = endpoint.recorded_at_us()
        attempt = self._server.start_attempt(request.id, self)
        received = AttemptReceived(
            now,
            endpoint.name,
            self._edge,
            *attempt,
            request.id,
            request.class_name,
            request.is_write,
            mean_us,
        )
        endpoint.record(received)
        endpoint.capacity.offer(mean_us)
        self._attempt = attempt
        self._abandoned = False
        outcome = "stopped"
        try:
            response = await self._execute(request, mean_us, now + request.timeout_ms * 1000)
            outcome = "answered"
        except PostgresError as error:
            outcome = OUTCOMES.get(error.sqlstate, "INTERNAL")
            response = messages.error("ERROR", error.sqlstate, str(error))
            response += self._status_parameters(None) + messages.READY
        finally:
            self._attempt = None
            self._server.finish_attempt(request.id, self)
            executed = outcome == "answered"
            finished_at = endpoint.recorded_at_us()
            endpoint.record(AttemptFinished(finished_at, endpoint.name, *attempt, outcome, executed))
        return response

    def _record_abandoned_elsewhere(self, request_id: str) -> None:
        """Record earlier attempts of a request as abandoned if the edge has closed their connections."""
        running = [
            connection
            for endpoint in self._endpoint.group.endpoints
            for connection in endpoint.postgres.running.get(request_id, ())
        ]
        for connection in running:
            if connection.edge_closed():
                connection.record_abandoned()

    async def _execute(self, request: StatementRequest, mean_us: int, deadline_us: int) -> bytes:
        """Execute a statement and encode the response. Raises PostgresError or ResponseLostError."""
        endpoint = self._endpoint
        if endpoint.faults.rejecting or endpoint.draining:
            raise PostgresError(TOO_MANY_CONNECTIONS, "no room")
        if endpoint.occurs(endpoint.faults.failed_requests):
            raise PostgresError(INTERNAL_ERROR, "something inside is broken")
        if request.is_write and not endpoint.claims_primary:
            raise PostgresError(READ_ONLY_TRANSACTION, "not the primary")
        work_us = endpoint.capacity.draw_work_us(mean_us)
        try:
            async with endpoint.capacity.core():
                if endpoint.recorded_at_us() >= deadline_us:
                    raise PostgresError(TOO_MANY_CONNECTIONS, "the request is over already")
                await endpoint.capacity.execute(work_us)
                await endpoint.wait_while_hung()
                result = await self._write(request) if request.is_write else self._read_ids(request)
        except QueueFullError as error:
            raise PostgresError(TOO_MANY_CONNECTIONS, "the queue is full") from error
        if endpoint.occurs(endpoint.faults.lost_responses):
            raise ResponseLostError(broken=False)
        if endpoint.occurs(endpoint.faults.broken_connections):
            raise ResponseLostError(broken=True)
        await endpoint.wait_while_hung()
        return single_row(result.value) + self._status_parameters(result.commit) + messages.READY

    def _read_ids(self, request: StatementRequest) -> StatementResult:
        cursor = self._endpoint.replica.store.execute(SELECT, (request.key, MAX_IDS))
        return StatementResult(self._value(",".join(str(found) for (found,) in cursor.fetchall())), None)

    def _value(self, ids: str) -> bytes:
        return f"{self._endpoint.name}|{ids}".encode()

    async def _write(self, request: StatementRequest) -> StatementResult:
        """Execute a write once for each idempotency key within the group's deduplication window."""
        endpoint = self._endpoint
        key = request.idempotency_key or ""
        if not endpoint.claims_primary:
            raise PostgresError(READ_ONLY_TRANSACTION, "no longer the primary")
        write = endpoint.replica.executed_writes.get(key) if key else None
        if write is None:
            write = self._commit(request, key)
        await endpoint.wait_until_replicated(write.position)
        return StatementResult(self._value(request.id), write.position)

    def _commit(self, request: StatementRequest, key: str) -> ExecutedWrite:
        statement = Statement(INSERT, (request.key, request.id))
        try:
            return self._endpoint.commit([statement], key, request.id, request.key)
        except sqlite3.Error as error:
            raise PostgresError(INTERNAL_ERROR, str(error)) from error

    def _status_parameters(self, commit: int | None) -> bytes:
        """Role and log position, in Unix milliseconds: positions are rounded down, a commit up."""
        status = self._endpoint.replication_status()
        role = "primary" if self._endpoint.claims_primary else "standby"
        position_ms = status.position // 1000 if commit is None else -(-commit // 1000)
        return messages.parameter("replication_role", role) + messages.parameter(
            "log_position", str(position_ms)
        )
