"""The client side of the protocol, tested with our server side, and the fake endpoint with pymysql."""

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
from juniperreel.mysql.client import ClientSession, State
from juniperreel.mysql.client_events import (
    ConnectionBroken,
    Done,
    Failed,
    Ready,
    ResultEnded,
    ResultStarted,
    Row,
    StatementPrepared,
)
from juniperreel.mysql.client_events import Event as ClientEvent
from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import Capability, ColumnType, CommandCode, ServerStatus
from juniperreel.mysql.packets import MAX_PACKET_PAYLOAD, encode_packets
from juniperreel.mysql.replies import Err, Ok, decode_err, decode_ok, encode_err, encode_ok, gtid_track
from juniperreel.mysql.rows import decode_binary_row, decode_text_row, encode_binary_row, encode_text_row
from juniperreel.mysql.server import Command, LoggedIn, ServerSession
from juniperreel.mysql.values import Value
from juniperreel.net import Clock, TcpNetwork
from juniperreel.verification.records import Recorder

USERS = {"ada": Credential.from_password(b"love lace"), "bob": Credential.from_password(b"")}
NONCE = bytes(range(1, 21))
OPTIONAL = [Capability.DEPRECATE_EOF, Capability.SESSION_TRACK, Capability.QUERY_ATTRIBUTES]
COLUMNS = [
    Column("i", ColumnType.LONGLONG),
    Column("d", ColumnType.DOUBLE),
    Column("s", ColumnType.VAR_STRING),
    Column("b", ColumnType.BLOB),
]
ROW: list[Value] = [-5, 0.1, "née ✓", b"\x00\xff"]


class ConnectedPair:
    """A client and a server connected in memory, with the events of both."""

    def __init__(self, plugin: str = SHA2, password: bytes = b"love lace", without: int = 0) -> None:
        self.server = ServerSession(7, NONCE, USERS.get, 64 << 20, plugin)
        self.server._offered &= ~without
        self.client = ClientSession("ada", password, "boards", 64 << 20)
        self.server.start()
        self.commands: list[Command] = []
        self.logins: list[LoggedIn] = []

    def exchange(self, step: int = 1 << 30) -> list[ClientEvent]:
        """Transfer bytes until neither side sends any. The test responds to commands."""
        events: list[ClientEvent] = []
        while True:
            to_client = self.server.data_to_send()
            to_server = self.client.data_to_send()
            if not to_client and not to_server:
                return events
            for start in range(0, len(to_client), step):
                events += self.client.receive(to_client[start : start + step])
            for start in range(0, len(to_server), step):
                for event in self.server.receive(to_server[start : start + step]):
                    self.record(event)

    def record(self, event: object) -> None:
        if isinstance(event, Command):
            self.commands.append(event)
        elif isinstance(event, LoggedIn):
            self.logins.append(event)


@pytest.mark.parametrize("plugin", [SHA2, NATIVE])
@pytest.mark.parametrize("step", [1, 7, 1 << 30])
@pytest.mark.parametrize(
    "without", [0, Capability.DEPRECATE_EOF, Capability.SESSION_TRACK, Capability.QUERY_ATTRIBUTES]
)
def test_login_results_and_errors_in_pieces_of_any_size_arrive(plugin: str, step: int, without: int) -> None:
    pair = ConnectedPair(plugin, without=without)
    assert pair.exchange(step) == [Ready(7, "8.0.36-juniperreel")]
    assert pair.logins[0].user == "ada"
    assert pair.logins[0].database == "boards"
    pair.client.query(b"select 1", {"who": "me"})
    pair.client.query(b"write")
    pair.client.query(b"fails")
    assert pair.client.in_flight == 3
    assert pair.exchange(step) == []
    (command,) = pair.commands
    assert command.payload == b"select 1"
    assert command.attributes == ({} if without == Capability.QUERY_ATTRIBUTES else {"who": "me"})
    for event in pair.server.result(COLUMNS, [ROW, [None] * 4]):
        pair.record(event)
    pair.server.status = ServerStatus.AUTOCOMMIT | ServerStatus.IN_TRANSACTION
    for event in pair.server.ok(3, 9, tracked=[gtid_track("u:1")]):
        pair.record(event)
    assert pair.server.error(1290, "HY000", "läuft nicht") == []
    events = pair.exchange(step)
    assert [type(e) for e in events] == [ResultStarted, Row, Row, ResultEnded, Done, Failed]
    began, first, second, _, done, failed = events
    assert isinstance(began, ResultStarted)
    assert [c.name for c in began.columns] == ["i", "d", "s", "b"]
    assert isinstance(first, Row)
    assert decode_text_row(began.columns, first.payload) == ROW
    assert isinstance(second, Row)
    assert decode_text_row(began.columns, second.payload) == [None] * 4
    assert isinstance(done, Done)
    assert (done.ok.affected, done.ok.insert_id) == (3, 9)
    assert done.ok.gtids == ("" if without == Capability.SESSION_TRACK else "u:1")
    assert failed == Failed(Err(1290, "HY000", "läuft nicht"))
    assert pair.client.in_transaction
    assert pair.client.in_flight == 0


def test_prepared_statement_with_several_results_gives_its_events() -> None:
    pair = ConnectedPair()
    pair.exchange()
    pair.client.prepare(b"select ?, ?")
    pair.exchange()
    pair.server.prepared(5, 2)
    assert pair.exchange() == [StatementPrepared(5, 2)]
    pair.client.execute(5, ["a", None], {"who": "me"})
    pair.exchange()
    assert pair.commands[-1].kind == CommandCode.STMT_EXECUTE
    pair.server.begin_result(COLUMNS)
    pair.server.rows([encode_binary_row(COLUMNS, ROW)])
    pair.server.end_result(more=True)
    pair.server.ok(1)
    began, row, end, done = pair.exchange()
    assert isinstance(began, ResultStarted)
    assert isinstance(row, Row)
    assert isinstance(end, ResultEnded)
    assert end.ok.more_results
    assert decode_binary_row(began.columns, row.payload) == ROW
    assert isinstance(done, Done)
    assert pair.client.in_flight == 0
    pair.client.close_statement(5)
    pair.client.ping()
    pair.exchange()
    pair.server.no_response()
    assert [c.kind for c in pair.commands[-2:]] == [
        CommandCode.STMT_CLOSE,
        CommandCode.PING,
    ] or pair.server.data_to_send() == b""


def test_row_longer_than_a_packet_arrives_complete() -> None:
    pair = ConnectedPair()
    pair.exchange()
    pair.client.query(b"long")
    pair.exchange()
    column = Column("s", ColumnType.VAR_STRING)
    pair.server.result([column], [["x" * (MAX_PACKET_PAYLOAD + 5)], ["y"]])
    events = pair.exchange(1 << 20)
    rows = [decode_text_row([column], e.payload)[0] for e in events if isinstance(e, Row)]
    assert [len(str(r)) for r in rows] == [MAX_PACKET_PAYLOAD + 5, 1]
    assert isinstance(events[-1], ResultEnded)


def test_rejected_login_or_error_without_a_command_breaks_the_connection() -> None:
    pair = ConnectedPair(password=b"wrong")
    (broken,) = pair.exchange()
    assert isinstance(broken, ConnectionBroken)
    assert "1045" in broken.reason
    assert pair.client.state is State.CLOSED
    with pytest.raises(ValueError, match="not logged in"):
        pair.client.query(b"select 1")
    pair = ConnectedPair()
    pair.exchange()
    (ended,) = pair.client.receive(encode_packets(encode_err(4031, "HY000", "idle for too long"), 1).data)
    assert isinstance(ended, ConnectionBroken)
    assert "4031" in ended.reason


@pytest.mark.parametrize(
    "payload",
    [
        b"\xfbfile",  # LOCAL INFILE request
        b"\xfe\0\0\2\0",
        b"",
        b"\xfc\xff\xff",  # 65535 columns
        b"\x01\x02",  # a column count with trailing bytes
    ],
)
def test_malformed_answer_breaks_the_connection(payload: bytes) -> None:
    pair = ConnectedPair()
    pair.exchange()
    pair.client.query(b"select 1")
    (broken,) = pair.client.receive(encode_packets(payload, 1).data)
    assert isinstance(broken, ConnectionBroken)
    assert pair.client.receive(b"more") == []


def test_full_authentication_without_tls_sends_no_password() -> None:
    client = ClientSession("ada", b"love lace", "", 1 << 20)
    server = ServerSession(7, NONCE, USERS.get, 1 << 20, SHA2)
    server.start()
    client.receive(server.data_to_send())
    client.data_to_send()
    (broken,) = client.receive(encode_packets(b"\x01\x04", 2).data)
    assert isinstance(broken, ConnectionBroken)
    assert "TLS" in broken.reason
    assert b"love lace" not in client.data_to_send()


@settings(max_examples=300, deadline=None)
@given(st.lists(st.binary(max_size=60), max_size=5), st.booleans(), st.integers(0, 3))
def test_noise_gives_events_and_never_raises(parts: list[bytes], logged_in: bool, ahead: int) -> None:
    pair = ConnectedPair()
    if logged_in:
        pair.exchange()
        for _ in range(ahead):
            pair.client.query(b"select 1")
        pair.client.prepare(b"select ?")
    for part in parts:
        pair.client.receive(encode_packets(part, 1 if logged_in else 0).data)
        pair.client.receive(part)


values = st.one_of(
    st.none(), st.integers(-(1 << 63), (1 << 63) - 1), st.floats(allow_nan=False), st.text(), st.binary()
)


@given(st.lists(values, min_size=1, max_size=20))
def test_rows_in_text_and_binary_round_trip(row: list[Value]) -> None:
    kinds: dict[type, ColumnType] = {
        int: ColumnType.LONGLONG,
        float: ColumnType.DOUBLE,
        str: ColumnType.VAR_STRING,
        bytes: ColumnType.BLOB,
    }
    columns = [Column("c", kinds.get(type(v), ColumnType.NULL)) for v in row]
    assert decode_text_row(columns, encode_text_row(row)) == row
    assert decode_binary_row(columns, encode_binary_row(columns, row)) == row


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
def test_ok_and_err_packets_round_trip(ok: Ok) -> None:
    back = decode_ok(encode_ok(0, ok, Capability.SESSION_TRACK), Capability.SESSION_TRACK)
    assert (back.affected, back.insert_id, back.warnings, back.info) == (
        ok.affected,
        ok.insert_id,
        ok.warnings,
        ok.info,
    )
    assert back.tracked == ok.tracked
    assert decode_err(encode_err(1, "HY000", "no")) == Err(1, "HY000", "no")


# The fake endpoint.


LOGIN: Any = {"user": USER, "password": PASSWORD.decode(), "autocommit": True}


class SingleEndpoint:
    """A replication group with a single endpoint, a primary that speaks MySQL."""

    def __init__(self, shape: EndpointSettings) -> None:
        self.recorder = Recorder()
        clock = Clock()
        self.group = ReplicationGroup(0, clock, random.Random(1), self.recorder, 1.0, 1.0)
        self.endpoint = FakeEndpoint("m0", self.group, 0, shape, TcpNetwork(), clock, 5, self.recorder)
        self.group.endpoints.append(self.endpoint)
        self.group.primary = self.endpoint

    async def use(self, work: Callable[[Any], Any], **options: Any) -> Any:
        def run() -> Any:
            fields: dict[str, Any] = {
                "user": USER,
                "password": PASSWORD.decode(),
                "autocommit": True,
            } | options
            with pymysql.connect(host="127.0.0.1", port=self.endpoint.mysql_port, **fields) as connection:
                return work(connection)

        with trio.fail_after(40):
            return await trio.to_thread.run_sync(run)


@pytest.fixture
async def single(nursery: trio.Nursery) -> SingleEndpoint:
    single_endpoint = SingleEndpoint(
        EndpointSettings(mysql=True, synchronous_replication=False, read_us=100, write_us=100)
    )
    await nursery.start(single_endpoint.endpoint.run, False)
    single_endpoint.endpoint.claims_primary = True
    return single_endpoint


def execute(connection: Any, text: str, values: Any = None) -> Any:
    with connection.cursor() as cursor:
        cursor.execute(text, values)
        return cursor.fetchall()


INSERT = "insert into runs (runner, id) values (%s, %s)"


async def test_transaction_of_the_fake_endpoint_is_visible_only_after_commit(single: SingleEndpoint) -> None:
    def work(connection: Any) -> Any:
        other = pymysql.connect(
            host="127.0.0.1",
            port=single.endpoint.mysql_port,
            user=USER,
            password=PASSWORD.decode(),
            autocommit=True,
        )
        seen = []
        connection.begin()
        execute(connection, INSERT, ("r", "one"))
        execute(connection, "savepoint s")
        execute(connection, INSERT, ("r", "two"))
        seen.append(execute(connection, "select count(*) from runs"))
        execute(connection, "rollback to savepoint s")
        execute(connection, INSERT, ("r", "three"))
        seen.append(execute(other, "select count(*) from runs"))
        with pytest.raises(pymysql.err.OperationalError) as waits:
            execute(other, INSERT, ("r", "other"))
        assert waits.value.args[0] == 1205
        connection.commit()
        seen.append(execute(other, "select id from runs order by number"))
        connection.begin()
        execute(connection, INSERT, ("r", "gone"))
        connection.rollback()
        seen.append(execute(other, "select count(*) from runs"))
        other.close()
        return seen

    assert await single.use(work) == [((2,),), ((0,),), (("one",), ("three",)), ((2,),)]
    (commit,) = single.endpoint.replica.log
    assert len(commit.statements) == 2, "one entry of the log"


async def test_invalid_statements_on_the_fake_endpoint_fail_with_mysql_codes(single: SingleEndpoint) -> None:
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
                execute(connection, text)
            codes.append(failed.value.args[0])
        return codes

    assert await single.use(work) == [1146, 1054, 1064, 1064, 1062, 1048, 1305]
    assert single.endpoint.replica.log == []
    single.endpoint.claims_primary = False
    with pytest.raises(pymysql.err.MySQLError) as read_only:
        await single.use(lambda c: execute(c, INSERT, ("a", "b")))
    assert read_only.value.args[0] == 1290


async def test_fake_endpoint_reports_its_position_and_streams_long_results(single: SingleEndpoint) -> None:
    text = "select @@global.read_only, 1, epoch, start, ts from juniperreel.heartbeat order by epoch"
    ((read_only, clock, epoch, start, heartbeat),) = await single.use(lambda c: execute(c, text))
    assert (read_only, epoch, start) == (0, 1, 0)
    assert clock >= heartbeat > 1_600_000_000_000_000
    many = "with recursive n (i) as (select 1 union all select i + 1 from n where i < 20000) select i from n"
    rows = await single.use(lambda c: execute(c, many))
    assert [row[0] for row in rows] == list(range(1, 20_001))
