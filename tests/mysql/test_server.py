"""The server's side of the protocol, with pymysql as the independent witness."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pymysql
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.mysql.auth import NATIVE, SHA2, Credential, sha1, sha256, xor
from juniperreel.mysql.constants import ColumnType, Com
from juniperreel.mysql.packets import PART, Cursor, PacketReader, ProtocolError, length, packets, string
from juniperreel.mysql.server import Command, Event, Gone, LoggedIn, ServerSession, State
from juniperreel.mysql.values import Column

USERS = {"ada": Credential.of(b"love lace"), "bob": Credential.of(b"")}
NONCE = bytes(range(1, 21))
BIG = "x" * (PART + 100)
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


class Served:
    """A server for one test: answers by the statement's text."""

    def __init__(self, port: int, seen: list[Event], told: trio.Event) -> None:
        self.port, self.seen, self._told = port, seen, told

    async def until_gone(self) -> None:
        """The client's goodbye may still be on its way when the client is done."""
        with trio.fail_after(SECONDS):
            await self._told.wait()
        assert isinstance(self.seen[-1], Gone)

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


def answer(s: ServerSession, event: Event) -> list[Event]:
    if not isinstance(event, Command):
        return []
    if event.kind != Com.QUERY:
        return s.ok() if event.kind in (Com.PING, Com.INIT_DB) else s.error(1047, "08S01", "unknown command")
    text = event.payload.decode()
    if text == "all types":
        return s.result(COLUMNS, [ROW, ROW])
    if text == "big":
        return s.result([Column("s", ColumnType.VAR_STRING)], [(BIG,)])
    if text == "many":
        return s.result([Column("i", ColumnType.LONGLONG)], [(n,) for n in range(5000)])
    if text == "fails":
        return s.error(1290, "HY000", "läuft nicht")
    return s.ok(affected=len(text), insert_id=9)


@pytest.fixture(params=[SHA2, NATIVE])
async def served(request: pytest.FixtureRequest, nursery: trio.Nursery) -> Served:
    seen: list[Event] = []
    told = trio.Event()

    async def serve(stream: trio.SocketStream) -> None:
        s = session(request.param)
        s.start()
        while True:
            await stream.send_all(s.data_to_send())
            if s.state is State.CLOSED:
                await stream.aclose()
                return
            data = await stream.receive_some(65536)
            if not data:
                return
            todo = s.receive(data)
            while todo:
                event = todo.pop(0)
                seen.append(event)
                if isinstance(event, Gone):
                    told.set()
                todo += answer(s, event)

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    return Served(listeners[0].socket.getsockname()[1], seen, told)


async def test_pymysql_logs_in_and_every_type_comes_back(served: Served) -> None:
    def work(connection: Any) -> Any:
        connection.ping(reconnect=False)
        connection.select_db("other")
        with connection.cursor() as cursor:
            cursor.execute("all types")
            return cursor.fetchall()

    assert await served.use(work, database="boards") == ((-5, 0.1, "née ✓", b"\x00\xff", None),) * 2
    login = served.seen[0]
    assert isinstance(login, LoggedIn) and (login.user, login.database) == ("ada", "boards")
    await served.until_gone()


async def test_errors_counts_and_large_packets_both_ways(served: Served) -> None:
    def work(connection: Any) -> None:
        with connection.cursor() as cursor:
            with pytest.raises(pymysql.err.MySQLError) as failed:
                cursor.execute("fails")
            assert failed.value.args == (1290, "läuft nicht")
            assert cursor.execute("insert") == 6 and cursor.lastrowid == 9
            cursor.execute("many")
            assert [row[0] for row in cursor.fetchall()] == list(range(5000))
            cursor.execute("big")
            assert cursor.fetchall()[0][0] == BIG
            assert cursor.execute(BIG) == len(BIG)

    await served.use(work)


@pytest.mark.parametrize("who", [{"password": "wrong"}, {"user": "nobody"}, {"password": ""}])
async def test_who_is_refused_does_not_learn_which_half_was_wrong(
    served: Served, who: dict[str, str]
) -> None:
    with pytest.raises(pymysql.err.OperationalError) as denied:
        await served.use(lambda connection: None, **who)
    assert denied.value.args[0] == 1045
    assert denied.value.args[1] == f"Access denied for user '{who.get('user', 'ada')}'"


def login(s: ServerSession) -> None:
    """By hand, with the native plugin."""
    s.start()
    s.data_to_send()
    proof = xor(sha1(b"love lace"), sha1(NONCE, sha1(sha1(b"love lace"))))
    caps = (1 << 9 | 1 << 15 | 1 << 19).to_bytes(4, "little")
    data = caps + bytes(4) + b"\xff" + bytes(23) + b"ada\0" + bytes((20,)) + proof + NATIVE.encode() + b"\0"
    events = s.receive(packets(data, 1)[0])
    assert isinstance(events[0], LoggedIn) and s.state is State.READY
    s.data_to_send()


def test_a_command_that_comes_early_waits_for_the_answer_before_it() -> None:
    s = session()
    login(s)
    two = packets(b"\x03first", 0)[0] + packets(b"\x03second", 0)[0]
    (first,) = s.receive(two)
    assert first == Command(3, b"first") and s.state is State.BUSY and s.held > 0
    (second,) = s.ok()
    assert second == Command(3, b"second")
    assert s.error(1, "HY000", "no") == [] and s.held == 0


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (packets(b"\x03x", 5)[0], 1156),
        (packets(b"", 0)[0], 1047),
        ((1 << 23).to_bytes(3, "little") + b"\0", 1153),
    ],
)
def test_a_broken_packet_ends_the_connection_with_its_error(data: bytes, code: int) -> None:
    s = ServerSession(7, NONCE, USERS.get, 1 << 20, NATIVE)
    login(s)
    (gone,) = s.receive(data)
    assert isinstance(gone, Gone) and s.state is State.CLOSED
    assert int.from_bytes(s.data_to_send()[5:7], "little") == code
    assert s.receive(b"more") == []


def test_old_clients_and_long_logins_are_refused() -> None:
    for data, code in ((bytes(40), 1251), (b"x" * 20_000, 1153)):
        s = session()
        s.start()
        s.data_to_send()
        assert isinstance(s.receive(packets(data, 1)[0])[-1], Gone)
        assert int.from_bytes(s.data_to_send()[5:7], "little") == code


@settings(max_examples=400, deadline=None)
@given(st.lists(st.binary(max_size=80), max_size=6), st.booleans())
def test_noise_ends_in_events_and_never_in_an_exception(parts: list[bytes], logged_in: bool) -> None:
    s = session()
    if logged_in:
        login(s)
    else:
        s.start()
    for part in parts:
        todo = s.receive(part) + s.receive(packets(part, 0 if logged_in else 1)[0])
        while todo:
            todo += answer_noise(s, todo.pop(0))
    assert s.held < 100_000


def answer_noise(s: ServerSession, event: Event) -> list[Event]:
    return s.ok() if isinstance(event, Command) else []


@given(st.lists(st.binary(max_size=600), max_size=5), st.integers(1, 200))
def test_packets_come_back_however_cut(payloads: list[bytes], step: int) -> None:
    reader, got = PacketReader(1 << 20), []
    for payload in payloads:
        data, _ = packets(payload, 0)
        reader.sequence = 0
        for at in range(0, len(data), step):
            reader.feed(data[at : at + step])
            while (whole := reader.next()) is not None:
                got.append(whole)
    assert got == payloads and reader.held == 0


@given(st.integers(0, (1 << 64) - 1), st.binary(max_size=300))
def test_lengths_and_strings_come_back(number: int, data: bytes) -> None:
    c = Cursor(length(number) + string(data))
    assert (c.length(), c.string(), c.left) == (number, data, 0)
    with pytest.raises(ProtocolError):
        c.take(1)


@given(st.binary(max_size=30), st.binary(max_size=30))
def test_only_the_password_proves_itself(password: bytes, other: bytes) -> None:
    native = xor(sha1(password), sha1(NONCE, sha1(sha1(password))))
    sha2 = xor(sha256(password), sha256(sha256(sha256(password)), NONCE))
    for plugin, proof in ((NATIVE, native), (SHA2, sha2)):
        assert Credential.of(password).proves(plugin, NONCE, proof)
        assert Credential.of(other).proves(plugin, NONCE, proof) == (password == other)
        assert not Credential.of(password).proves(plugin, NONCE, proof[:-1])
    assert not Credential.of(password).proves("other", NONCE, native)
