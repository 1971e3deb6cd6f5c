"""One connection to a MySQL-speaking member: the task that reads it, and exchanges of statements on it.

Statements of one exchange go out together and are answered one after another. A connection on which an
exchange was broken off is of no more use, since nobody knows which answer comes next.
"""

from __future__ import annotations

import ssl
from collections import deque
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass

import trio

from juniperreel.mysql import client_events as client
from juniperreel.mysql.client import ClientSession
from juniperreel.mysql.replies import Err, Ok
from juniperreel.mysql.values import Value
from juniperreel.net import ConnectError, Network, Silent
from juniperreel.net.clock import US
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.state import FRESH
from juniperreel.pool.statements import Statements

READ_BYTES = 64 << 10
HELD_BYTES = 256 << 10  # of rows that were read and not yet taken
CHUNK_BYTES = 64 << 10  # of rows handed on at once
GOODBYE_S = 1.0
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)
FORGOTTEN = frozenset(
    {1243, 1615}
)  # nothing ran: the server no longer knows a prepared statement, or wants it again
WRONG_COUNT = 1210


class Lost(Exception):
    """The connection broke. `sent`: whether the member may have seen what was asked."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class Told(Exception):
    """The member answered with an error; the connection goes on."""

    def __init__(self, err: Err) -> None:
        super().__init__(f"{err.code}: {err.message}")
        self.err = err


class TooLong(Exception):
    """An answer is longer than may be held, where it cannot be handed on in parts."""


@dataclass(frozen=True, slots=True)
class Login:
    """How a program logs in to members. `held`: bytes of an answer that are held at once."""

    user: str
    password: bytes
    database: str = ""
    tls: ssl.SSLContext | None = None
    max_packet: int = 64 << 20
    held: int = 1 << 20
    statements: int = 200  # kept prepared on one connection


class Backend:
    """An open connection; `run` must be running."""

    def __init__(self, stream: trio.abc.Stream, session: ClientSession, login: Login) -> None:
        self.session = session
        self.why = ""  # it is of no more use
        self.statements = Statements(login.statements)
        self.state = FRESH  # what sessions have changed of it
        self._stream, self._login = stream, login
        self._events: deque[client.Event] = deque()
        self._held = 0
        self._arrived = trio.Event()
        self._room = trio.Event()
        self._scope = trio.CancelScope()

    @staticmethod
    async def open(network: Network, host: str, port: int, login: Login, timeout_us: int) -> Backend:
        """Connected and logged in. Raises ConnectError, also where nobody is let in."""
        session = ClientSession(
            login.user, login.password, login.database, login.max_packet, login.tls is not None
        )
        stream = None
        try:
            with trio.fail_after(max(timeout_us, 0) / US):
                stream = await network.connect(host, port, timeout_us)
                stream = await log_in(stream, session, host, login)
        except BaseException as error:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
            if isinstance(error, (trio.TooSlowError, *BROKEN)):
                raise Silent(f"{host}:{port} let nobody in: {error or 'time is up'}") from error
            raise
        return Backend(stream, session, login)

    @property
    def thread(self) -> int:
        """Its number at the server."""
        return self.session.connection_id

    async def run(self) -> None:
        """Reads until the connection ends, or is closed."""
        try:
            with self._scope:
                await self._read()
        finally:
            self._lose("the connection was closed")
            with trio.CancelScope(shield=True, deadline=trio.current_time() + GOODBYE_S):
                await trio.aclose_forcefully(self._stream)

    async def _read(self) -> None:
        while True:
            while self._held > HELD_BYTES:
                # Danger: a client that reads slowly must slow its member down, not fill this program.
                self._room = trio.Event()
                await self._room.wait()
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except BROKEN as error:
                self._lose(f"the connection broke: {error}")
                return
            if not data:
                self._lose("the member closed the connection")
                return
            idle = not self.session.in_flight
            for event in self.session.receive(data):
                if isinstance(event, client.Row):
                    self._held += len(event.payload)
                self._events.append(event)
                if isinstance(event, client.ConnectionBroken):
                    self._lose(event.reason)
            self._arrived.set()
            if idle:
                self._lose("the member spoke unasked")
            if self.why:
                return

    def _lose(self, why: str) -> None:
        if not self.why:
            self.why = why
        self._arrived.set()

    def close(self) -> None:
        """At once; the member undoes what is open on it."""
        self._lose("closed here")
        self._scope.cancel()

    async def leave(self) -> None:
        """Says goodbye first; for an idle connection."""
        if not self.why and not self.session.in_flight:
            self.session.quit()
            with trio.move_on_after(GOODBYE_S):
                with suppress(*BROKEN):
                    await self._stream.send_all(self.session.data_to_send())
        self.close()

    # Exchanges.

    async def exchange(
        self,
        steps: Sequence[Statement],
        attributes: Mapping[str, Value] | None = None,
        main: int = 0,
        stream: bool = False,
    ) -> list[Result | Err]:
        """Runs all steps, whatever comes of each. `attributes` go with the step `main`. With `stream`, the
        last step's result may have a rest. Raises Lost, or TooLong. Cancelled or raising, the connection is
        closed."""
        try:
            self._alive()
            parsed = self.state.parsed
            failed = await self._prepare(steps, parsed)
            self._alive()
            if failed is not None:
                return [failed] * len(steps)
            for at, step in enumerate(steps):
                named = attributes if at == main else None
                if step.prepared:
                    number = self.statements.get((step.text, parsed))
                    assert number is not None
                    self.session.execute(number, step.values, named)
                else:
                    self.session.query(step.text, named)
            await self._send()
            out: list[Result | Err] = []
            for at, step in enumerate(steps):
                out.append(await self._result(step.prepared, stream and at == len(steps) - 1))
                found = out[-1]
                if isinstance(found, Err) and found.code in FORGOTTEN:
                    self.statements.forget((step.text, parsed))
            return out
        except BaseException:
            self.close()
            raise

    async def _prepare(self, steps: Sequence[Statement], parsed: str) -> Err | None:
        """What is not prepared here yet, as it reads in this state; an error that keeps it from being so."""
        for step in steps:
            if not step.prepared or self.statements.get((step.text, parsed)) is not None:
                continue
            self.session.prepare(step.text)
            await self._send()
            event = await self._next()
            if isinstance(event, client.Failed):
                return event.err
            if not isinstance(event, client.StatementPrepared):
                raise Lost("the member did not prepare", sent=True)
            for number in self.statements.keep((step.text, parsed), event.id):
                self.session.close_statement(number)
            if event.parameters != len(step.values):
                self.statements.forget((step.text, parsed))
                self.session.close_statement(event.id)
                words = f"{event.parameters} placeholders, {len(step.values)} values"
                return Err(WRONG_COUNT, "HY000", words)
        return None

    def _alive(self) -> None:
        """Raises Lost: the member ended the connection while nothing was asked on it."""
        if self.why:
            raise Lost(self.why, sent=False)

    async def _send(self) -> None:
        self._alive()
        try:
            await self._stream.send_all(self.session.data_to_send())
        except BROKEN as error:
            raise Lost(f"the connection broke while writing: {error}", sent=True) from error

    async def _next(self) -> client.Event:
        while not self._events:
            if self.why:
                raise Lost(self.why, sent=True)
            self._arrived = trio.Event()
            await self._arrived.wait()
        event = self._events.popleft()
        if isinstance(event, client.ConnectionBroken):
            raise Lost(event.reason, sent=True)
        if isinstance(event, client.Row):
            self._held -= len(event.payload)
            if self._held <= HELD_BYTES // 2:
                self._room.set()
        return event

    async def _result(self, binary: bool, stream: bool) -> Result | Err:
        first: Result | None = None
        while True:
            result = await self._one(binary, stream)
            if isinstance(result, Err):
                return result
            if first is None:
                first = result
            else:
                first.more.append(result)
            if result.rest is not None or not result.ok.more_results:
                return first

    async def _one(self, binary: bool, stream: bool) -> Result | Err:
        event = await self._next()
        match event:
            case client.Failed(err):
                return err
            case client.Done(ok):
                return Result(ok=ok)
            case client.ResultStarted(columns):
                result = Result(columns, binary=binary)
            case _:
                raise Lost(f"the member answered with {type(event).__name__}", sent=True)
        size = 0
        while True:
            event = await self._next()
            match event:
                case client.Row(payload):
                    result.rows.append(payload)
                    size += len(payload)
                    if size > self._login.held:
                        if not stream:
                            raise TooLong(f"an answer of more than {self._login.held} bytes")
                        result.rest = Remainder(self)
                        return result
                case client.ResultEnded(ok):
                    result.ok = ok
                    return result
                case client.Failed(err):
                    return err
                case _:
                    raise Lost(f"the member answered with {type(event).__name__}", sent=True)


class Remainder:
    """The rest of a long result, straight from its connection."""

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self.ok = Ok()
        self.ended = False
        self.over = trio.Event()  # read to its end, or given up

    async def more(self) -> list[bytes]:
        """Raises Told or Lost. Cancelled, the connection is closed."""
        rows: list[bytes] = []
        size = 0
        try:
            while not self.ended and size < CHUNK_BYTES:
                event = await self._backend._next()
                match event:
                    case client.Row(payload):
                        rows.append(payload)
                        size += len(payload)
                    case client.ResultEnded(ok):
                        self.ok = ok
                        self._end()
                    case client.Failed(err):
                        self._end()
                        raise Told(err)
                    case _:
                        raise Lost("the member broke off a result", sent=True)
        except BaseException:
            if not self.ended:
                self.close()
            raise
        return rows

    def _end(self) -> None:
        self.ended = True
        self.over.set()

    def close(self) -> None:
        if not self.ended:
            # What is still to come can't be told from the next answer without reading it all.
            self._backend.close()
            self._end()


async def log_in(stream: trio.abc.Stream, session: ClientSession, host: str, login: Login) -> trio.abc.Stream:
    """The stream to go on with. Raises ConnectError, or what the stream raises."""
    while True:
        data = await stream.receive_some(READ_BYTES)
        if not data:
            raise Silent(f"{host} closed the connection at the login")
        for event in session.receive(data):
            match event:
                case client.Ready():
                    return stream
                case client.ConnectionBroken(why, code):
                    raise NotLetIn(f"{host}: {why}", code)
                case client.StartTls():
                    await stream.send_all(session.data_to_send())
                    assert login.tls is not None
                    stream = trio.SSLStream(stream, login.tls, server_hostname=host)
                    await stream.do_handshake()
                    session.inside_tls()
        out = session.data_to_send()
        if out:
            await stream.send_all(out)


class NotLetIn(ConnectError):
    """The member refused the login; nothing was asked of it. `code`: its reason."""

    def __init__(self, words: str, code: int) -> None:
        super().__init__(words)
        self.code = code
