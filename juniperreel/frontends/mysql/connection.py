"""One client of MySQL: its commands, its session's token, its transaction.

A connection is a session: it keeps a causal token and presents it with every statement. Prepared statements
are texts that it remembers. What a statement is, the reader says; what it does to the transaction, the scope;
where it goes, the module.
"""

from __future__ import annotations

import re
import secrets
from collections.abc import Awaitable, Mapping, Sequence
from typing import TYPE_CHECKING, TypeVar

import trio

from juniperreel.causal import EMPTY, Token, TokenError
from juniperreel.frontends.errors import described
from juniperreel.frontends.mysql import answers as say
from juniperreel.frontends.mysql.classes import GROUP, digest, hint_of
from juniperreel.frontends.mysql.prepared import AGAIN, Fault, Prepared
from juniperreel.frontends.mysql.scope import NOT_SUPPORTED, UNDONE, Do, Plan, Scope
from juniperreel.mysql.constants import ColumnType, Com
from juniperreel.mysql.replies import gtid_track
from juniperreel.mysql.server import Command, Event, Gone, LoggedIn, ServerSession, StartTls, State
from juniperreel.mysql.values import Column, Value, binary_row
from juniperreel.net.clock import US
from juniperreel.pool.errors import (
    ConnectionLostError,
    ResultTooLargeError,
    SessionStateTooLargeError,
    StatementError,
)
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.session_state import INITIAL_SESSION_STATE, SessionState
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proxy import (
    Answer,
    ClientRequest,
    Failed,
    Rejected,
    Served,
    StatementFailed,
    TransactionMode,
    TransactionOutcomeUnknownError,
    TransactionResult,
    TransactionRolledBackError,
)
from juniperreel.statements import Classification, LexerMode, SessionVerb, StatementKind

if TYPE_CHECKING:
    from juniperreel.frontends.mysql.front import MysqlFront

READ_BYTES = 64 << 10
LOGIN_S = 10.0
SEND_S = 30.0  # for an answer, or a part of one; a client that does not read is dropped
AHEAD = 1 << 20  # bytes of commands that may wait behind the one in hand
TOKEN = re.compile(rb"\s*select\s+@@juniperreel_token\s*;?\s*\Z", re.I)
SET_TOKEN = re.compile(rb"\s*set\s+@@(?:session\.)?juniperreel_token\s*=\s*'([\w-]{1,4096})'\s*;?\s*\Z", re.I)
HINT_TOKEN = re.compile(rb"/\*\s*token\s+([\w-]{1,4096})\s*\*/")
LAST_ID = re.compile(
    rb"\s*select\s+(last_insert_id\(\)|@@(?:session\.)?(?:last_insert_id|identity))\s*;?\s*\Z", re.I
)
AUTOCOMMIT = re.compile(rb"\s*select\s+(@@(?:session\.)?autocommit)\s*;?\s*\Z", re.I)


T = TypeVar("T")


class Instead(Exception):
    """An error is the answer: code, SQLSTATE, words."""

    def __init__(self, code: int, state: str, words: str) -> None:
        super().__init__(words)
        self.error = (code, state, words)


class Prefixed(trio.abc.Stream):
    """A stream of which some was already read."""

    def __init__(self, stream: trio.abc.Stream, rest: bytes) -> None:
        self._stream, self._rest = stream, rest

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        if self._rest:
            await trio.lowlevel.checkpoint()
            rest, self._rest = self._rest, b""
            return rest
        return await self._stream.receive_some(max_bytes)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        await self._stream.aclose()


class Connection:
    """One client: its session, its token, its modes."""

    def __init__(self, front: MysqlFront, session: ServerSession, stream: trio.abc.Stream) -> None:
        self._front, self._session, self._stream = front, session, stream
        self._token: Token = EMPTY
        self._told: Token = EMPTY  # to the client, by session tracking
        self._mode = LexerMode()
        self._name = f"mysql-{secrets.token_hex(6)}"
        self._user = self._schema = ""
        self._count = 0
        self._deadline_us = 0  # for each statement of the transaction
        self._busy = False
        self._prepared = Prepared(front.options.max_packet)
        self._state = INITIAL_SESSION_STATE
        self._scope = Scope(front.transactions, front.options.schema)

    async def run(self) -> None:
        """Reads while a command is in hand, so that a client's leaving ends it."""
        # Danger: a peer that connects and says nothing holds a descriptor for ever.
        todo: list[Event] | None = None
        with trio.move_on_after(LOGIN_S):
            todo = await self._login()
        if todo is None:
            return
        send, receive = trio.open_memory_channel[bytes](1)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, send, nursery.cancel_scope)
                while True:
                    await self._flush()
                    if self._session.state is State.CLOSED:
                        break
                    if not todo:
                        todo = self._session.receive(await receive.receive())
                        continue
                    todo += await self._on(todo.pop(0))
                nursery.cancel_scope.cancel()
        finally:
            self._scope.leave()

    @property
    def engaged(self) -> bool:
        """Whether a stopping edge waits for it: a command is in hand, or a transaction open."""
        return self._busy or (self._scope.held is not None and self._scope.held.open)

    async def _flush(self) -> None:
        with trio.fail_after(SEND_S):
            await self._stream.send_all(self._session.data_to_send())

    async def _login(self) -> list[Event] | None:
        """Until the client is let in, with what it asked since; None where it was not."""
        tls = self._front.options.tls
        while True:
            await self._stream.send_all(self._session.data_to_send())
            if self._session.state is State.CLOSED:
                return None
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return None
            events = self._session.receive(bytes(data))
            start = next((e for e in events if isinstance(e, StartTls)), None)
            if start is not None and tls is not None:
                inner = Prefixed(self._stream, start.rest)
                secure = trio.SSLStream(inner, tls, server_side=True)
                await secure.do_handshake()
                self._stream = secure
            elif self._session.state not in (State.AUTH, State.SWITCH):
                return events

    async def _receive(self, send: trio.MemorySendChannel[bytes], scope: trio.CancelScope) -> None:
        while True:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data or self._session.held > AHEAD + self._front.options.max_packet:
                scope.cancel()
                return
            await send.send(bytes(data))

    # Commands.

    async def _on(self, event: Event) -> list[Event]:
        match event:
            case Command():
                if self._front.draining and self._scope.held is None:
                    self._session.error(*say.STOPPING)
                    self._session.close("the edge is stopping")
                    return []
                self._busy = True
                self._front.questions += 1
                try:
                    return await self._command(event)
                finally:
                    self._busy = False
                    self._front.rested()
            case LoggedIn():
                return self._logged_in(event)
            case StartTls() | Gone():
                return []

    def _logged_in(self, login: LoggedIn) -> list[Event]:
        """Also after COM_CHANGE_USER, which starts the session afresh. The OK has been said."""
        self._afresh()
        self._user, self._schema = login.user, login.database
        return []

    def _afresh(self) -> None:
        """All but the token: what was seen was seen."""
        self._scope.leave()
        self._mode, self._state = LexerMode(), INITIAL_SESSION_STATE
        self._prepared.clear()
        self._session.status = self._scope.status()

    async def _command(self, command: Command) -> list[Event]:
        s, kind, payload = self._session, command.kind, command.payload
        if kind == Com.QUERY:
            return await self._query(payload, command.attributes)
        if kind == Com.PING:
            return s.ok()
        if kind == Com.INIT_DB:
            return self._init_db(payload.decode("utf-8", "replace"))
        if kind == Com.RESET_CONNECTION:
            self._afresh()
            return s.ok()
        if kind == Com.STATISTICS:
            return s.statistics(self._front.statistics())
        if kind == Com.SET_OPTION:
            if payload[:2] == b"\1\0":  # several statements at once off
                return s.option_set()
            return s.error(*say.BAD_COMMAND, "several statements at once are not supported")
        try:
            if kind == Com.STMT_PREPARE:
                return self._prepare(payload)
            if kind == Com.STMT_EXECUTE:
                statement, values, attributes = self._prepared.execute(payload, s.takes_attributes)
                if statement.parsed != self._state.parse_context:
                    # Danger: under another sql_mode the same text may mean something else.
                    raise Fault(AGAIN, "Prepared statement needs to be re-prepared")
                return await self._statement(statement.text, statement.reading, values, True, attributes)
            if kind == Com.STMT_RESET:
                self._prepared.reset(payload)
                return s.ok()
        except Fault as fault:
            return s.error(*fault.code, str(fault))
        if kind == Com.STMT_CLOSE:
            self._prepared.close(payload)
            return s.silent()
        if kind == Com.STMT_SEND_LONG_DATA:
            self._prepared.long_data(payload)
            return s.silent()
        return s.error(*say.BAD_COMMAND, f"command {kind:#04x} is not supported")

    def _init_db(self, name: str) -> list[Event]:
        if not self._session.knows(name):
            return self._session.error(*say.BAD_SCHEMA, f"Unknown database '{name[:64]}'")
        self._schema = name
        return self._session.ok()

    def _prepare(self, text: bytes) -> list[Event]:
        """Raises Fault."""
        reading = self._front.reader.classify(text, self._mode)
        plan = Scope(self._front.transactions, self._front.options.schema).plan(reading)
        depends_on_it = reading.dependencies and reading.kind in (
            StatementKind.READ,
            StatementKind.WRITE,
            StatementKind.LOCKING_READ,
        )
        if plan.do is Do.REFUSE and not depends_on_it and reading.session_command is None:
            return self._session.error(*plan.code, plan.words)
        statement = self._prepared.prepare(text, reading, self._mode, self._state.parse_context)
        return self._session.prepared(statement.id, statement.parameters)

    async def _query(self, text: bytes, attributes: Mapping[str, Value]) -> list[Event]:
        s = self._session
        if TOKEN.match(text):
            token = self._front.keyring.encode_text(self._token)
            return s.result([Column("@@juniperreel_token", ColumnType.VAR_STRING)], [(token,)])
        if (match := SET_TOKEN.match(text)) is not None:
            words = self._take_token(match[1].decode())
            return s.error(*say.BAD_TOKEN, words) if words else s.ok()
        if (match := LAST_ID.match(text)) is not None:
            name = match[1].decode()
            return s.result([Column(name, ColumnType.LONGLONG)], [(self._scope.insert_id,)])
        if (match := AUTOCOMMIT.match(text)) is not None:
            on = int(self._scope.autocommit)
            return s.result([Column(match[1].decode(), ColumnType.LONGLONG)], [(on,)])
        reading = self._front.reader.classify(text, self._mode)
        return await self._statement(text, reading, (), False, attributes)

    def _take_token(self, text: str) -> str:
        """What is wrong with it; empty if it was taken."""
        try:
            self._token = self._token.join(self._front.keyring.decode_text(text))
        except TokenError as error:
            return str(error)
        return ""

    # Statements.

    async def _statement(
        self,
        text: bytes,
        reading: Classification,
        values: Sequence[Value],
        binary: bool,
        attributes: Mapping[str, Value],
    ) -> list[Event]:
        s, scope = self._session, self._scope
        given = attributes.get("juniperreel_token")
        hinted = HINT_TOKEN.search(text)
        for token in (given, hinted[1].decode() if hinted is not None else None):
            words = self._take_token(str(token)) if token is not None else ""
            if words:
                return s.error(*say.BAD_TOKEN, words)
        try:
            return await self._carry_out(text, reading, values, binary, attributes)
        except Instead as instead:
            s.status = scope.status()
            return s.error(*instead.error)

    async def _carry_out(
        self,
        text: bytes,
        reading: Classification,
        values: Sequence[Value],
        binary: bool,
        attributes: Mapping[str, Value],
    ) -> list[Event]:
        """Raises Instead."""
        s, scope = self._session, self._scope
        while True:
            plan = scope.plan(reading)
            if scope.held is not None and (scope.assigned or plan.taint):
                scope.held.tainted = True
            run = Statement(text, values, binary) if plan.text is None else Statement(plan.text)
            match plan.do:
                case Do.REFUSE:
                    raise Instead(*plan.code, plan.words)
                case Do.NOTHING:
                    s.status = scope.status()
                    return s.ok()
                case Do.INSIDE:
                    if plan.sets:
                        return await self._set_inside(run, plan)
                    return await self._inside(run, plan)
                case Do.FINISH:
                    done = await self._finish(run, plan)
                    if (
                        reading.session_command is not None
                        and reading.session_command.verb is SessionVerb.BEGIN
                    ):
                        continue  # the commit that it implies is done
                    return await self._passed_on(done.result, 0)
                case Do.ALONE | Do.BEGIN:
                    return await self._route(run, reading, plan, attributes)

    async def _route(
        self, run: Statement, reading: Classification, plan: Plan, attributes: Mapping[str, Value]
    ) -> list[Event]:
        """A request of its own, or the one that begins a transaction."""
        front, s = self._front, self._session
        driver = front.driver
        # What a plain read depends on goes with it, or it was refused.
        write = (
            reading.kind is not StatementKind.READ
            if plan.hold is None
            else plan.hold is TransactionMode.READ_WRITE
        )
        state = self._state
        if plan.sets:
            write, state = False, self._with(plan.sets)
        group = self._group(run.text, attributes)
        if isinstance(group, str):
            return s.error(*say.AT_FAULT, group)
        hint = str(attributes.get("juniperreel_hint") or "") or hint_of(run.text)
        classes = front.options.classes
        name = digest(run.text, self._mode) if classes.by_digest else ""
        cls, tenant = classes.of(write, self._user, self._schema, hint, name)
        self._count += 1
        settings = driver.options.router.classes[cls]
        deadline = front.clock.now_us() + settings.deadline_us
        work = ClientRequest(
            class_index=cls,
            tenant_index=tenant,
            group=group,
            deadline_us=deadline,
            statement=run.text,
            parameters=[say.packed(value) for value in run.values],
            session=self._name,
            idempotency_key=f"{self._name}-{self._count}",
            token=self._token,
            binary_rows=run.binary,
            accepts_stream=True,
            transaction_mode=plan.hold,
            taints_connection=plan.taint,
            session_state=state,
            last_insert_id=self._scope.insert_id if plan.insert_id else None,
        )
        started, answer = front.clock.now_us(), None
        margin = driver.options.answer_margin_us // 2
        with trio.CancelScope(deadline=front.clock.trio_time(deadline - margin)):
            answer = await driver.execute(work)
        outcome, reason = described(answer)
        driver.metrics.requests.labels(settings.name, outcome, reason).inc()
        driver.metrics.seconds.labels(settings.name, outcome).observe((front.clock.now_us() - started) / US)
        self._deadline_us = settings.deadline_us
        if plan.sets and isinstance(answer, Served):
            self._now(state)
        return await self._answer(answer, run, plan, deadline - margin)

    def _with(self, sets: Sequence[tuple[str, str]]) -> SessionState:
        """Raises Instead."""
        state = self._state
        try:
            for name, value in sets:
                state = state.set(name, value)
        except SessionStateTooLargeError as error:
            raise Instead(*NOT_SUPPORTED, str(error)) from error
        return state

    def _now(self, state: SessionState) -> None:
        """A member has taken it: the session is so from now on, and its texts read so."""
        self._state = state
        modes = state.variables.get("sql_mode", "").strip("'").upper().split(",")
        ansi = "ANSI_QUOTES" in modes or "ANSI" in modes
        self._mode = LexerMode(ansi, "NO_BACKSLASH_ESCAPES" in modes)

    async def _set_inside(self, run: Statement, plan: Plan) -> list[Event]:
        """Variables are not undone with the transaction, here as on a server."""
        state, held = self._with(plan.sets), self._scope.held
        assert held is not None
        answered = await self._inside(run, plan)
        if held.open:
            held.state = state
        self._now(state)
        return answered

    def _group(self, text: bytes, attributes: Mapping[str, Value]) -> int | str:
        """Or what is wrong."""
        groups = self._front.driver.options.groups
        given = attributes.get("juniperreel_group")
        if (match := GROUP.search(text)) is not None:
            group = int(match[1])
        elif isinstance(given, int) or (isinstance(given, str) and given.isdigit()):
            group = int(given)
        elif groups > 1:
            return "which group? say so in a comment: /* group 0 */"
        else:
            group = 0
        return group if 0 <= group < groups else f"no group {group}; there are {groups}"

    async def _answer(self, answer: Answer | None, run: Statement, plan: Plan, until_us: int) -> list[Event]:
        s, scope = self._session, self._scope
        match answer:
            case Served():
                self._token = answer.token  # with all that was presented, and healed after failovers
                if plan.do is Do.BEGIN:
                    scope.opened(answer.transaction)
                    if scope.held is not None and plan.taint:
                        scope.held.tainted = True
                return await self._result(answer.result, run, plan, until_us)
            case StatementFailed():
                if plan.do is Do.BEGIN:
                    scope.opened(answer.transaction)
                    s.status = scope.status()
                return s.error(*(answer.mysql_error or say.AT_FAULT), answer.message)
            case Rejected():
                return s.error(*say.refused(answer))
            case Failed() if plan.do is Do.BEGIN:
                # Nothing was committed, whatever ran: what its member holds of it is undone.
                scope.over()
                return s.error(*UNDONE, f"{answer.reason}; nothing of the transaction took effect")
            case Failed():
                return s.error(*say.failed(answer))
            case None if plan.do is Do.BEGIN:
                scope.over()
                return s.error(*say.LATE, "no answer came in time; nothing of the transaction took effect")
            case None:
                return s.error(*say.LATE, say.LATE_WORDS)

    async def _result(
        self, result: Result | values_pb2.ResultSet, run: Statement, plan: Plan, until_us: int
    ) -> list[Event]:
        s = self._session
        insert_id = result.ok.insert_id if isinstance(result, Result) else 0
        if plan.do is not Do.BEGIN or insert_id:
            self._scope.ran(insert_id)
        s.status = self._scope.status()
        if plan.hide:
            return s.ok()
        if isinstance(result, Result):
            return await self._passed_on(result, until_us)
        if not result.columns:
            return s.ok(affected=result.affected, tracked=self._track())
        return s.result(*say.shown(result), binary_row if run.binary else None)

    def _track(self) -> list[tuple[int, bytes]]:
        """The token, for a client that tracks its session, where it has grown."""
        if self._token == self._told:
            return []
        self._told = self._token
        return [gtid_track(self._front.keyring.encode_text(self._token))]

    async def _passed_on(self, result: Result, until_us: int) -> list[Event]:
        """Rows as the member sent them; a long result in parts, no faster than the client reads."""
        s = self._session
        if not result.columns:
            ok = result.ok
            info = ok.info.decode("utf-8", "replace")
            return s.ok(ok.affected, ok.insert_id, info, ok.warnings, self._track())
        s.begin_result(result.columns)
        s.rows(result.rows)
        rest = result.remaining_rows
        if rest is None:
            return s.end_result(result.ok.warnings, self._track())
        late = None
        try:
            with trio.CancelScope(deadline=self._front.clock.trio_time(until_us)) as late:
                while True:
                    await self._flush()
                    rows = await rest.next_rows()
                    if not rows:
                        return s.end_result(rest.ok.warnings, self._track())
                    s.rows(rows)
        except StatementError as told:
            return s.error(told.err.code, told.err.state, told.err.words)
        except ConnectionLostError as lost:
            return s.error(*say.UNKNOWN_EFFECT, f"the result broke off: {lost}")
        finally:
            rest.close()
        assert late is not None and late.cancelled_caught
        return s.error(*say.LATE, "the result did not end in time")

    # In a transaction.

    async def _within(self, what: Awaitable[T], late: tuple[int, str, str], commits: bool = False) -> T:
        """What came of it. Raises Instead; `late` is told if the time is over, and then so is the
        transaction. `commits`: it may have."""
        scope, clock = self._scope, self._front.clock
        until = clock.now_us() + self._deadline_us
        try:
            with trio.CancelScope(deadline=clock.trio_time(until)):
                return await what
        except StatementError as told:
            scope.ran()
            raise Instead(told.err.code, told.err.state, told.err.words) from told
        except TransactionRolledBackError as error:
            scope.over()
            if commits:
                raise Instead(*say.UNKNOWN_EFFECT, f"{error}; it may have taken effect") from error
            raise Instead(*UNDONE, f"{error}; nothing of the transaction took effect") from error
        except TransactionOutcomeUnknownError as error:
            scope.over()
            raise Instead(*say.UNKNOWN_EFFECT, f"{error}; the transaction may have taken effect") from error
        except ResultTooLargeError as error:
            scope.over()
            raise Instead(*say.TOO_LONG, str(error)) from error
        scope.over()
        raise Instead(*late)

    async def _inside(self, run: Statement, plan: Plan) -> list[Event]:
        scope = self._scope
        assert scope.held is not None
        until = self._front.clock.now_us() + self._deadline_us
        if plan.insert_id:
            told = f"set @@session.last_insert_id = {scope.insert_id}".encode()
            await self._within(scope.held.run(Statement(told)), (*say.LATE, "no answer came in time"))
            assert scope.held is not None
        late = (*say.LATE, "no answer came in time; the transaction was undone")
        found = await self._within(scope.held.run(run), late, plan.commits)
        scope.ran(found.ok.insert_id)
        self._session.status = scope.status()
        return await self._passed_on(found, until)

    async def _finish(self, run: Statement, plan: Plan) -> TransactionResult:
        scope = self._scope
        assert scope.held is not None
        late = (*say.LATE, "no answer came in time; the transaction was undone")
        if plan.commits:
            late = (*say.UNKNOWN_EFFECT, "no answer came in time; the transaction may have taken effect")
        found = await self._within(scope.held.finish(run, plan.commits), late)
        scope.over()
        self._token = self._token.join(found.token)
        self._session.status = scope.status()
        return found
