"""One attempt as an exchange on one MySQL connection.

The endpoint's status is queried in the same exchange as the statement, so that a response is judged by what
its endpoint held when it gave it. A write queries it before and after: only a commit between two equal
statuses belongs to that epoch.
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
    changed_role,
    error_of,
    heartbeat_of,
    parameter_value,
    replication_status,
    statement_error,
)
from juniperreel.proxy.positions import PositionTracker, ReplicationStatus
from juniperreel.proxy.requests import TransactionMode
from juniperreel.proxy.transactions import EndpointTransaction
from juniperreel.routing.types import Outcome

BEGIN_READ_WRITE = Statement(b"start transaction")
BEGIN_READ_ONLY = Statement(b"start transaction read only")


class AttemptExchange:
    """Executes one attempt on a leased connection that is in the session's state.

    `begin_transaction` makes the connection's open transaction, which then owns its lease.
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
        """Run the steps; once more where the server had forgotten a prepared statement, and executed nothing.

        `main` is the index of the attempt's own statement.
        """
        answers = await self._backend.exchange(steps, self._attributes, main, stream)
        answer = answers[main]
        forgotten = isinstance(answer, Err) and answer.code in REPREPARE_CODES
        if forgotten and not self._backend.session.in_transaction:
            answers = await self._backend.exchange(steps, self._attributes, main, stream)
        return answers

    async def _read(self) -> AttemptResponse:
        stream = self._attempt.request.accepts_stream
        status_answer, answer = await self._run([STATUS_QUERY, self._statement], 1, stream)
        status = replication_status(heartbeat_of(status_answer))
        if isinstance(answer, Err):
            raise error_of(answer)
        if not self._attempt.required.is_met_by(status):
            if answer.remaining_rows is not None:
                answer.remaining_rows.close()
            return AttemptResponse(None, status)  # the response check finds that it is too old
        return AttemptResponse(answer, status)

    async def _write(self) -> AttemptResponse:
        """Raises ConnectionLostError where the commit's epoch is in doubt."""
        steps = [STATUS_QUERY, self._statement, STATUS_QUERY]
        status_before, answer, status_after = await self._run(steps, 1)
        before = heartbeat_of(status_before)
        if isinstance(answer, Err):
            raise error_of(answer)
        if self._backend.session.in_transaction:
            # The statement opened a transaction unrecognised. Its client would go on in a transaction that
            # ends when the connection goes to somebody else.
            raise not_supported("begins a transaction in words that are not read here")
        try:
            after = heartbeat_of(status_after)
        except EndpointError as error:
            message = f"{self._endpoint} does not report the status of its commit: {error}"
            raise ConnectionLostError(message, sent=True) from error
        if changed_role(before, after):
            raise ConnectionLostError(f"{self._endpoint} changed its role during a write", sent=True)
        status = replication_status(after)
        group = self._group_of(self._endpoint)
        self._positions.record_commit(group, status.history.epoch, after.clock_us, answer.ok.gtids)
        return AttemptResponse(answer, status, after.clock_us)

    async def _begin_read_write(self) -> AttemptResponse:
        """Begin, query the status, and only then send the statement.

        A statement that was executed at a deposed primary, even if it was rolled back, would not be retried.
        """
        status_answer, begun = await self._backend.exchange([STATUS_QUERY, BEGIN_READ_WRITE])
        heartbeat = heartbeat_of(status_answer)
        status = replication_status(heartbeat)
        group = self._group_of(self._endpoint)
        self._positions.record_status(group, status)
        if heartbeat.read_only or self._positions.is_deposed(group, status):
            raise EndpointError(Outcome.INELIGIBLE, f"{self._endpoint} is no primary")
        if isinstance(begun, Err):
            raise error_of(begun)
        stream = self._attempt.request.accepts_stream
        (answer,) = await self._backend.exchange([self._statement], self._attributes, 0, stream)
        return self._transaction_response(status, answer)

    async def _begin_read_only(self) -> AttemptResponse:
        """Query the status within the transaction, so that it is that of the transaction's snapshot."""
        steps = [BEGIN_READ_ONLY, STATUS_QUERY, self._statement]
        stream = self._attempt.request.accepts_stream
        begun, status_answer, answer = await self._backend.exchange(steps, self._attributes, 2, stream)
        if isinstance(begun, Err):
            raise error_of(begun)
        status = replication_status(heartbeat_of(status_answer))
        return self._transaction_response(status, answer)

    def _transaction_response(self, status: ReplicationStatus, answer: Result | Err) -> AttemptResponse:
        """The response to a transaction's first statement, which may fail and leave the transaction open."""
        error = None
        if isinstance(answer, Err):
            if error_category(answer.code) not in (ErrorCategory.STATEMENT_ERROR, ErrorCategory.ABORTED):
                raise error_of(answer)
            error = statement_error(answer)
            if answer.code in TRANSACTION_ROLLBACK_CODES:
                raise error
        if not self._backend.session.in_transaction:
            raise EndpointError(Outcome.ERROR, f"{self._endpoint} began no transaction")
        transaction = self._begin_transaction()
        result = None if isinstance(answer, Err) else answer
        return AttemptResponse(result, status, transaction=transaction, error=error)
