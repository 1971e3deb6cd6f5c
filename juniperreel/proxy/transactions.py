"""A transaction on one endpoint's connection, from its first statement to its end.

The router chose the endpoint when it routed the first statement as a request; all later statements use the
same connection. No statement is ever resent: if the connection is lost, the endpoint rolls the transaction
back, and the client gets an error. The effect is unknown only if the connection is lost during the commit.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import trio

from juniperreel.causal import EMPTY_TOKEN, Token
from juniperreel.mysql.packets import ProtocolError
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
from juniperreel.proxy.mysql_replies import STATUS_QUERY, replication_status, role_changed
from juniperreel.proxy.positions import PositionTracker
from juniperreel.proxy.requests import TransactionResult

# Reasons for aborting a transaction; clients receive these texts.
TRANSACTION_TIMED_OUT = "it took longer than a transaction may"
ENDPOINT_REMOVED = "its member has left"

TIMEOUT_CHECK_S = 0.25  # longest interval between two checks of a transaction's time-out


class EndpointTransaction:
    """Implements `requests.Transaction` on a leased connection; `release` must be called eventually."""

    def __init__(
        self,
        backend: BackendConnection,
        request_id: str,
        endpoint: str,
        group: int,
        clock: Clock,
        positions: PositionTracker,
        timeout_us: int,
        return_lease: Callable[[bool], None],
    ) -> None:
        """Start the time-out of `timeout_us`, after which the transaction is aborted.

        `return_lease` is called once, with whether the connection can be reused.
        """
        self._backend = backend
        self._request_id = request_id
        self._endpoint = endpoint
        self._group = group
        self._clock = clock
        self._positions = positions
        self._deadline_us = clock.now_us() + timeout_us
        self._return_lease: Callable[[bool], None] | None = return_lease
        self.abort_reason = ""
        self._statement_count = 0
        self._exchange_in_progress = False
        self.tainted = False

    @property
    def state(self) -> SessionState:
        """The session state that the connection is in."""
        return self._backend.session_state

    @state.setter
    def state(self, state: SessionState) -> None:
        """Record the session state after a statement that changed it."""
        self._backend.session_state = state

    @property
    def open(self) -> bool:
        """Whether further statements can be executed in the transaction."""
        return self._return_lease is not None

    def abort(self, reason: str) -> None:
        """Roll the transaction back because it timed out or its endpoint was removed.

        The client receives the reason at its next statement, or at once if one is in flight.
        """
        if self._return_lease is None or self.abort_reason:
            return
        self.abort_reason = reason
        self._backend.close()
        if not self._exchange_in_progress:
            self._end(reusable=False)

    def release(self) -> None:
        """Roll the transaction back if it is open: the client disconnected or no longer needs it."""
        if self._return_lease is not None:
            self._backend.close()
            self._end(reusable=False)

    def _end(self, reusable: bool) -> None:
        return_lease = self._return_lease
        self._return_lease = None
        if return_lease is not None:
            return_lease(reusable and not self._backend.close_reason and not self.tainted)

    async def run(self, statement: Statement, stream: bool = True) -> Result:
        """Execute one statement.

        Raises StatementError, after which the transaction may have ended (see `open`),
        TransactionRolledBackError, or ResultTooLargeError.
        """
        (reply,) = await self._exchange([statement], stream=stream)
        if isinstance(reply, Err):
            self._end_if_over(reply)
            raise StatementError(reply)
        if reply.remaining_rows is None and not self._backend.session.in_transaction:
            # The statement committed implicitly, as the server's status flags show.
            self._end(reusable=True)
        return reply

    def _end_if_over(self, err: Err, commits: bool = False) -> None:
        """End the transaction if the error's code implies that; an ERR packet carries no status flags.

        Raises TransactionRolledBackError, or TransactionOutcomeUnknownError if the statement `commits`.
        """
        match error_category(err.code):
            case ErrorCategory.READ_ONLY:
                # No longer a primary: it cannot commit. Closing the connection rolls the transaction back.
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
        """Execute the transaction's last statement: a commit, or a rollback if `commits` is false.

        Raises StatementError if the statement had no effect, TransactionRolledBackError, or, for a commit,
        TransactionOutcomeUnknownError.
        """
        if commits:
            return await self._commit(statement)
        (reply,) = await self._exchange([statement])
        self._end(reusable=True)
        if isinstance(reply, Err):
            raise StatementError(reply)
        return TransactionResult(reply, EMPTY_TOKEN)

    async def _commit(self, statement: Statement) -> TransactionResult:
        """Commit between two status queries, which show the epoch of the commit."""
        status_before, reply, status_after = await self._exchange_commit(statement)
        is_over = not self._backend.session.in_transaction
        if isinstance(reply, Err):
            self._end_if_over(reply, commits=True)
            if is_over:
                self._end(reusable=True)
            raise StatementError(reply)
        before = parse_heartbeat_or_none(status_before)
        after = parse_heartbeat_or_none(status_after)
        if is_over:
            self._end(reusable=True)
        if before is None or after is None:
            raise TransactionOutcomeUnknownError(f"{self._endpoint} sent no valid status with the commit")
        if role_changed(before, after):
            # The primary was replaced during the commit, and the group may have lost it.
            raise TransactionOutcomeUnknownError(f"{self._endpoint} changed its role during the commit")
        return TransactionResult(reply, self._record_commit(after, reply.ok.gtids))

    async def _exchange_commit(self, statement: Statement) -> list[Result | Err]:
        """Raises TransactionOutcomeUnknownError if the connection is lost."""
        try:
            return await self._exchange([STATUS_QUERY, statement, STATUS_QUERY], main=1)
        except TransactionRolledBackError as error:
            message = f"the connection to {self._endpoint} was lost during the commit"
            raise TransactionOutcomeUnknownError(message) from error
        except ResultTooLargeError as error:
            raise TransactionOutcomeUnknownError(str(error)) from error

    def _record_commit(self, after: endpoint_status.EndpointStatus, gtids: str) -> Token:
        """Record a confirmed commit, and return its token.

        Raises TransactionOutcomeUnknownError if its epoch has ended.
        """
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
        """Run statements on the connection; cancellation rolls the transaction back.

        Raises TransactionRolledBackError or ResultTooLargeError.
        """
        if self.abort_reason or self._return_lease is None:
            self._end(reusable=False)
            raise TransactionRolledBackError(self.abort_reason or "the transaction is over")
        self._statement_count += 1
        attributes: dict[str, Value] = {
            "juniperreel_request": self._request_id,
            "juniperreel_statement": self._statement_count,
        }
        self._exchange_in_progress = True
        try:
            return await self._backend.exchange(steps, attributes, main, stream)
        except ConnectionLostError as error:
            reason = self.abort_reason or f"the connection to {self._endpoint} was lost: {error}"
            raise TransactionRolledBackError(reason) from error
        finally:
            self._exchange_in_progress = False
            if self._backend.close_reason:
                self._end(reusable=False)

    async def enforce_timeout(self) -> None:
        """Abort the transaction at its deadline; return once it has ended."""
        while self.open:
            remaining_us = self._deadline_us - self._clock.now_us()
            if remaining_us <= 0:
                self.abort(TRANSACTION_TIMED_OUT)
                return
            await trio.sleep(min(remaining_us / US, TIMEOUT_CHECK_S))


def parse_heartbeat_or_none(reply: Result | Err) -> endpoint_status.EndpointStatus | None:
    """Parse the reply to `STATUS_QUERY`; None if the endpoint reports no status, or not a valid one."""
    if isinstance(reply, Err):
        return None
    try:
        return endpoint_status.parse_status(reply.values())
    except (StatusUnavailableError, ProtocolError):
        return None
