"""Executes statements: the transaction scope plans each, and the proxy or the open transaction runs it."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from juniperreel.frontends.mysql.client_session import SessionContext, merge_presented_tokens
from juniperreel.frontends.mysql.context import FrontendContext
from juniperreel.frontends.mysql.errors import (
    DEADLINE_EXCEEDED,
    DEADLINE_RESPONSE,
    INVALID_STATEMENT,
    ErrorCode,
    ErrorResponse,
    MysqlError,
    failure_response,
    rejection_response,
    rolled_back_response,
)
from juniperreel.frontends.mysql.open_transaction import OpenTransaction
from juniperreel.frontends.mysql.request_submission import (
    InvalidGroupError,
    Request,
    RequestSubmitter,
    Submission,
)
from juniperreel.frontends.mysql.result_writer import ResultWriter
from juniperreel.frontends.mysql.transaction_scope import Action, Plan, TransactionScope
from juniperreel.mysql.server import Event, ServerSession
from juniperreel.mysql.values import Value
from juniperreel.pool.result import Result, Statement
from juniperreel.proxy import Failed, Rejected, Served, StatementFailed
from juniperreel.statements import Classification, SessionVerb

TOKEN_COMMENT = re.compile(rb"/\*\s*token\s+([\w-]{1,4096})\s*\*/")
FIRST_STATEMENT_TIMED_OUT = ErrorResponse(
    DEADLINE_EXCEEDED, "no answer came in time; nothing of the transaction took effect"
)


@dataclass(frozen=True, slots=True)
class ClientStatement:
    """A statement from a client: a text, or an execution of a prepared statement."""

    text: bytes
    classification: Classification
    attributes: Mapping[str, Value]
    values: Sequence[Value] = ()
    binary: bool = False  # whether the client expects rows in the binary protocol

    def query(self, plan: Plan) -> Statement:
        """The statement that is sent to an endpoint."""
        if plan.query is not None:
            return Statement(plan.query)
        return Statement(self.text, self.values, self.binary)


class StatementExecutor:
    """Executes one connection's statements, one at a time, and writes their responses."""

    def __init__(
        self,
        context: FrontendContext,
        protocol: ServerSession,
        session: SessionContext,
        scope: TransactionScope,
        writer: ResultWriter,
    ) -> None:
        """All arguments but `context` belong to the connection."""
        self._protocol = protocol
        self._session = session
        self._scope = scope
        self._writer = writer
        self._submitter = RequestSubmitter(context, session)
        self._transaction = OpenTransaction(scope, context.clock)

    async def execute(self, statement: ClientStatement) -> list[Event]:
        """Execute a statement and write its response.

        Raises MysqlError where the response is an error that has not been written yet.
        """
        match = TOKEN_COMMENT.search(statement.text)
        comment_token = match[1].decode() if match is not None else None
        merge_presented_tokens(self._session, statement.attributes, comment_token)
        try:
            return await self._execute_plan(statement)
        except MysqlError:
            self._update_status()
            raise

    def _update_status(self) -> None:
        self._protocol.status = self._scope.status()

    async def _execute_plan(self, statement: ClientStatement) -> list[Event]:
        scope = self._scope
        while True:
            plan = scope.plan(statement.classification)
            if scope.transaction is not None and (scope.assigns_variables or plan.taints_connection):
                scope.transaction.tainted = True
            query = statement.query(plan)
            match plan.action:
                case Action.REJECT:
                    raise MysqlError(plan.error_code, plan.error_message)
                case Action.ACKNOWLEDGE:
                    self._update_status()
                    return self._protocol.ok()
                case Action.RUN_IN_TRANSACTION if plan.assignments:
                    return await self._assign_in_transaction(query, plan)
                case Action.RUN_IN_TRANSACTION:
                    return await self._run_in_transaction(query, plan)
                case Action.END_TRANSACTION:
                    result = await self._end_transaction(query, plan)
                    command = statement.classification.session_command
                    if command is None or command.verb is not SessionVerb.BEGIN:
                        return await self._writer.write(result, 0)
                    # BEGIN has committed the open transaction; now it is planned again, to begin another.
                case Action.SINGLE_REQUEST | Action.BEGIN_TRANSACTION:
                    return await self._submit(query, statement, plan)

    # In the open transaction.

    async def _run_in_transaction(self, query: Statement, plan: Plan) -> list[Event]:
        deadline_us = self._transaction.statement_deadline_us()
        result = await self._transaction.run(query, plan)
        self._update_status()
        return await self._writer.write(result, deadline_us)

    async def _assign_in_transaction(self, query: Statement, plan: Plan) -> list[Event]:
        """Set session variables, which a rollback does not undo, as on a MySQL server."""
        variables = self._session.with_assignments(plan.assignments)
        transaction = self._scope.transaction
        assert transaction is not None
        events = await self._run_in_transaction(query, plan)
        if transaction.open:
            transaction.state = variables
        self._session.apply_variables(variables)
        return events

    async def _end_transaction(self, query: Statement, plan: Plan) -> Result:
        committed = await self._transaction.finish(query, plan)
        self._session.token = self._session.token.join(committed.token)
        self._update_status()
        return committed.result

    # As requests to the proxy.

    async def _submit(self, query: Statement, statement: ClientStatement, plan: Plan) -> list[Event]:
        """Submit a statement as a single request, or as the request that begins a transaction."""
        variables = self._session.with_assignments(plan.assignments)
        try:
            group = self._submitter.find_group(query.text, statement.attributes)
        except InvalidGroupError as error:
            return error.response.write_to(self._protocol)
        request = Request(query, statement.classification, plan, statement.attributes, group, variables)
        submission = await self._submitter.submit(request, self._scope.last_insert_id)
        self._transaction.statement_timeout_us = submission.statement_timeout_us
        if plan.assignments and isinstance(submission.answer, Served):
            self._session.apply_variables(variables)
        return await self._write_answer(submission, request)

    async def _write_answer(self, submission: Submission, request: Request) -> list[Event]:
        answer = submission.answer
        begins = request.plan.action is Action.BEGIN_TRANSACTION
        match answer:
            case Served():
                return await self._write_served(answer, request, submission.response_deadline_us)
            case StatementFailed():
                return self._write_statement_error(answer, begins)
            case Rejected():
                return rejection_response(answer).write_to(self._protocol)
            case Failed() if begins:
                # The endpoint rolls the transaction back, so nothing was committed even if the statement ran.
                self._scope.on_transaction_ended()
                return rolled_back_response(answer.reason).write_to(self._protocol)
            case Failed():
                return failure_response(answer).write_to(self._protocol)
            case None if begins:
                self._scope.on_transaction_ended()
                return FIRST_STATEMENT_TIMED_OUT.write_to(self._protocol)
            case None:
                return DEADLINE_RESPONSE.write_to(self._protocol)

    async def _write_served(self, answer: Served, request: Request, response_deadline_us: int) -> list[Event]:
        plan = request.plan
        result = answer.result
        begins = plan.action is Action.BEGIN_TRANSACTION
        self._session.token = answer.token  # includes the presented tokens, and is corrected after failovers
        if begins:
            self._scope.on_transaction_opened(answer.transaction)
            if self._scope.transaction is not None and plan.taints_connection:
                self._scope.transaction.tainted = True
        insert_id = result.final_ok.insert_id if isinstance(result, Result) else 0
        if not begins or insert_id:
            self._scope.on_statement_answered(insert_id)
        self._update_status()
        if plan.hides_result:
            return self._protocol.ok()
        if isinstance(result, Result):
            return await self._writer.write(result, response_deadline_us)
        return self._writer.write_result_set(result, request.statement.binary)

    def _write_statement_error(self, answer: StatementFailed, begins: bool) -> list[Event]:
        """Write the error with which an endpoint rejected the statement itself."""
        if begins:
            self._scope.on_transaction_opened(answer.transaction)
            self._update_status()
        code = ErrorCode(*answer.mysql_error) if answer.mysql_error else INVALID_STATEMENT
        return ErrorResponse(code, answer.message).write_to(self._protocol)
