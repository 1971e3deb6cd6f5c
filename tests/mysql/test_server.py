"""The server side of the protocol, tested with pymysql as the client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pymysql
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.mysql.auth import NATIVE, SHA2, Credential, sha1, sha256, xor
from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import ColumnType, CommandCode
from juniperreel.mysql.packets import (
    MAX_PACKET_PAYLOAD,
    Cursor,
    PacketReader,
    ProtocolError,
    encode_length,
    encode_packets,
    encode_string,
)
from juniperreel.mysql.server import Command, ConnectionClosed, Event, LoggedIn, ServerSession, State

USERS = {"ada": Credential.from_password(b"love lace"), "bob": Credential.from_password(b"")}
NONCE = bytes(range(1, 21))
BIG = "x" * (MAX_PACKET_PAYLOAD + 100)
COLUMNS = [
    Column("i", ColumnType.LONGLONG),
    Column("d", ColumnType.DOUBLE),
    Column("s", ColumnType.VAR_STRING),
    Column("b", ColumnType.BLOB),
    Column("n", ColumnType.NULL),
]
ROW = (-5, 0.1, "née ✓", b"\x00\xff", None)


def session(plugin: str = SHA2) -> ServerSession:
    return ServerSession(7, NONCE, USERS.get, 64 << 20, plugin)


SECONDS = 20


class RunningServer:
    """A server whose responses depend on the statement's text."""

    def __init__(self, port: int, seen: list[Event], closed: trio.Event) -> None:
        self.port = port
        self.seen = seen
        self._closed = closed

    async def wait_until_closed(self) -> None:
        """Wait until the server has processed the client's COM_QUIT."""
        with trio.fail_after(SECONDS):
            await self._closed.wait()
        assert isinstance(self.seen[-1], ConnectionClosed)

    async def use(self, work: Callable[[Any], Any], **options: Any) -> Any:
        def run() -> Any:
            fields = {
                "user": "ada",
                "password": "love lace",
                "autocommit": None,
                "charset": "utf8mb4",
            } | options
            connection = pymysql.connect(host="127.0.0.1", port=self.port, **fields)
            with connection:
                return work(connection)

        with trio.fail_after(30):
            return await trio.to_thread.run_sync(run)


def respond(protocol: ServerSession, event: Event) -> list[Event]:
    if not isinstance(event, Command):
        return []
    if event.kind != CommandCode.QUERY:
        if event.kind in (CommandCode.PING, CommandCode.INIT_DB):
            return protocol.ok()
        return protocol.error(1047, "08S01", "unknown command")
    text = event.payload.decode()
    if text == "all types":
        return protocol.result(COLUMNS, [ROW, ROW])
    if text == "big":
        return protocol.result([Column("s", ColumnType.VAR_STRING)], [(BIG,)])
    if text == "many":
        return protocol.result([Column("i", ColumnType.LONGLONG)], [(n,) for n in range(5000)])
    if text == "fails":
        return protocol.error(1290, "HY000", "läuft nicht")
    return protocol.ok(affected=len(text), insert_id=9)


@pytest.fixture(params=[SHA2, NATIVE])
async def served(request: pytest.FixtureRequest, nursery: trio.Nursery) -> RunningServer:
    seen: list[Event] = []
    closed = trio.Event()

    async def serve(stream: trio.SocketStream) -> None:
        protocol = session(request.param)
        protocol.start()
        while True:
            await stream.send_all(protocol.data_to_send())
            if protocol.state is State.CLOSED:
                await stream.aclose()
                return
            data = await stream.receive_some(65536)
            if not data:
                return
            todo = protocol.receive(data)
            while todo:
                event = todo.pop(0)
                seen.append(event)
                if isinstance(event, ConnectionClosed):
                    closed.set()
                todo += respond(protocol, event)

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    return RunningServer(listeners[0].socket.getsockname()[1], seen, closed)


async def test_pymysql_login_and_values_of_each_type_round_trip(served: RunningServer) -> None:
    def work(connection: Any) -> Any:
        connection.ping(reconnect=False)
        connection.select_db("other")
        with connection.cursor() as cursor:
            cursor.execute("all types")
            return cursor.fetchall()

    assert await served.use(work, database="boards") == ((-5, 0.1, "née ✓", b"\x00\xff", None),) * 2
    login = served.seen[0]
    assert isinstance(login, LoggedIn)
    assert (login.user, login.database) == ("ada", "boards")
    await served.wait_until_closed()


async def test_errors_counts_and_large_packets_reach_pymysql(served: RunningServer) -> None:
    def work(connection: Any) -> None:
        with connection.cursor() as cursor:
            with pytest.raises(pymysql.err.MySQLError) as failed:
                cursor.execute("fails")
            assert failed.value.args == (1290, "läuft nicht")
            assert cursor.execute("insert") == 6
            assert cursor.lastrowid == 9
            cursor.execute("many")
            assert [row[0] for row in cursor.fetchall()] == list(range(5000))
            cursor.execute("big")
            assert cursor.fetchall()[0][0] == BIG
            assert cursor.execute(BIG) == len(BIG)

    await served.use(work)


@pytest.mark.parametrize("who", [{"password": "wrong"}, {"user": "nobody"}, {"password": ""}])
async def test_rejected_login_does_not_say_which_part_was_wrong(
    served: RunningServer, who: dict[str, str]
) -> None:
    with pytest.raises(pymysql.err.OperationalError) as denied:
        await served.use(lambda _connection: None, **who)
    assert denied.value.args[0] == 1045
    assert denied.value.args[1] == f"Access denied for user '{who.get('user', 'ada')}'"


def login(protocol: ServerSession) -> None:
    """Log in with a handwritten packet for mysql_native_password."""
    protocol.start()
    protocol.data_to_send()
    proof = xor(sha1(b"love lace"), sha1(NONCE, sha1(sha1(b"love lace"))))
    caps = (1 << 9 | 1 << 15 | 1 << 19).to_bytes(4, "little")
    data = caps + bytes(4) + b"\xff" + bytes(23) + b"ada\0" + bytes((20,)) + proof + NATIVE.encode() + b"\0"
    events = protocol.receive(encode_packets(data, 1).data)
    assert isinstance(events[0], LoggedIn)
    assert protocol.state is State.READY
    protocol.data_to_send()


def test_pipelined_command_waits_for_the_answer_before_it() -> None:
    protocol = session()
    login(protocol)
    two = encode_packets(b"\x03first", 0).data + encode_packets(b"\x03second", 0).data
    (first,) = protocol.receive(two)
    assert first == Command(3, b"first")
    assert protocol.state is State.BUSY
    assert protocol.buffered_bytes > 0
    (second,) = protocol.ok()
    assert second == Command(3, b"second")
    assert protocol.error(1, "HY000", "no") == []
    assert protocol.buffered_bytes == 0


@pytest.mark.parametrize(
    "data, code",
    [
        (encode_packets(b"\x03x", 5).data, 1156),
        (encode_packets(b"", 0).data, 1047),
        ((1 << 23).to_bytes(3, "little") + b"\0", 1153),
    ],
)
def test_malformed_packet_closes_the_connection_with_its_error(data: bytes, code: int) -> None:
    protocol = ServerSession(7, NONCE, USERS.get, 1 << 20, NATIVE)
    login(protocol)
    (closed,) = protocol.receive(data)
    assert isinstance(closed, ConnectionClosed)
    assert protocol.state is State.CLOSED
    assert int.from_bytes(protocol.data_to_send()[5:7], "little") == code
    assert protocol.receive(b"more") == []


def test_old_clients_and_long_logins_are_rejected() -> None:
    for data, code in ((bytes(40), 1251), (b"x" * 20_000, 1153)):
        protocol = session()
        protocol.start()
        protocol.data_to_send()
        assert isinstance(protocol.receive(encode_packets(data, 1).data)[-1], ConnectionClosed)
        assert int.from_bytes(protocol.data_to_send()[5:7], "little") == code


@settings(max_examples=400, deadline=None)
@given(st.lists(st.binary(max_size=80), max_size=6), st.booleans())
def test_noise_gives_events_and_never_raises(parts: list[bytes], logged_in: bool) -> None:
    protocol = session()
    if logged_in:
        login(protocol)
    else:
        protocol.start()
    for part in parts:
        todo = protocol.receive(part) + protocol.receive(encode_packets(part, 0 if logged_in else 1).data)
        while todo:
            todo += respond_to_commands(protocol, todo.pop(0))
    assert protocol.buffered_bytes < 100_000


def respond_to_commands(protocol: ServerSession, event: Event) -> list[Event]:
    return protocol.ok() if isinstance(event, Command) else []


@given(st.lists(st.binary(max_size=600), max_size=5), st.integers(1, 200))
def test_packets_in_pieces_of_any_size_round_trip(payloads: list[bytes], step: int) -> None:
    reader = PacketReader(1 << 20)
    received = []
    for payload in payloads:
        data = encode_packets(payload, 0).data
        reader.sequence = 0
        for at in range(0, len(data), step):
            reader.feed(data[at : at + step])
            while (complete := reader.next_payload()) is not None:
                received.append(complete)
    assert received == payloads
    assert reader.buffered_bytes == 0


@given(st.integers(0, (1 << 64) - 1), st.binary(max_size=300))
def test_lengths_and_strings_round_trip(number: int, data: bytes) -> None:
    cursor = Cursor(encode_length(number) + encode_string(data))
    assert (cursor.length(), cursor.string(), cursor.remaining) == (number, data, 0)
    with pytest.raises(ProtocolError):
        cursor.take(1)


@given(st.binary(max_size=30), st.binary(max_size=30))
def test_verify_accepts_the_response_of_the_password_only(password: bytes, other: bytes) -> None:
    native = xor(sha1(password), sha1(NONCE, sha1(sha1(password))))
    sha2 = xor(sha256(password), sha256(sha256(sha256(password)), NONCE))
    for plugin, proof in ((NATIVE, native), (SHA2, sha2)):
        assert Credential.from_password(password).verify(plugin, NONCE, proof)
        assert Credential.from_password(other).verify(plugin, NONCE, proof) == (password == other)
        assert not Credential.from_password(password).verify(plugin, NONCE, proof[:-1])
    assert not Credential.from_password(password).verify("other", NONCE, native)
