"""Checks a response against its request's requirements, and builds the client's answer. Performs no I/O.

The router sees positions, but neither epochs nor replication status. The checks here use both, and replace
the outcome of a successful attempt whose response is stale or belongs to an ended epoch.
"""

from __future__ import annotations

from dataclasses import dataclass

from juniperreel.causal import Token
from juniperreel.proxy.attempts import AttemptResponse
from juniperreel.proxy.errors import EndpointError
from juniperreel.proxy.open_requests import Attempt, AttemptCompleted
from juniperreel.proxy.positions import PositionTracker, ReplicationStatus
from juniperreel.proxy.requests import Answer, MysqlErrorCode, Served, StatementFailed
from juniperreel.routing.types import Outcome, Role
from juniperreel.rpc.status import Code, RpcError
from juniperreel.telemetry.metrics import Metrics


@dataclass(frozen=True, slots=True)
class CheckedOutcome:
    """An attempt's outcome after the checks, with its endpoint's role and applied position."""

    outcome: Outcome
    role: Role
    position_us: int | None


class ResponseCheck:
    """Checks the responses of all endpoints against the newest known epoch histories."""

    def __init__(self, positions: PositionTracker, metrics: Metrics) -> None:
        self._positions = positions
        self._metrics = metrics

    def check(self, completed: AttemptCompleted) -> CheckedOutcome:
        """Record the endpoint's status, and check the response, if any."""
        open_request = completed.attempt.open_request
        response = completed.response
        if response is None:
            # The endpoint did not execute the write because it is not a primary.
            is_replica = completed.outcome is Outcome.INELIGIBLE and open_request.is_write
            return CheckedOutcome(completed.outcome, Role.REPLICA if is_replica else Role.UNKNOWN, None)
        group = open_request.request.group
        self._positions.record_status(group, response.status)
        role = self._role(group, response.status)
        position_us = self._positions.applied_position(group, response.status)
        if completed.outcome is not Outcome.OK:
            return CheckedOutcome(completed.outcome, role, position_us)
        if not open_request.is_write:
            outcome = self._check_read(completed.attempt, response)
        elif open_request.request.transaction_mode is not None:
            outcome = self._check_transaction(group, response)
        else:
            outcome = self._check_write(group, response)
            if outcome is Outcome.OK:
                position_us = response.commit_position - self._positions.skew_us
        return CheckedOutcome(outcome, role, position_us)

    def _role(self, group: int, status: ReplicationStatus) -> Role:
        is_primary = self._positions.is_primary(group, status)
        if is_primary is None:
            return Role.UNKNOWN
        return Role.PRIMARY if is_primary else Role.REPLICA

    def _check_transaction(self, group: int, response: AttemptResponse) -> Outcome:
        """Check the epoch in which the transaction began; its commit is checked at its end.

        A transaction on a deposed primary would read data that no other endpoint has. Its first statement was
        executed, so the outcome must not be one that is resent freely.
        """
        return Outcome.RESET if self._positions.is_deposed(group, response.status) else Outcome.OK

    def _check_write(self, group: int, response: AttemptResponse) -> Outcome:
        epoch = response.status.history.epoch
        if self._positions.holds_commit(group, epoch, response.commit_position):
            return Outcome.OK
        # A deposed primary confirmed a write that is not part of the group's history.
        self._metrics.cut_off_writes.inc()
        return Outcome.RESET

    def _check_read(self, attempt: Attempt, response: AttemptResponse) -> Outcome:
        if attempt.required.is_met_by(response.status):
            return Outcome.OK
        # The endpoint's log was truncated, or it was restored from a backup, after its position was recorded.
        self._metrics.stale_answers.inc()
        return Outcome.INELIGIBLE

    def answer(self, completed: AttemptCompleted) -> Answer:
        """Build the client's answer from an attempt whose checked outcome is OK."""
        response = completed.response
        error = completed.error
        if response is not None and response.error is not None:
            error = response.error
        # Outcome OK together with an error: the error is in the statement.
        if isinstance(error, RpcError):
            return StatementFailed(int(error.code), error.message, error.details)
        if isinstance(error, EndpointError):
            mysql_error = MysqlErrorCode(error.code, error.sql_state)
            transaction = response.transaction if response is not None else None
            return StatementFailed(int(Code.INVALID_ARGUMENT), error.message, (), mysql_error, transaction)
        assert response is not None
        return self._served(completed.attempt, response)

    @staticmethod
    def _served(attempt: Attempt, response: AttemptResponse) -> Served:
        open_request = attempt.open_request
        request = open_request.request
        status = response.status
        if not open_request.is_write:
            seen_position = status.position
        elif request.transaction_mode is None:
            seen_position = response.commit_position
        else:
            seen_position = 0  # a transaction that has only begun adds no position to the token
        token = request.token
        if status.history.starts and seen_position:
            token = token.join(Token.for_position(request.group, status.history.epoch, seen_position))
        return Served(
            result=response.result,
            token=token,
            endpoint=attempt.endpoint,
            from_primary=status.is_primary is True,
            attempts=open_request.attempt_count,
            transaction=response.transaction,
        )
