"""Ordinary use by three clients that others wrote, unmodified, through the edge to members that speak
MySQL."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import date, datetime, timedelta
from decimal import Decimal
from pathlib import Path
from typing import Any, Protocol

import aiomysql
import mysql.connector
import pymysql
import pytest
import trio

from juniperreel.fakes.mysql_types import TYPED_COLUMNS
from juniperreel.mysql.client import ClientSession
from juniperreel.mysql.client_events import Done
from tests.e2e.environment import Environment, rows
from tests.e2e.test_mysql import port

MANY = "with recursive n (i) as (select 1 union all select i + 1 from n where i < %d) select i from n"


class Client(Protocol):
    """As much as the three have in common."""

    def ask(self, text: str, values: tuple[Any, ...] = ()) -> list[Any]: ...

    def prepared(self, text: str, values: tuple[Any, ...]) -> list[Any]: ...

    def code(self, text: str) -> int: ...

    def begin(self) -> None: ...

    def commit(self) -> None: ...

    def rollback(self) -> None: ...

    def autocommit(self, on: bool) -> None: ...


class Pymysql:
    error: Any = pymysql.err.MySQLError

    def __init__(self, connection: Any) -> None:
        self._connection = connection

    @staticmethod
    @contextmanager
    def open(**options: Any) -> Iterator[Client]:
        if "tls" in options:
            options["ssl"] = ssl.create_default_context(cafile=options.pop("tls"))
        with pymysql.connect(**options) as connection:
            yield Pymysql(connection)

    def ask(self, text: str, values: tuple[Any, ...] = ()) -> list[Any]:
        with self._connection.cursor() as cursor:
            cursor.execute(text, values or None)
            return list(cursor.fetchall())

    def prepared(self, text: str, values: tuple[Any, ...]) -> list[Any]:
        return self.ask(text.replace("?", "%s"), values)  # it has none: values go into the text

    def code(self, text: str) -> int:
        try:
            self.ask(text)
        except self.error as error:
            return int(error.args[0])
        return 0

    def begin(self) -> None:
        self._connection.begin()

    def commit(self) -> None:
        self._connection.commit()

    def rollback(self) -> None:
        self._connection.rollback()

    def autocommit(self, on: bool) -> None:
        self._connection.autocommit(on)


class Connector(Pymysql):
    error: Any = mysql.connector.Error

    @staticmethod
    @contextmanager
    def open(**options: Any) -> Iterator[Client]:
        if "tls" in options:
            options |= {"ssl_ca": options.pop("tls"), "ssl_verify_cert": True, "ssl_verify_identity": True}
        else:
            options["ssl_disabled"] = True
        with mysql.connector.connect(use_pure=True, connection_timeout=30, **options) as connection:
            yield Connector(connection)

    def ask(self, text: str, values: tuple[Any, ...] = ()) -> list[Any]:
        cursor = self._connection.cursor()
        cursor.execute(text, values)
        found = list(cursor.fetchall()) if cursor.with_rows else []
        cursor.close()
        return found

    def prepared(self, text: str, values: tuple[Any, ...]) -> list[Any]:
        cursor = self._connection.cursor(prepared=True)
        cursor.execute(text, values)
        found = list(cursor.fetchall()) if cursor.with_rows else []
        cursor.close()
        return found

    def code(self, text: str) -> int:
        try:
            self.ask(text)
        except self.error as error:
            return int(error.errno)
        return 0

    def begin(self) -> None:
        self._connection.start_transaction()

    def autocommit(self, on: bool) -> None:
        self._connection.autocommit = on


class Aiomysql(Pymysql):
    def __init__(self, loop: asyncio.AbstractEventLoop, connection: Any) -> None:
        super().__init__(connection)
        self._loop = loop

    @staticmethod
    @contextmanager
    def open(**options: Any) -> Iterator[Client]:
        loop = asyncio.new_event_loop()
        if "tls" in options:
            options["ssl"] = ssl.create_default_context(cafile=options.pop("tls"))
        options["db"] = options.pop("database", None)
        try:
            connection = loop.run_until_complete(aiomysql.connect(**options))
            yield Aiomysql(loop, connection)
            connection.close()
        finally:
            loop.close()

    def ask(self, text: str, values: tuple[Any, ...] = ()) -> list[Any]:
        async def run() -> list[Any]:
            async with self._connection.cursor() as cursor:
                await cursor.execute(text, values or None)
                return list(await cursor.fetchall())

        return self._loop.run_until_complete(run())

    def begin(self) -> None:
        self._loop.run_until_complete(self._connection.begin())

    def commit(self) -> None:
        self._loop.run_until_complete(self._connection.commit())

    def rollback(self) -> None:
        self._loop.run_until_complete(self._connection.rollback())

    def autocommit(self, on: bool) -> None:
        self._loop.run_until_complete(self._connection.autocommit(on))


CLIENTS = [Pymysql, Connector, Aiomysql]


@pytest.fixture(params=["caching_sha2_password", "mysql_native_password"])
async def env(request: pytest.FixtureRequest, nursery: trio.Nursery, tmp_path: Path) -> Environment:
    made = Environment(tmp_path, "mysql-members 1", f"login {request.param}\n")
    started: Environment = await nursery.start(made.run)
    return started


async def use(env: Environment, work: Any, kind: Any, **options: Any) -> Any:
    fields = {"host": "127.0.0.1", "port": port(env), "user": "ada", "password": "love lace"}

    def run() -> Any:
        with kind.open(**fields, **options) as client:
            return work(client)

    with trio.fail_after(90):
        return await trio.to_thread.run_sync(run)


def ordinary(client: Client, name: str) -> list[Any]:
    """What an app server does in a day."""
    seen: list[Any] = []
    insert, select = "insert into runs (runner, id) values (%s, %s)", "select id from runs where runner = %s"
    client.autocommit(True)
    for n in range(3):
        client.ask(insert, (name, f"a{n}"))
        seen.append(len(client.ask(select, (name,))))
    for n in range(3):
        client.prepared("insert into runs (runner, id) values (?, ?)", (name, f"p{n}"))
    seen.append(len(client.prepared("select id from runs where runner = ?", (name,))))
    client.begin()
    client.ask(insert, (name, "t"))
    seen.append(len(client.ask(select, (name,))))
    client.rollback()
    seen.append(len(client.ask(select, (name,))))
    client.autocommit(False)
    client.ask(insert, (name, "t"))
    client.commit()
    client.ask("update runs set id = 'changed' where runner = %s and id = 't'", (name,))
    client.commit()
    client.autocommit(True)
    seen.append(client.ask("select id from runs where runner = %s and id like %s", (name, "ch%")))
    seen.append(sum(row[0] for row in client.ask(MANY % 30_000)))
    errors = ("select * from nowhere", "selekt", "insert into runs (number, runner, id) values (1, 'a', 'b')")
    seen.append([client.code(text) for text in errors])
    seen.append(client.ask("select 1"))
    return seen


EXPECTED = [1, 2, 3, 6, 7, 6, [("changed",)], 30_000 * 30_001 // 2, [1146, 1064, 1062], [(1,)]]


async def test_an_app_server_s_day(env: Environment) -> None:
    for kind in CLIENTS:
        assert await use(env, lambda c, kind=kind: ordinary(c, kind.__name__), kind) == EXPECTED, kind
        name = f"{kind.__name__} tls"
        authority = str(env.folder / "ca.crt")
        seen = await use(env, lambda c, name=name: ordinary(c, name), kind, tls=authority, database="runs")
        assert seen == EXPECTED, name
        with pytest.raises(Exception, match="Access denied"):
            await stranger(env, kind)


async def stranger(env: Environment, kind: Any) -> None:
    fields = {"host": "127.0.0.1", "port": port(env), "user": "ada", "password": "wrong"}

    def run() -> None:
        with kind.open(**fields):
            pass

    await trio.to_thread.run_sync(run)


MEANT: dict[str, Any] = {
    "decimal": Decimal("-12345678901234567890.12"),
    "date": date(2026, 12, 1),
    "datetime": datetime(2026, 12, 1, 23, 59, 58, 7),
    "stamp": datetime(2026, 12, 1, 23, 59, 58),
    "time": -timedelta(hours=26, seconds=1, milliseconds=500),
}


async def test_every_type_of_column_comes_through_in_text_and_in_binary(env: Environment) -> None:
    expected = [MEANT.get(name, value) for name, *_, value in TYPED_COLUMNS]
    for kind in CLIENTS:
        first, second = await use(env, lambda c: c.ask("select * from every_type"), kind)
        assert normal(first) == normal(expected) and set(second) == {None}, kind
    # This client reads a year in binary as a text, which it is not, and of a negative time only the days as
    # such.
    text = "select * from every_type_but_year where ? = ?"
    first, second = await use(env, lambda c: c.prepared(text, (1, 1)), Connector)
    others = normal(v for v in expected if v not in (2026, MEANT["time"]))
    assert [v for v in normal(first) if not isinstance(v, timedelta)] == others
    assert set(second) == {None}
    # And to a client of gRPC, for whom dates and decimals stay text.
    ask = env.message("own", "r", "x")
    ask.statement = b"select * from every_type where ? = ?"
    for parameter in ask.parameters[:1]:
        ask.parameters.append(parameter)
    answer = (await env.send(ask)).result
    assert list(answer.columns) == [name for name, *_ in TYPED_COLUMNS]
    told = {
        c: getattr(v, v.WhichOneof("kind"))
        for c, v in zip(answer.columns, answer.rows[0].values, strict=True)
    }
    assert told["decimal"] == "-12345678901234567890.12" and told["time"] == "-26:00:01.500000"
    assert told["year"] == 2026 and told["ubig"] == "18446744073709551615"
    assert told["blob"] == bytes(range(256)) and told["short"] == -32768 and told["double"] == 0.1
    assert {v.WhichOneof("kind") for v in answer.rows[1].values} == {"null"}
    assert rows(await env.read("none")) == []


def normal(row: Any) -> list[Any]:
    """Clients differ in how they show sets, bits and JSON."""
    out = []
    for value in row:
        if isinstance(value, set | frozenset):
            value = ",".join(sorted(value))
        if isinstance(value, bytes) and value == b"\x05":
            value = 5
        out.append(value.decode() if isinstance(value, bytes | bytearray) and is_text(value) else value)
    return [5 if value == "\x05" else value for value in out]


def is_text(value: bytes | bytearray) -> bool:
    try:
        return bytes(value).decode().isprintable()
    except UnicodeDecodeError:
        return False


async def test_a_client_that_tracks_its_session_is_told_its_token(env: Environment) -> None:
    """By the wire: GTIDs of session tracking, after a write and after a commit."""
    tokens = []
    session = ClientSession("ada", b"love lace", "", 1 << 20)
    stream = await trio.open_tcp_stream("127.0.0.1", port(env))
    with trio.fail_after(20):
        while not session.connection_id or session.state.value != "ready":
            session.receive(await stream.receive_some(65536))
            await stream.send_all(session.data_to_send())
        for text in (
            b"insert into runs (runner, id) values ('a', 'b')",
            b"begin",
            b"insert into runs (runner, id) values ('a', 'c')",
            b"commit",
        ):
            session.query(text, {"juniperreel_group": 0})
            await stream.send_all(session.data_to_send())
            done: list[Any] = []
            while not done:
                done = [e for e in session.receive(await stream.receive_some(65536)) if isinstance(e, Done)]
            tokens.append(done[0].ok.gtids)
            assert session.in_transaction == (text in (b"begin",) or (len(tokens) == 3))
    assert tokens[0] and not tokens[1] and not tokens[2] and tokens[3]
    first, last = (env.ring.decode_text(tokens[n]) for n in (0, 3))
    assert first.join(last) == last != first
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5
    # Another connection presents it as an attribute of its statement, and sees what was written.
    session.query(b"select 1", {"juniperreel_token": "forged"})
    await stream.send_all(session.data_to_send())
    assert b"token" in await stream.receive_some(65536)
    await stream.aclose()
    seen = await use(
        env, lambda c: c.ask(f"select id from runs /* token {tokens[3]} */ where runner = 'a'"), Pymysql
    )
    assert seen == [("b",), ("c",)]
