"""Executes one attempt as an exchange on one MySQL connection.

The endpoint's replication status is queried in the same exchange as the statement, so that a response is
checked against the position that the endpoint had applied when it responded. A write queries the status
before and after the statement: a commit belongs to an epoch only if the endpoint was writable
before the statement and its epoch has not changed after it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from juniperreel.mysql.replies import Err
from juniperreel.mysql.values import Value
from juniperreel.pool.connection import BackendConnection
from juniperreel.pool.error_codes import (
    REPREPARE_CODES,
    TRANSACTION_ROLLBACK_CODES,
    ErrorCategory,
    error_category,
)
from juniperreel.pool.errors import ConnectionLostError, ResultTooLargeError
from juniperreel.pool.result import Result, Statement
from juniperreel.proxy.attempts import AttemptRequest, AttemptResponse
from juniperreel.proxy.errors import EndpointError, not_supported, too_large
from juniperreel.proxy.mysql_replies import (
    STATUS_QUERY,
    error_from_packet,
    parameter_value,
    parse_heartbeat,
    replication_status,
    role_changed,
    statement_error,
)
from juniperreel.proxy.positions import PositionTracker, ReplicationStatus
from juniperreel.proxy.requests import TransactionMode
from juniperreel.proxy.transactions import EndpointTransaction
from juniperreel.routing.types import Outcome

BEGIN_READ_WRITE = Statement(b"start transaction")
BEGIN_READ_ONLY = Statement(b"start transaction read only")


class AttemptExchange:
    """Executes one attempt on a leased connection that is already in the session's state.

    `begin_transaction` wraps the connection's open transaction in an object that then owns the lease.
    """

    def __init__(
        self,
        endpoint: str,
        backend: BackendConnection,
        attempt: AttemptRequest,
        positions: PositionTracker,
        group_of: Callable[[str], int],
        begin_transaction: Callable[[], EndpointTransaction],
    ) -> None:
        self._endpoint = endpoint
        self._backend = backend
        self._attempt = attempt
        self._positions = positions
        self._group_of = group_of
        self._begin_transaction = begin_transaction
        request = attempt.request
        parameters = [parameter_value(parameter) for parameter in request.parameters]
        self._statement = Statement(request.statement, parameters, request.binary_rows)
        self._attributes: dict[str, Value] = {
            "juniperreel_request": request.id,
            "juniperreel_attempt": attempt.number,
            "juniperreel_class": attempt.class_name,
            "juniperreel_write": int(attempt.is_write),
        }

    async def execute(self) -> AttemptResponse:
        """Execute the attempt. Raises ConnectionLostError or EndpointError."""
        mode = self._attempt.request.transaction_mode
        try:
            if mode is TransactionMode.READ_WRITE:
                return await self._begin_read_write()
            if mode is TransactionMode.READ_ONLY:
                return await self._begin_read_only()
            if self._attempt.is_write:
                return await self._write()
            return await self._read()
        except ResultTooLargeError as error:
            raise too_large(str(error)) from error

    async def _run(self, steps: Sequence[Statement], main: int, stream: bool = False) -> list[Result | Err]:
        """Run the steps, and repeat them once if the server no longer has a prepared statement.

        In that case the server has executed nothing. `main` is the index of the attempt's own statement.
        """
        replies = await self._backend.exchange(steps, self._attributes, main, stream)
        reply = replies[main]
        needs_reprepare = isinstance(reply, Err) and reply.code in REPREPARE_CODES
        if needs_reprepare and not self._backend.session.in_transaction:
            replies = await self._backend.exchange(steps, self._attributes, main, stream)
        return replies

    async def _read(self) -> AttemptResponse:
        stream = self._attempt.request.accepts_stream
        status_reply, reply = await self._run([STATUS_QUERY, self._statement], 1, stream)
        status = replication_status(parse_heartbeat(status_reply))
        if isinstance(reply, Err):
            raise error_from_packet(reply)
        if not self._attempt.required.is_met_by(status):
            if reply.remaining_rows is not None:
                reply.remaining_rows.close()
            return AttemptResponse(None, status)  # `ResponseCheck` reports it as stale
        return AttemptResponse(reply, status)

    async def _write(self) -> AttemptResponse:
        """Execute a write. Raises ConnectionLostError if the commit's epoch is uncertain."""
        steps = [STATUS_QUERY, self._statement, STATUS_QUERY]
        status_before, reply, status_after = await self._run(steps, 1)
        before = parse_heartbeat(status_before)
        if isinstance(reply, Err):
            raise error_from_packet(reply)
        if self._backend.session.in_transaction:
            # The statement parser did not recognise that the statement begins a transaction. The client would
            # continue in a transaction that is rolled back when the connection is returned to the pool.
            raise not_supported("begins a transaction in words that are not read here")
        try:
            after = parse_heartbeat(status_after)
        except EndpointError as error:
            message = f"{self._endpoint} does not report the status of its commit: {error}"
            raise ConnectionLostError(message, sent=True) from error
        if role_changed(before, after):
            raise ConnectionLostError(f"{self._endpoint} changed its role during a write", sent=True)
        status = replication_status(after)
        group = self._group_of(self._endpoint)
        self._positions.record_commit(group, status.history.epoch, after.clock_us, reply.final_ok.gtids)
        return AttemptResponse(reply, status, after.clock_us)

    async def _begin_read_write(self) -> AttemptResponse:
        """Begin, query the status, and only then send the statement.

        A statement that was executed at a deposed primary would not be retried, even if it was rolled back.
        """
        status_reply, begun = await self._backend.exchange([STATUS_QUERY, BEGIN_READ_WRITE])
        heartbeat = parse_heartbeat(status_reply)
        status = replication_status(heartbeat)
        group = self._group_of(self._endpoint)
        self._positions.record_status(group, status)
        if heartbeat.read_only or self._positions.is_deposed(group, status):
            raise EndpointError(Outcome.INELIGIBLE, f"{self._endpoint} is not a primary")
        if isinstance(begun, Err):
            raise error_from_packet(begun)
        stream = self._attempt.request.accepts_stream
        (reply,) = await self._backend.exchange([self._statement], self._attributes, 0, stream)
        return self._transaction_response(status, reply)

    async def _begin_read_only(self) -> AttemptResponse:
        """Query the status within the transaction, so that it describes the transaction's snapshot."""
        steps = [BEGIN_READ_ONLY, STATUS_QUERY, self._statement]
        stream = self._attempt.request.accepts_stream
        begun, status_reply, reply = await self._backend.exchange(steps, self._attributes, 2, stream)
        if isinstance(begun, Err):
            raise error_from_packet(begun)
        status = replication_status(parse_heartbeat(status_reply))
        return self._transaction_response(status, reply)

    def _transaction_response(self, status: ReplicationStatus, reply: Result | Err) -> AttemptResponse:
        """Build the response to a transaction's first statement, which may fail without ending it."""
        error = None
        if isinstance(reply, Err):
            if error_category(reply.code) not in (ErrorCategory.STATEMENT_ERROR, ErrorCategory.ABORTED):
                raise error_from_packet(reply)
            error = statement_error(reply)
            if reply.code in TRANSACTION_ROLLBACK_CODES:
                raise error
        if not self._backend.session.in_transaction:
            raise EndpointError(Outcome.ERROR, f"{self._endpoint} did not begin a transaction")
        transaction = self._begin_transaction()
        result = None if isinstance(reply, Err) else reply
        return AttemptResponse(result, status, transaction=transaction, error=error)
