"""A transaction on one endpoint's connection, from its first statement to its end.

The router saw the first statement as a request and chose the endpoint; all that follows goes to the same
connection and nowhere else. Nothing of it is ever sent twice: what breaks is rolled back by the endpoint, and
reported so. Only where the connection breaks during the commit is the effect unknown.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import trio

from juniperreel.causal import EMPTY_TOKEN, Token
from juniperreel.mysql.replies import Err
from juniperreel.mysql.values import Value
from juniperreel.net import Clock
from juniperreel.net.clock import US
from juniperreel.pool import endpoint_status
from juniperreel.pool.connection import BackendConnection
from juniperreel.pool.error_codes import TRANSACTION_ROLLBACK_CODES, ErrorCategory, error_category
from juniperreel.pool.errors import (
    ConnectionLostError,
    ResultTooLargeError,
    StatementError,
    StatusUnavailableError,
)
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.session_state import SessionState
from juniperreel.proxy.errors import TransactionOutcomeUnknownError, TransactionRolledBackError
from juniperreel.proxy.mysql_replies import STATUS_QUERY, changed_role, replication_status
from juniperreel.proxy.positions import PositionTracker
from juniperreel.proxy.requests import TransactionResult

# Reasons of an abort, as clients see them.
TOOK_TOO_LONG = "it took longer than a transaction may"
ENDPOINT_REMOVED = "its member has left"

TIMEOUT_CHECK_S = 0.25  # longest pause between two checks whether a transaction took too long


class EndpointTransaction:
    """Implements `requests.Transaction` on a leased connection. `release` must be called in the end."""

    def __init__(
        self,
        backend: BackendConnection,
        request_id: str,
        endpoint: str,
        group: int,
        clock: Clock,
        positions: PositionTracker,
        timeout_us: int,
        give_back: Callable[[bool], None],
    ) -> None:
        """`timeout_us` runs from now; then the transaction is aborted.

        `give_back` takes the connection back, and whether it can be reused.
        """
        self._backend = backend
        self._request_id = request_id
        self._endpoint = endpoint
        self._group = group
        self._clock = clock
        self._positions = positions
        self._deadline_us = clock.now_us() + timeout_us
        self._give_back: Callable[[bool], None] | None = give_back
        self._abort_reason = ""
        self._statement_count = 0
        self._is_busy = False
        self.tainted = False

    @property
    def state(self) -> SessionState:
        """What sessions have changed of the connection."""
        return self._backend.session_state

    @state.setter
    def state(self, state: SessionState) -> None:
        """Record a change that a statement has made to the session."""
        self._backend.session_state = state

    @property
    def open(self) -> bool:
        """Whether further statements can be executed in it."""
        return self._give_back is not None

    def abort(self, reason: str) -> None:
        """Roll it back from this side: it took too long, or its endpoint was removed.

        Its client learns the reason at its next statement, or at once if one is in flight.
        """
        if self._give_back is None or self._abort_reason:
            return
        self._abort_reason = reason
        self._backend.close()
        if not self._is_busy:
            self._end(reusable=False)

    def release(self) -> None:
        """Roll it back if it is open: its client has disconnected, or is done with it."""
        if self._give_back is not None:
            self._backend.close()
            self._end(reusable=False)

    def _end(self, reusable: bool) -> None:
        give_back = self._give_back
        self._give_back = None
        if give_back is not None:
            give_back(reusable and not self._backend.close_reason and not self.tainted)

    async def run(self, statement: Statement, stream: bool = True) -> Result:
        """Execute one statement.

        Raises StatementError (the transaction may be over then: see `open`), TransactionRolledBackError, or
        ResultTooLargeError.
        """
        (answer,) = await self._exchange([statement], stream=stream)
        if isinstance(answer, Err):
            self._end_if_over(answer)
            raise StatementError(answer)
        if answer.remaining_rows is None and not self._backend.session.in_transaction:
            # Statements that commit by themselves end a transaction: the server says so.
            self._end(reusable=True)
        return answer

    def _end_if_over(self, err: Err, commits: bool = False) -> None:
        """Read from an error's code, as it carries no session flags, whether the transaction is over.

        Raises TransactionRolledBackError, or TransactionOutcomeUnknownError if the statement `commits`.
        """
        match error_category(err.code):
            case ErrorCategory.READ_ONLY:
                # A primary no longer: it will commit nothing; what ran is rolled back with the connection.
                self.release()
                raise TransactionRolledBackError(f"{self._endpoint} takes no writes any more")
            case ErrorCategory.CONNECTION_CLOSED | ErrorCategory.SERVER_FAILURE if commits:
                self.release()
                raise TransactionOutcomeUnknownError(f"{self._endpoint} broke off the commit: {err.code}")
            case ErrorCategory.CONNECTION_CLOSED:
                self.release()
                raise TransactionRolledBackError(f"{self._endpoint} ended the connection: {err.code}")
            case _ if err.code in TRANSACTION_ROLLBACK_CODES:
                self._end(reusable=False)

    async def finish(self, statement: Statement, commits: bool = True) -> TransactionResult:
        """Execute the last statement, a rollback unless it `commits`.

        Raises StatementError with nothing done, TransactionRolledBackError, or TransactionOutcomeUnknownError
        for one that commits.
        """
        if commits:
            return await self._commit(statement)
        (answer,) = await self._exchange([statement])
        self._end(reusable=True)
        if isinstance(answer, Err):
            raise StatementError(answer)
        return TransactionResult(answer, EMPTY_TOKEN)

    async def _commit(self, statement: Statement) -> TransactionResult:
        """Commit between two status queries, which show in whose epoch the commit lies."""
        status_before, answer, status_after = await self._exchange_commit(statement)
        is_over = not self._backend.session.in_transaction
        if isinstance(answer, Err):
            self._end_if_over(answer, commits=True)
            if is_over:
                self._end(reusable=True)
            raise StatementError(answer)
        before = read_heartbeat(status_before)
        after = read_heartbeat(status_after)
        if is_over:
            self._end(reusable=True)
        if before is None or after is None or changed_role(before, after):
            # The primary was replaced while it confirmed; the group may never hold this commit.
            raise TransactionOutcomeUnknownError(f"{self._endpoint} changed its role during the commit")
        return TransactionResult(answer, self._record_commit(after, answer.ok.gtids))

    async def _exchange_commit(self, statement: Statement) -> list[Result | Err]:
        """Raises TransactionOutcomeUnknownError where the connection breaks."""
        try:
            return await self._exchange([STATUS_QUERY, statement, STATUS_QUERY], main=1)
        except TransactionRolledBackError as error:
            message = f"the connection to {self._endpoint} was lost during the commit"
            raise TransactionOutcomeUnknownError(message) from error
        except ResultTooLargeError as error:
            raise TransactionOutcomeUnknownError(str(error)) from error

    def _record_commit(self, after: endpoint_status.EndpointStatus, gtids: str) -> Token:
        """The token of a confirmed commit. Raises TransactionOutcomeUnknownError in an ended epoch."""
        status = replication_status(after)
        self._positions.record_status(self._group, status)
        epoch = status.history.epoch
        if not self._positions.holds_commit(self._group, epoch, after.clock_us):
            raise TransactionOutcomeUnknownError(f"{self._endpoint} is a primary of the past")
        self._positions.record_commit(self._group, epoch, after.clock_us, gtids)
        return Token.for_position(self._group, epoch, after.clock_us)

    async def _exchange(
        self, steps: Sequence[Statement], main: int = 0, stream: bool = False
    ) -> list[Result | Err]:
        """Cancelled, the transaction is rolled back.

        Raises TransactionRolledBackError or ResultTooLargeError.
        """
        if self._abort_reason or self._give_back is None:
            self._end(reusable=False)
            raise TransactionRolledBackError(self._abort_reason or "the transaction is over")
        self._statement_count += 1
        attributes: dict[str, Value] = {
            "juniperreel_request": self._request_id,
            "juniperreel_statement": self._statement_count,
        }
        self._is_busy = True
        try:
            return await self._backend.exchange(steps, attributes, main, stream)
        except ConnectionLostError as error:
            reason = self._abort_reason or f"the connection to {self._endpoint} was lost: {error}"
            raise TransactionRolledBackError(reason) from error
        finally:
            self._is_busy = False
            if self._backend.close_reason:
                self._end(reusable=False)

    async def enforce_timeout(self) -> None:
        """Abort the transaction when it took too long; returns when it is over."""
        while self.open:
            remaining_us = self._deadline_us - self._clock.now_us()
            if remaining_us <= 0:
                self.abort(TOOK_TOO_LONG)
                return
            await trio.sleep(min(remaining_us / US, TIMEOUT_CHECK_S))


def read_heartbeat(answer: Result | Err) -> endpoint_status.EndpointStatus | None:
    """The reply to `STATUS_QUERY`, None where the endpoint doesn't report its status."""
    if isinstance(answer, Err):
        return None
    try:
        return endpoint_status.parse_status(answer.values())
    except StatusUnavailableError:
        return None
