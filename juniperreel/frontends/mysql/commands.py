"""Dispatches the commands of one connection, with a method for each that is supported."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from juniperreel.frontends.mysql.client_session import SessionContext
from juniperreel.frontends.mysql.context import FrontendContext
from juniperreel.frontends.mysql.errors import (
    NEEDS_REPREPARE,
    UNKNOWN_COMMAND,
    UNKNOWN_SCHEMA,
    MysqlError,
    PreparedStatementError,
)
from juniperreel.frontends.mysql.execution import ClientStatement, StatementExecutor
from juniperreel.frontends.mysql.prepared import PreparedStatements
from juniperreel.frontends.mysql.result_writer import ResultWriter
from juniperreel.frontends.mysql.session_queries import SessionQueries
from juniperreel.frontends.mysql.transaction_scope import Action, TransactionScope
from juniperreel.mysql.constants import CommandCode
from juniperreel.mysql.server import Command, Event, LoggedIn, ServerSession
from juniperreel.statements import StatementKind

MULTI_STATEMENTS_OFF = b"\1\0"  # the argument of COM_SET_OPTION


class CommandHandler:
    """Answers commands one after another, and owns the session's state."""

    def __init__(
        self,
        context: FrontendContext,
        protocol: ServerSession,
        flush: Callable[[], Awaitable[None]],
        statistics: Callable[[], str],
    ) -> None:
        """`flush` sends what `protocol` has encoded; `statistics` is the answer to COM_STATISTICS."""
        self._context = context
        self._protocol = protocol
        self._statistics = statistics
        self.scope = TransactionScope(context.supports_transactions, context.options.schema)
        self._session = SessionContext(context.keyring)
        self._prepared = PreparedStatements(context.options.max_packet)
        self._queries = SessionQueries(protocol, self._session, self.scope)
        writer = ResultWriter(protocol, self._session, context.clock, flush)
        self._executor = StatementExecutor(context, protocol, self._session, self.scope, writer)

    def on_login(self, login: LoggedIn) -> None:
        """A login, also by COM_CHANGE_USER, starts a new session. Its OK has been written."""
        self._reset_session()
        self._session.user = login.user
        self._session.schema = login.database

    def close(self) -> None:
        """Roll back the open transaction when the client disconnects."""
        self.scope.reset()

    async def handle(self, command: Command) -> list[Event]:
        """Answer a command; returns the events of commands that arrived meanwhile."""
        # An error response carries no status flags, so those of the next response must be current.
        self._protocol.status = self.scope.status()
        try:
            return await self._dispatch(command)
        except MysqlError as error:
            return error.response.write_to(self._protocol)

    async def _dispatch(self, command: Command) -> list[Event]:
        match command.kind:
            case CommandCode.QUERY:
                return await self._query(command)
            case CommandCode.PING:
                return self._protocol.ok()
            case CommandCode.INIT_DB:
                return self._init_db(command.payload.decode("utf-8", "replace"))
            case CommandCode.RESET_CONNECTION:
                self._reset_session()
                return self._protocol.ok()
            case CommandCode.STATISTICS:
                return self._protocol.statistics(self._statistics())
            case CommandCode.SET_OPTION:
                return self._set_option(command.payload)
            case _:
                return await self._dispatch_prepared(command)

    async def _dispatch_prepared(self, command: Command) -> list[Event]:
        match command.kind:
            case CommandCode.STMT_PREPARE:
                return self._prepare(command.payload)
            case CommandCode.STMT_EXECUTE:
                return await self._execute(command.payload)
            case CommandCode.STMT_RESET:
                self._prepared.reset(command.payload)
                return self._protocol.ok()
            case CommandCode.STMT_CLOSE:
                self._prepared.close(command.payload)
                return self._protocol.no_response()
            case CommandCode.STMT_SEND_LONG_DATA:
                self._prepared.append_long_data(command.payload)
                return self._protocol.no_response()
            case _:
                raise MysqlError(UNKNOWN_COMMAND, f"command {command.kind:#04x} is not supported")

    def _reset_session(self) -> None:
        self.scope.reset()
        self._session.reset()
        self._prepared.clear()
        self._protocol.status = self.scope.status()

    def _init_db(self, name: str) -> list[Event]:
        if not self._protocol.accepts_database(name):
            raise MysqlError(UNKNOWN_SCHEMA, f"Unknown database '{name[:64]}'")
        self._session.schema = name
        return self._protocol.ok()

    def _set_option(self, option: bytes) -> list[Event]:
        if option[:2] != MULTI_STATEMENTS_OFF:
            raise MysqlError(UNKNOWN_COMMAND, "several statements at once are not supported")
        return self._protocol.option_set()

    async def _query(self, command: Command) -> list[Event]:
        text = command.payload
        events = self._queries.answer(text)
        if events is not None:
            return events
        classification = self._context.statement_classifier.classify(text, self._session.parse_mode)
        return await self._executor.execute(ClientStatement(text, classification, command.attributes))

    def _prepare(self, text: bytes) -> list[Event]:
        classification = self._context.statement_classifier.classify(text, self._session.parse_mode)
        autocommit_scope = TransactionScope(self._context.supports_transactions, self._context.options.schema)
        plan = autocommit_scope.plan(classification)
        depends_on_session = classification.dependencies and classification.kind in (
            StatementKind.READ,
            StatementKind.WRITE,
            StatementKind.LOCKING_READ,
        )
        if plan.action is Action.REJECT and not depends_on_session and classification.session_command is None:
            raise MysqlError(plan.error_code, plan.error_message)
        statement = self._prepared.prepare(
            text, classification, self._session.parse_mode, self._session.variables.parse_context
        )
        return self._protocol.prepared(statement.id, statement.parameters)

    async def _execute(self, payload: bytes) -> list[Event]:
        execution = self._prepared.execute(payload, self._protocol.supports_attributes)
        statement = execution.statement
        if statement.parse_settings != self._session.variables.parse_context:
            # Under another sql_mode the same text may have another meaning.
            raise PreparedStatementError(NEEDS_REPREPARE, "Prepared statement needs to be re-prepared")
        return await self._executor.execute(
            ClientStatement(
                statement.text, statement.classification, execution.attributes, execution.values, binary=True
            )
        )
