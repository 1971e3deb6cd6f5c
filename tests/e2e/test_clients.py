"""An ordinary workload of three unmodified MySQL clients, through the edge to endpoints that speak MySQL."""

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
from tests.e2e.test_mysql import mysql_port

NUMBERS_QUERY = (
    "with recursive n (i) as (select 1 union all select i + 1 from n where i < %d) select i from n"
)


class Client(Protocol):
    """The interface that the tests need of each client."""

    def run_statement(self, text: str, values: tuple[Any, ...] = ()) -> list[Any]: ...

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

    def run_statement(self, text: str, values: tuple[Any, ...] = ()) -> list[Any]:
        with self._connection.cursor() as cursor:
            cursor.execute(text, values or None)
            return list(cursor.fetchall())

    def prepared(self, text: str, values: tuple[Any, ...]) -> list[Any]:
        return self.run_statement(text.replace("?", "%s"), values)  # pymysql has no prepared statements

    def code(self, text: str) -> int:
        try:
            self.run_statement(text)
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

    def run_statement(self, text: str, values: tuple[Any, ...] = ()) -> list[Any]:
        cursor = self._connection.cursor()
        cursor.execute(text, values)
        fetched = list(cursor.fetchall()) if cursor.with_rows else []
        cursor.close()
        return fetched

    def prepared(self, text: str, values: tuple[Any, ...]) -> list[Any]:
        cursor = self._connection.cursor(prepared=True)
        cursor.execute(text, values)
        fetched = list(cursor.fetchall()) if cursor.with_rows else []
        cursor.close()
        return fetched

    def code(self, text: str) -> int:
        try:
            self.run_statement(text)
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

    def run_statement(self, text: str, values: tuple[Any, ...] = ()) -> list[Any]:
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
    environment = Environment(tmp_path, "mysql-members 1", f"login {request.param}\n")
    started: Environment = await nursery.start(environment.run)
    return started


async def run_client(env: Environment, work: Any, client_class: Any, **options: Any) -> Any:
    fields = {"host": "127.0.0.1", "port": mysql_port(env), "user": "ada", "password": "love lace"}

    def run() -> Any:
        with client_class.open(**fields, **options) as client:
            return work(client)

    with trio.fail_after(90):
        return await trio.to_thread.run_sync(run)


def run_workload(client: Client, name: str) -> list[Any]:
    """The statements of a typical application server; returns their results."""
    results: list[Any] = []
    insert, select = "insert into runs (runner, id) values (%s, %s)", "select id from runs where runner = %s"
    client.autocommit(True)
    for n in range(3):
        client.run_statement(insert, (name, f"a{n}"))
        results.append(len(client.run_statement(select, (name,))))
    for n in range(3):
        client.prepared("insert into runs (runner, id) values (?, ?)", (name, f"p{n}"))
    results.append(len(client.prepared("select id from runs where runner = ?", (name,))))
    client.begin()
    client.run_statement(insert, (name, "t"))
    results.append(len(client.run_statement(select, (name,))))
    client.rollback()
    results.append(len(client.run_statement(select, (name,))))
    client.autocommit(False)
    client.run_statement(insert, (name, "t"))
    client.commit()
    client.run_statement("update runs set id = 'changed' where runner = %s and id = 't'", (name,))
    client.commit()
    client.autocommit(True)
    results.append(
        client.run_statement("select id from runs where runner = %s and id like %s", (name, "ch%"))
    )
    results.append(sum(row[0] for row in client.run_statement(NUMBERS_QUERY % 30_000)))
    errors = ("select * from nowhere", "selekt", "insert into runs (number, runner, id) values (1, 'a', 'b')")
    results.append([client.code(text) for text in errors])
    results.append(client.run_statement("select 1"))
    return results


EXPECTED = [1, 2, 3, 6, 7, 6, [("changed",)], 30_000 * 30_001 // 2, [1146, 1064, 1062], [(1,)]]


async def test_workload_of_an_application_server(env: Environment) -> None:
    for client_class in CLIENTS:
        assert (
            await run_client(
                env, lambda c, client_class=client_class: run_workload(c, client_class.__name__), client_class
            )
            == EXPECTED
        ), client_class
        name = f"{client_class.__name__} tls"
        authority = str(env.folder / "ca.crt")
        results = await run_client(
            env, lambda c, name=name: run_workload(c, name), client_class, tls=authority, database="runs"
        )
        assert results == EXPECTED, name
        with pytest.raises(Exception, match="Access denied"):
            await connect_with_wrong_password(env, client_class)


async def connect_with_wrong_password(env: Environment, client_class: Any) -> None:
    fields = {"host": "127.0.0.1", "port": mysql_port(env), "user": "ada", "password": "wrong"}

    def run() -> None:
        with client_class.open(**fields):
            pass

    await trio.to_thread.run_sync(run)


EXPECTED_VALUES: dict[str, Any] = {
    "decimal": Decimal("-12345678901234567890.12"),
    "date": date(2026, 12, 1),
    "datetime": datetime(2026, 12, 1, 23, 59, 58, 7),
    "stamp": datetime(2026, 12, 1, 23, 59, 58),
    "time": -timedelta(hours=26, seconds=1, milliseconds=500),
}


async def test_values_of_every_column_type_in_text_and_binary_protocol(env: Environment) -> None:
    expected = [EXPECTED_VALUES.get(name, value) for name, *_, value in TYPED_COLUMNS]
    for client_class in CLIENTS:
        first, second = await run_client(
            env, lambda c: c.run_statement("select * from every_type"), client_class
        )
        assert normalize(first) == normalize(expected) and set(second) == {None}, client_class
    # In the binary protocol this client decodes a year as text, and negates only the days of a negative time.
    text = "select * from every_type_but_year where ? = ?"
    first, second = await run_client(env, lambda c: c.prepared(text, (1, 1)), Connector)
    others = normalize(v for v in expected if v not in (2026, EXPECTED_VALUES["time"]))
    assert [v for v in normalize(first) if not isinstance(v, timedelta)] == others
    assert set(second) == {None}
    # gRPC clients get dates and decimals as text.
    request = env.message("own", "r", "x")
    request.statement = b"select * from every_type where ? = ?"
    for parameter in request.parameters[:1]:
        request.parameters.append(parameter)
    answer = (await env.send(request)).result
    assert list(answer.columns) == [name for name, *_ in TYPED_COLUMNS]
    row = {
        c: getattr(v, v.WhichOneof("kind"))
        for c, v in zip(answer.columns, answer.rows[0].values, strict=True)
    }
    assert row["decimal"] == "-12345678901234567890.12" and row["time"] == "-26:00:01.500000"
    assert row["year"] == 2026 and row["ubig"] == "18446744073709551615"
    assert row["blob"] == bytes(range(256)) and row["short"] == -32768 and row["double"] == 0.1
    assert {v.WhichOneof("kind") for v in answer.rows[1].values} == {"null"}
    assert rows(await env.read("none")) == []


def normalize(row: Any) -> list[Any]:
    """Convert sets, bits and JSON, which the clients represent differently, to one form."""
    out = []
    for value in row:
        if isinstance(value, set | frozenset):
            value = ",".join(sorted(value))
        if isinstance(value, bytes) and value == b"\x05":
            value = 5
        out.append(value.decode() if isinstance(value, bytes | bytearray) and is_printable(value) else value)
    return [5 if value == "\x05" else value for value in out]


def is_printable(value: bytes | bytearray) -> bool:
    try:
        return bytes(value).decode().isprintable()
    except UnicodeDecodeError:
        return False


async def test_session_tracking_reports_the_token(env: Environment) -> None:
    """Session tracking sends the token as GTIDs after a write and after a commit."""
    tokens = []
    session = ClientSession("ada", b"love lace", "", 1 << 20)
    stream = await trio.open_tcp_stream("127.0.0.1", mysql_port(env))
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
    first, last = (env.keyring.decode_text(tokens[n]) for n in (0, 3))
    assert first.join(last) == last != first
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5
    # A forged token in an attribute is rejected; another connection sends the token in a comment.
    session.query(b"select 1", {"juniperreel_token": "forged"})
    await stream.send_all(session.data_to_send())
    assert b"token" in await stream.receive_some(65536)
    await stream.aclose()
    results = await run_client(
        env,
        lambda c: c.run_statement(f"select id from runs /* token {tokens[3]} */ where runner = 'a'"),
        Pymysql,
    )
    assert results == [("b",), ("c",)]
