"""The client's side against the server's, by bytes; and the stand-in member with pymysql as the witness."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pymysql
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.fakes.endpoint import FakeEndpoint
from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.mysql_server import PASSWORD, USER
from juniperreel.fakes.replication_group import ReplicationGroup
from juniperreel.mysql.auth import NATIVE, SHA2, Credential
from juniperreel.mysql.client import (
    Began,
    Broken,
    ClientSession,
    Done,
    End,
    Failed,
    Prepared,
    Ready,
    Row,
    State,
)
from juniperreel.mysql.client import Event as ClientEvent
from juniperreel.mysql.constants import Capability, ColumnType, Com, Status
from juniperreel.mysql.packets import PART, packets
from juniperreel.mysql.replies import Err, Ok, decode_err, decode_ok, encode_err, encode_ok, gtid_track
from juniperreel.mysql.server import Command, LoggedIn, ServerSession
from juniperreel.mysql.values import (
    Column,
    Value,
    binary_row,
    read_binary_row,
    read_text_row,
    text_row,
)
from juniperreel.net import Clock, TcpNetwork
from juniperreel.verification.records import Recorder

USERS = {"ada": Credential.of(b"love lace"), "bob": Credential.of(b"")}
NONCE = bytes(range(1, 21))
LATER = [Capability.DEPRECATE_EOF, Capability.SESSION_TRACK, Capability.QUERY_ATTRIBUTES]
COLUMNS = [
    Column("i", ColumnType.LONGLONG),
    Column("d", ColumnType.DOUBLE),
    Column("s", ColumnType.VAR_STRING),
    Column("b", ColumnType.BLOB),
]
ROW: list[Value] = [-5, 0.1, "née ✓", b"\x00\xff"]


class Pair:
    """Both sides, and what each has told."""

    def __init__(self, plugin: str = SHA2, password: bytes = b"love lace", without: int = 0) -> None:
        self.server = ServerSession(7, NONCE, USERS.get, 64 << 20, plugin)
        self.server._offered &= ~without
        self.client = ClientSession("ada", password, "boards", 64 << 20)
        self.server.start()
        self.commands: list[Command] = []
        self.logins: list[LoggedIn] = []

    def move(self, step: int = 1 << 30) -> list[ClientEvent]:
        """Until nothing more is said; answers are the test's to give."""
        events: list[ClientEvent] = []
        while True:
            down, up = self.server.data_to_send(), self.client.data_to_send()
            if not down and not up:
                return events
            for at in range(0, len(down), step):
                events += self.client.receive(down[at : at + step])
            for at in range(0, len(up), step):
                for event in self.server.receive(up[at : at + step]):
                    self.take(event)

    def take(self, event: object) -> None:
        if isinstance(event, Command):
            self.commands.append(event)
        elif isinstance(event, LoggedIn):
            self.logins.append(event)


@pytest.mark.parametrize("plugin", [SHA2, NATIVE])
@pytest.mark.parametrize("step", [1, 7, 1 << 30])
@pytest.mark.parametrize(
    "without", [0, Capability.DEPRECATE_EOF, Capability.SESSION_TRACK, Capability.QUERY_ATTRIBUTES]
)
def test_login_results_and_errors_however_cut(plugin: str, step: int, without: int) -> None:
    pair = Pair(plugin, without=without)
    assert pair.move(step) == [Ready(7, "8.0.36-juniperreel")]
    assert pair.logins[0].user == "ada" and pair.logins[0].database == "boards"
    pair.client.query(b"select 1", {"who": "me"})
    pair.client.query(b"write")
    pair.client.query(b"fails")
    assert pair.client.in_hand == 3
    assert pair.move(step) == []
    (command,) = pair.commands
    assert command.payload == b"select 1"
    assert command.attributes == ({} if without == Capability.QUERY_ATTRIBUTES else {"who": "me"})
    for event in pair.server.result(COLUMNS, [ROW, [None] * 4]):
        pair.take(event)
    pair.server.status = Status.AUTOCOMMIT | Status.IN_TRANSACTION
    for event in pair.server.ok(3, 9, tracked=[gtid_track("u:1")]):
        pair.take(event)
    assert pair.server.error(1290, "HY000", "läuft nicht") == []
    events = pair.move(step)
    assert [type(e) for e in events] == [Began, Row, Row, End, Done, Failed]
    began, first, second, _, done, failed = events
    assert isinstance(began, Began) and [c.name for c in began.columns] == ["i", "d", "s", "b"]
    assert isinstance(first, Row) and read_text_row(began.columns, first.payload) == ROW
    assert isinstance(second, Row) and read_text_row(began.columns, second.payload) == [None] * 4
    assert isinstance(done, Done) and (done.ok.affected, done.ok.insert_id) == (3, 9)
    assert done.ok.gtids == ("" if without == Capability.SESSION_TRACK else "u:1")
    assert failed == Failed(Err(1290, "HY000", "läuft nicht"))
    assert pair.client.in_transaction and pair.client.in_hand == 0


def test_prepared_statements_and_several_results() -> None:
    pair = Pair()
    pair.move()
    pair.client.prepare(b"select ?, ?")
    pair.move()
    pair.server.prepared(5, 2)
    assert pair.move() == [Prepared(5, 2)]
    pair.client.execute(5, ["a", None], {"who": "me"})
    pair.move()
    assert pair.commands[-1].kind == Com.STMT_EXECUTE
    pair.server.begin_result(COLUMNS)
    pair.server.rows([binary_row(COLUMNS, ROW)])
    pair.server.end_result(more=True)
    pair.server.ok(1)
    began, row, end, done = pair.move()
    assert isinstance(began, Began) and isinstance(row, Row) and isinstance(end, End) and end.ok.more
    assert read_binary_row(began.columns, row.payload) == ROW
    assert isinstance(done, Done) and pair.client.in_hand == 0
    pair.client.close_statement(5)
    pair.client.ping()
    pair.move()
    pair.server.silent()
    assert [c.kind for c in pair.commands[-2:]] == [
        Com.STMT_CLOSE,
        Com.PING,
    ] or pair.server.data_to_send() == b""


def test_a_row_longer_than_a_packet() -> None:
    pair = Pair()
    pair.move()
    pair.client.query(b"long")
    pair.move()
    column = Column("s", ColumnType.VAR_STRING)
    pair.server.result([column], [["x" * (PART + 5)], ["y"]])
    events = pair.move(1 << 20)
    rows = [read_text_row([column], e.payload)[0] for e in events if isinstance(e, Row)]
    assert [len(str(r)) for r in rows] == [PART + 5, 1] and isinstance(events[-1], End)


def test_refused_logins_and_servers_that_break_off() -> None:
    pair = Pair(password=b"wrong")
    (broken,) = pair.move()
    assert isinstance(broken, Broken) and "1045" in broken.why and pair.client.state is State.CLOSED
    with pytest.raises(ValueError):
        pair.client.query(b"select 1")
    pair = Pair()
    pair.move()
    (told,) = pair.client.receive(packets(encode_err(4031, "HY000", "idle for too long"), 1)[0])
    assert isinstance(told, Broken) and "4031" in told.why


@pytest.mark.parametrize(
    "payload",
    [
        b"\xfbfile",  # asks for a file of ours
        b"\xfe\0\0\2\0",
        b"",
        b"\xfc\xff\xff",  # 65535 columns
        b"\x01\x02",  # a count that goes on
    ],
)
def test_what_no_server_says_breaks_the_connection(payload: bytes) -> None:
    pair = Pair()
    pair.move()
    pair.client.query(b"select 1")
    (broken,) = pair.client.receive(packets(payload, 1)[0])
    assert isinstance(broken, Broken) and pair.client.receive(b"more") == []


def test_the_password_itself_is_never_sent_in_the_clear() -> None:
    client = ClientSession("ada", b"love lace", "", 1 << 20)
    server = ServerSession(7, NONCE, USERS.get, 1 << 20, SHA2)
    server.start()
    client.receive(server.data_to_send())
    client.data_to_send()
    (broken,) = client.receive(packets(b"\x01\x04", 2)[0])
    assert isinstance(broken, Broken) and "TLS" in broken.why
    assert b"love lace" not in client.data_to_send()


@settings(max_examples=300, deadline=None)
@given(st.lists(st.binary(max_size=60), max_size=5), st.booleans(), st.integers(0, 3))
def test_noise_ends_in_events_and_never_in_an_exception(
    parts: list[bytes], logged_in: bool, ahead: int
) -> None:
    pair = Pair()
    if logged_in:
        pair.move()
        for _ in range(ahead):
            pair.client.query(b"select 1")
        pair.client.prepare(b"select ?")
    for part in parts:
        pair.client.receive(packets(part, 1 if logged_in else 0)[0])
        pair.client.receive(part)


values = st.one_of(
    st.none(), st.integers(-(1 << 63), (1 << 63) - 1), st.floats(allow_nan=False), st.text(), st.binary()
)


@given(st.lists(values, min_size=1, max_size=20))
def test_values_come_back_from_text_and_from_binary(row: list[Value]) -> None:
    kinds: dict[type, ColumnType] = {
        int: ColumnType.LONGLONG,
        float: ColumnType.DOUBLE,
        str: ColumnType.VAR_STRING,
        bytes: ColumnType.BLOB,
    }
    columns = [Column("c", kinds.get(type(v), ColumnType.NULL)) for v in row]
    assert read_text_row(columns, text_row(row)) == row
    assert read_binary_row(columns, binary_row(columns, row)) == row


@given(
    st.builds(
        Ok,
        st.integers(0, 1 << 40),
        st.integers(0, 1 << 40),
        st.integers(0, 0x3FFF),
        st.integers(0, 0xFFFF),
        st.binary(max_size=300),
        st.lists(st.tuples(st.integers(0, 5), st.binary(max_size=300)), max_size=4).map(tuple),
    )
)
def test_ok_packets_come_back(ok: Ok) -> None:
    back = decode_ok(encode_ok(0, ok, Capability.SESSION_TRACK), Capability.SESSION_TRACK)
    assert (back.affected, back.insert_id, back.warnings, back.info) == (
        ok.affected,
        ok.insert_id,
        ok.warnings,
        ok.info,
    )
    assert back.tracked == ok.tracked
    assert decode_err(encode_err(1, "HY000", "no")) == Err(1, "HY000", "no")


# The stand-in member.


LOGIN: Any = {"user": USER, "password": PASSWORD.decode(), "autocommit": True}


class Alone:
    """A group of one primary that speaks MySQL and nothing else of a world."""

    def __init__(self, shape: EndpointSettings) -> None:
        self.recorder = Recorder()
        clock = Clock()
        self.group = ReplicationGroup(0, clock, random.Random(1), self.recorder, 1.0, 1.0)
        self.member = FakeEndpoint("m0", self.group, 0, shape, TcpNetwork(), clock, 5, self.recorder)
        self.group.endpoints.append(self.member)
        self.group.primary = self.member

    async def use(self, work: Callable[[Any], Any], **options: Any) -> Any:
        def run() -> Any:
            fields: dict[str, Any] = {
                "user": USER,
                "password": PASSWORD.decode(),
                "autocommit": True,
            } | options
            with pymysql.connect(host="127.0.0.1", port=self.member.mysql_port, **fields) as connection:
                return work(connection)

        with trio.fail_after(40):
            return await trio.to_thread.run_sync(run)


@pytest.fixture
async def alone(nursery: trio.Nursery) -> Alone:
    made = Alone(EndpointSettings(mysql=True, synchronous_replication=False, read_us=100, write_us=100))
    await nursery.start(made.member.run, False)
    made.member.claims_primary = True
    return made


def ask(connection: Any, text: str, values: Any = None) -> Any:
    with connection.cursor() as cursor:
        cursor.execute(text, values)
        return cursor.fetchall()


INSERT = "insert into runs (runner, id) values (%s, %s)"


async def test_a_transaction_of_the_stand_in_is_seen_whole_or_not_at_all(alone: Alone) -> None:
    def work(connection: Any) -> Any:
        other = pymysql.connect(
            host="127.0.0.1",
            port=alone.member.mysql_port,
            user=USER,
            password=PASSWORD.decode(),
            autocommit=True,
        )
        seen = []
        connection.begin()
        ask(connection, INSERT, ("r", "one"))
        ask(connection, "savepoint s")
        ask(connection, INSERT, ("r", "two"))
        seen.append(ask(connection, "select count(*) from runs"))
        ask(connection, "rollback to savepoint s")
        ask(connection, INSERT, ("r", "three"))
        seen.append(ask(other, "select count(*) from runs"))
        with pytest.raises(pymysql.err.OperationalError) as waits:
            ask(other, INSERT, ("r", "other"))
        assert waits.value.args[0] == 1205
        connection.commit()
        seen.append(ask(other, "select id from runs order by number"))
        connection.begin()
        ask(connection, INSERT, ("r", "gone"))
        connection.rollback()
        seen.append(ask(other, "select count(*) from runs"))
        other.close()
        return seen

    assert await alone.use(work) == [((2,),), ((0,),), (("one",), ("three",)), ((2,),)]
    (commit,) = alone.member.replica.log
    assert len(commit.statements) == 2, "one entry of the log"


async def test_the_stand_in_tells_faults_in_mysql_s_words(alone: Alone) -> None:
    def work(connection: Any) -> list[int]:
        codes = []
        for text in (
            "select * from nowhere",
            "select absent from runs",
            "selekt",
            "select 1; select 2",
            "insert into runs (number, runner, id) values (1, 'a', 'a'), (1, 'b', 'b')",
            "insert into runs (runner, id) values (null, 'x')",
            "rollback to savepoint none",
        ):
            with pytest.raises(pymysql.err.MySQLError) as failed:
                ask(connection, text)
            codes.append(failed.value.args[0])
        return codes

    assert await alone.use(work) == [1146, 1054, 1064, 1064, 1062, 1048, 1305]
    assert alone.member.replica.log == []
    alone.member.claims_primary = False
    with pytest.raises(pymysql.err.MySQLError) as read_only:
        await alone.use(lambda c: ask(c, INSERT, ("a", "b")))
    assert read_only.value.args[0] == 1290


async def test_the_stand_in_tells_its_standing_and_streams_long_results(alone: Alone) -> None:
    text = "select @@global.read_only, 1, epoch, start, ts from juniperreel.heartbeat order by epoch"
    ((read_only, clock, epoch, start, ts),) = await alone.use(lambda c: ask(c, text))
    assert (read_only, epoch, start) == (0, 1, 0) and clock >= ts > 1_600_000_000_000_000
    many = "with recursive n (i) as (select 1 union all select i + 1 from n where i < 20000) select i from n"
    rows = await alone.use(lambda c: ask(c, many))
    assert [row[0] for row in rows] == list(range(1, 20_001))
