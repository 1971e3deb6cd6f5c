"""Runs statements at the endpoint that holds a session's open transaction, and ends it there."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

import trio

from juniperreel.frontends.mysql.errors import (
    DEADLINE_EXCEEDED,
    EFFECT_UNKNOWN,
    TOO_LONG,
    ErrorCode,
    ErrorResponse,
    MysqlError,
    rolled_back_response,
)
from juniperreel.frontends.mysql.transaction_scope import Plan, TransactionScope
from juniperreel.net import Clock
from juniperreel.pool.errors import ResultTooLargeError, StatementError
from juniperreel.pool.result import Result, Statement
from juniperreel.proxy import (
    Transaction,
    TransactionOutcomeUnknownError,
    TransactionResult,
    TransactionRolledBackError,
)

AnswerT = TypeVar("AnswerT")

INSERT_ID_TIMED_OUT = ErrorResponse(DEADLINE_EXCEEDED, "no answer came in time")
STATEMENT_TIMED_OUT = ErrorResponse(DEADLINE_EXCEEDED, "no answer came in time; the transaction was undone")
COMMIT_TIMED_OUT = ErrorResponse(
    EFFECT_UNKNOWN, "no answer came in time; the transaction may have taken effect"
)


class OpenTransaction:
    """The open transaction of a scope. Methods raise MysqlError, and update the scope if it ended."""

    def __init__(self, scope: TransactionScope, clock: Clock) -> None:
        """`scope` owns the transaction."""
        self._scope = scope
        self._clock = clock
        self.statement_timeout_us = 0  # of the request class of the first statement; applies to each one

    def statement_deadline_us(self) -> int:
        """The deadline of a statement that starts now."""
        return self._clock.now_us() + self.statement_timeout_us

    async def run(self, statement: Statement, plan: Plan) -> Result:
        """Run a statement within the transaction."""
        if plan.needs_insert_id:
            await self._set_last_insert_id()
        running = self._transaction().run(statement)
        result = await self._await_answer(running, STATEMENT_TIMED_OUT, plan.may_commit)
        self._scope.on_statement_answered(result.final_ok.insert_id)
        return result

    async def finish(self, statement: Statement, plan: Plan) -> TransactionResult:
        """Commit or roll back, explicitly or by a statement that implies it."""
        timeout_response = COMMIT_TIMED_OUT if plan.may_commit else STATEMENT_TIMED_OUT
        finishing = self._transaction().finish(statement, plan.may_commit)
        committed = await self._await_answer(finishing, timeout_response)
        self._scope.on_transaction_ended()
        return committed

    def _transaction(self) -> Transaction:
        transaction = self._scope.transaction
        assert transaction is not None
        return transaction

    async def _set_last_insert_id(self) -> None:
        text = f"set @@session.last_insert_id = {self._scope.last_insert_id}".encode()
        await self._await_answer(self._transaction().run(Statement(text)), INSERT_ID_TIMED_OUT)

    async def _await_answer(
        self, answer: Awaitable[AnswerT], timeout_response: ErrorResponse, may_commit: bool = False
    ) -> AnswerT:
        """Await the endpoint's answer until the statement's deadline.

        `may_commit`: the statement may have committed even if the endpoint lost the transaction.
        Raises MysqlError with the endpoint's own error, which leaves the transaction open; otherwise with
        `timeout_response` or an error that states the effect, and the transaction has ended.
        """
        scope = self._scope
        try:
            with trio.CancelScope(deadline=self._clock.trio_time(self.statement_deadline_us())):
                return await answer
        except StatementError as error:
            scope.on_statement_answered()
            raise MysqlError(ErrorCode(error.err.code, error.err.sqlstate), error.err.message) from error
        except TransactionRolledBackError as error:
            scope.on_transaction_ended()
            if may_commit:
                raise MysqlError(EFFECT_UNKNOWN, f"{error}; it may have taken effect") from error
            response = rolled_back_response(error)
            raise MysqlError(response.code, response.message) from error
        except TransactionOutcomeUnknownError as error:
            scope.on_transaction_ended()
            raise MysqlError(EFFECT_UNKNOWN, f"{error}; the transaction may have taken effect") from error
        except ResultTooLargeError as error:
            scope.on_transaction_ended()
            raise MysqlError(TOO_LONG, str(error)) from error
        scope.on_transaction_ended()
        raise MysqlError(timeout_response.code, timeout_response.message)
