"""Clients of the edges: sessions with tokens, tenants and retries, at a rate, over gRPC or MySQL's protocol.

Those that speak MySQL have a connection each, which keeps their token; after a write they ask for it, to
present it to another edge if this one dies. They have no idempotency key of their own: a write that may have
run is not sent again.

They behave as board app servers should: one request of a session at a time, the token kept, a refusal's
wait followed, a retry marked, the idempotency key kept over retries, and never a repeat where told not to.
"""

from __future__ import annotations

import random
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio
from google.protobuf.message import DecodeError

from juniperreel.fakes.mysql_client import Failure, Lost, MysqlClient, Rows
from juniperreel.net import Clock, ConnectError, Network
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.rpc.channel import Broken, Channel, NeverSent
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.status import PUSHBACK, Code, RpcError
from juniperreel.verification.records import (
    LoadOffered,
    RecordSink,
    RequestClass,
    RequestSent,
    ResponseReceived,
)

EXECUTE = "/juniperreel.v1.Records/Execute"
ROWS = 40
WRITE = "insert into runs (runner, id) values (?, ?) /* rid {} */"
READ = f"select id from runs where runner = ? order by number desc limit {ROWS} /* rid {{}} */"
US = 1_000_000
MOST_SESSIONS = 40  # times those of the script, where all wait for answers
AGAIN_S = (0.1, 0.5)  # before a retry after a broken connection
MYSQL_CODES = {
    1205: Code.UNAVAILABLE,
    1213: Code.UNAVAILABLE,
    1105: Code.UNKNOWN,
    3024: Code.DEADLINE_EXCEEDED,
}
MYSQL_MARGIN_US = 500_000  # the front answers at its class's deadline; clients there cannot name their own
ASIDE_S = 3.0  # for a token to be asked for or presented
RETRIED = (Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED)


@dataclass(frozen=True, slots=True)
class Mix:
    """A class, its part of the load and how long its clients wait at most."""

    cls: RequestClass
    part: float
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Mysql:
    """The edges' MySQL ports in their order, the part of sessions there, and its statements' classes."""

    ports: list[int]
    part: float
    user: str
    password: bytes
    tenant: str
    read: str
    write: str
    writes: float = 0.3
    transactions: float = 0.0  # of its writes


@dataclass(slots=True)
class Session:
    name: str
    row: str
    group: int
    tenant: str
    edge: int
    token: bytes = b""
    busy: bool = False
    mysql: MysqlClient | None = None
    wrote: float = -1e9


class Population:
    """All sessions of a day."""

    def __init__(
        self,
        network: Network,
        clock: Clock,
        record: RecordSink,
        rng: random.Random,
        mix: list[Mix],
        tenants: dict[str, float],
        groups: int,
        sessions: int,
        retries: int,
        edges: list[tuple[str, int]],
        mysql: Mysql | None = None,
    ) -> None:
        """`edges`: name and port of each; `mysql`: the ports of their other front, and who speaks to it."""
        self._network, self._clock, self._record, self._rng = network, clock, record, rng
        self._mix, self._retries, self._edges = mix, retries, edges
        names, parts = list(tenants), list(tenants.values())
        self._mysql = mysql
        self._names = (names, parts)
        self._groups, self._most = groups, MOST_SESSIONS * sessions
        self.sessions: list[Session] = []
        for _ in range(sessions):
            self._join()
        self._channels: list[Channel] = []
        self._count = 0
        self.offered = 0
        self._renamed = 0
        self.on_answer: Callable[[str, str, int], None] = lambda cls, outcome, took_us: None

    async def run(self, rate: float, span_us: int) -> None:
        """Asks at `rate` a second for `span_us`, then waits for the last answers. Open loop: when a request
        is due is drawn ahead and depends on no answer; where all sessions wait for one, another joins."""
        dues = []
        at = 0.0
        while (at := at + self._rng.expovariate(rate)) < span_us / US:
            dues.append(at)
        async with trio.open_nursery() as links:
            for _, port in self._edges:
                channel = Channel(
                    self._network, self._clock, "127.0.0.1", port, Limits(), random.Random(self._rng.random())
                )
                self._channels.append(channel)
                await links.start(channel.run)
            async with trio.open_nursery() as nursery:
                start = trio.current_time()
                for due in dues:
                    await trio.sleep_until(start + due)
                    self.offered += 1
                    session = self._pick()
                    if session is not None:
                        session.busy = True
                        nursery.start_soon(self._request, session)
            links.cancel_scope.cancel()
        self._record(LoadOffered(self._clock.now_us(), self.offered))

    def _pick(self) -> Session | None:
        for _ in range(20):
            session = self._rng.choice(self.sessions)
            if not session.busy:
                return session
        if len(self.sessions) >= self._most:
            return None
        return self._join()

    def _join(self) -> Session:
        n = len(self.sessions)
        tenant = self._rng.choices(*self._names)[0]
        session = Session(f"s{n}", f"r{n}", n % self._groups, tenant, n % len(self._edges))
        m = self._mysql
        if m is not None and self._rng.random() < m.part:
            session.tenant = m.tenant
            session.mysql = MysqlClient(self._network, m.ports[session.edge], m.user, m.password)
        self.sessions.append(session)
        return session

    def _class(self, session: Session) -> Mix:
        """Reads of one's own come soon after a write."""
        if session.mysql is not None:  # its statements are told from their text: two classes are all there is
            assert self._mysql is not None
            writes = [m for m in self._mix if m.cls.name == self._mysql.write]
            reads = [m for m in self._mix if m.cls.name == self._mysql.read]
            return self._rng.choice(writes if self._rng.random() < self._mysql.writes else reads)
        parts = [m.part for m in self._mix]
        mix = self._rng.choices(self._mix, parts)[0]
        if not mix.cls.write and trio.current_time() - session.wrote < 1.0:
            own = [m for m in self._mix if m.cls.session]
            if own and self._rng.random() < 0.7:
                return own[0]
        return mix

    async def _request(self, session: Session) -> None:
        mix = self._class(session)
        self._count += 1
        rid = f"q{self._count}"
        row, group = session.row, session.group
        if not (mix.cls.write or mix.cls.session):
            other = self._rng.choice(self.sessions)
            row, group = other.row, other.group
        try:
            for number in range(self._retries + 1):
                one = self._try if session.mysql is None else self._try_mysql
                wait = await one(session, mix, rid, number, row, group)
                if wait is None:
                    return
                await trio.sleep(wait)
        finally:
            session.busy = False
            if mix.cls.write:
                session.wrote = trio.current_time()

    async def _find_edge(self, session: Session) -> None:
        """One that takes connections. What was never sent was asked of nobody: a channel that pauses after an
        edge's death says nothing of the edge that is back meanwhile."""
        for _ in range(2 * len(self._edges)):
            try:
                await self._channels[session.edge].link()
                return
            except ConnectError:
                session.edge = (session.edge + 1) % len(self._edges)
                await trio.sleep(self._rng.uniform(0.01, 0.05))

    async def _try_mysql(
        self, session: Session, mix: Mix, rid: str, number: int, row: str, group: int
    ) -> float | None:
        """As `_try`, by a statement with its values in it."""
        client, cls = session.mysql, mix.cls
        assert client is not None and self._mysql is not None
        text = f"{(WRITE if cls.write else READ).format(rid)} /* group {group} */"
        for value in (row, rid) if cls.write else (row,):
            text = text.replace("?", f"'{value}'", 1)
        edge, now = self._edges[session.edge][0], self._clock.now_us()
        statements = [text]
        if cls.write and self._rng.random() < self._mysql.transactions:
            look = READ.format(rid).replace("?", f"'{row}'")
            statements = ["begin", text, f"{look} for update", "commit"]
        # Each statement has its class's deadline, and an answer by then.
        until = now + len(statements) * mix.deadline_us + MYSQL_MARGIN_US
        asked = RequestSent(now, rid, number, edge, cls.name, session.name, session.tenant, group, row, until)
        self._record(asked)
        status, local, again = Code.OK, False, None
        rows: list[str] = []
        wait_us = 0
        try:
            with trio.fail_after((until - now) / US):
                result, last = await self._statements(client, statements)
            if isinstance(result, Rows):
                rows = [str(r[0]) for r in result.rows] if not cls.write else []
            else:
                status = MYSQL_CODES.get(result.code, Code.INVALID_ARGUMENT)
                if not last and status in (Code.UNKNOWN, Code.DEADLINE_EXCEEDED):
                    status = Code.UNAVAILABLE  # nothing was committed, whatever ran
                found = re.search(r"again after (\d+) ms", result.words)
                if status is Code.UNAVAILABLE:
                    wait_us = int(found[1]) * 1000 if found else 0
                    again = wait_us / US * self._rng.uniform(1.0, 1.3)
        except trio.TooSlowError:
            status, local = Code.DEADLINE_EXCEEDED, True
        except (Lost, ConnectError) as error:
            status, local = Code.UNAVAILABLE, True
            if not cls.write or not (isinstance(error, Lost) and error.sent):
                again = self._rng.uniform(*AGAIN_S)
        told = self._clock.now_us()
        more = len(rows) == ROWS
        self._record(
            ResponseReceived(
                told, rid, number, int(status), local, retry_after_us=wait_us, rows=rows, has_older_rows=more
            )
        )
        outcome = "served" if status is Code.OK else "refused" if status in RETRIED else "failed"
        self.on_answer(cls.name, outcome, told - now)
        if local:
            await self._elsewhere(session)
        elif cls.write and status is Code.OK:
            await self._keep_token(session, client)
        return again

    @staticmethod
    async def _statements(client: MysqlClient, statements: list[str]) -> tuple[Rows | Failure, bool]:
        """The last answer, or the first error; and whether it was the last statement's."""
        for at, text in enumerate(statements):
            result = await client.query(text)
            last = at == len(statements) - 1
            if isinstance(result, Failure) and not last:
                await client.query("rollback")
            if isinstance(result, Failure) or last:
                return result, last
        raise ValueError("nothing to ask")

    async def _keep_token(self, session: Session, client: MysqlClient) -> None:
        try:
            with trio.fail_after(ASIDE_S):
                result = await client.query("select @@juniperreel_token")
            if isinstance(result, Rows) and result.rows:
                session.token = str(result.rows[0][0]).encode()
                return
        except (trio.TooSlowError, Lost, ConnectError):
            pass
        await self._elsewhere(session, forgotten=True)

    async def _elsewhere(self, session: Session, forgotten: bool = False) -> None:
        """A new connection at the next edge, with the token. One whose token was lost with a connection is
        another session from then on: nothing could promise it what it wrote."""
        assert session.mysql is not None and self._mysql is not None
        await session.mysql.close()
        session.edge = (session.edge + 1) % len(self._edges)
        m = self._mysql
        session.mysql = MysqlClient(self._network, m.ports[session.edge], m.user, m.password)
        if session.token and not forgotten:
            try:
                with trio.fail_after(ASIDE_S):
                    text = f"set @@juniperreel_token = '{session.token.decode()}'"
                    if isinstance(await session.mysql.query(text), Rows):
                        return
            except (trio.TooSlowError, Lost, ConnectError):
                pass
            await session.mysql.close()
        self._renamed += 1
        session.name, session.token = f"{session.name.split('+')[0]}+{self._renamed}", b""

    async def _try(
        self, session: Session, mix: Mix, rid: str, number: int, row: str, group: int
    ) -> float | None:
        """One try; how long to wait before the next, or None when there is to be none."""
        await self._find_edge(session)
        cls = mix.cls
        text = WRITE if cls.write else READ
        ask = records_pb2.ExecuteRequest(
            tenant=session.tenant,
            group=group,
            statement=text.format(rid).encode(),
            session=session.name,
            idempotency_key=f"{session.name}-{rid}" if cls.idempotency == "keyed" else "",
            causal_token=session.token,
        )
        setattr(ask, "class", cls.name)
        for value in (row, rid) if cls.write else (row,):
            ask.parameters.append(values_pb2.Value(text=value))
        span = int(mix.deadline_us * self._rng.uniform(0.6, 1.0))
        metadata = [("grpc-previous-rpc-attempts", str(number))] if number else []
        edge = session.edge
        now = self._clock.now_us()
        self._record(
            RequestSent(
                now,
                rid,
                number,
                self._edges[edge][0],
                cls.name,
                session.name,
                session.tenant,
                group,
                row,
                now + span,
            )
        )
        status = Code.OK
        fields: dict[str, Any] = {}
        again: float | None = None
        local = False
        try:
            with trio.fail_after(span / US):
                reply = await self._channels[edge].unary(EXECUTE, ask.SerializeToString(), metadata, span)
            answer = records_pb2.ExecuteResponse.FromString(reply.message)
            if cls.write or cls.session:
                session.token = answer.causal_token
            rows = [r.values[0].text for r in answer.result.rows]
            fields = {
                "endpoint": answer.member,
                "primary": answer.role == records_pb2.ROLE_PRIMARY,
                "attempts": answer.attempts,
                "rows": rows,
                "has_older_rows": len(rows) == ROWS,
            }
        except RpcError as error:
            status = error.code
            wait = dict(error.metadata).get(PUSHBACK, "")
            never = wait == "-1"
            fields = {
                "do_not_retry": never,
                "retry_after_us": int(wait) * 1000 if isinstance(wait, str) and wait.isdigit() else 0,
            }
            if status in RETRIED and not never:
                again = fields["retry_after_us"] / US * self._rng.uniform(1.0, 1.3)
        except trio.TooSlowError:
            status, local = Code.DEADLINE_EXCEEDED, True
        except (ConnectError, NeverSent, Broken) as error:
            # The edge died. What it held is for the client to ask again, at another edge.
            status, local = Code.UNAVAILABLE, True
            session.edge = (session.edge + 1) % len(self._edges)
            if cls.idempotency != "once" or not isinstance(error, Broken):
                again = self._rng.uniform(*AGAIN_S)
        except DecodeError:
            status, local = Code.INTERNAL, True
        told = self._clock.now_us()
        self._record(ResponseReceived(told, rid, number, int(status), local, **fields))
        outcome = "served" if status is Code.OK else "refused" if status in RETRIED else "failed"
        self.on_answer(cls.name, outcome, told - now)
        return again
