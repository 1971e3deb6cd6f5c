"""Unmodified MySQL clients through the edge to endpoints that speak gRPC."""

from __future__ import annotations

import json
import socket
import ssl
import struct
from collections.abc import Callable
from typing import Any

import mysql.connector
import pymysql
import pytest
import trio

from juniperreel.fakes.mysql_client import MysqlClient, MysqlConnectionError, QueryError, QueryResult
from juniperreel.frontends.mysql.transaction_scope import Plan, TransactionScope
from juniperreel.statements import Classification, SessionVerb
from tests.e2e.environment import Environment, rows

INSERT = "insert into runs (runner, id) values ('%s', '%s')"
SELECT = "select id from runs where runner = '%s' order by number"


def mysql_port(env: Environment) -> int:
    lines = [json.loads(line) for line in (env.folder / "edge.log").read_text().splitlines()]
    address: str = next(line["mysql"] for line in lines if line["event"] == "serving")
    return int(address.rpartition(":")[2])


async def run_pymysql(env: Environment, work: Callable[[Any], Any], **options: Any) -> Any:
    edge_port = mysql_port(env)

    def run() -> Any:
        fields: dict[str, Any] = {"user": "ada", "password": "love lace", "autocommit": True} | options
        with pymysql.connect(host="127.0.0.1", port=edge_port, **fields) as connection:
            return work(connection)

    with trio.fail_after(40):
        return await trio.to_thread.run_sync(run)


def execute(connection: Any, text: str) -> Any:
    with connection.cursor() as cursor:
        cursor.execute(text)
        return cursor.fetchall()


async def test_session_sees_its_own_writes_while_replicas_lag(env: Environment) -> None:
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5

    def work(connection: Any) -> list[Any]:
        results = []
        for n in range(5):
            execute(connection, INSERT % ("m", f"w{n}"))
            results.append(execute(connection, SELECT % "m"))
        connection.commit()
        return results

    results = await run_pymysql(env, work)
    assert [len(s) for s in results] == [1, 2, 3, 4, 5] and results[-1][-1] == ("w4",)


async def test_token_of_one_front_end_is_accepted_by_the_other(env: Environment) -> None:
    def write(connection: Any) -> str:
        execute(connection, INSERT % ("t", "one"))
        return str(execute(connection, "select @@juniperreel_token")[0][0])

    token = await run_pymysql(env, write)
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5
    read = await env.read("t", env.keyring.encode(env.keyring.decode_text(token)))
    assert rows(read) == ["one"]
    write_response = await env.write("t", rid="two")
    token_text = env.keyring.encode_text(env.keyring.decode(write_response.causal_token))

    def read_row(connection: Any) -> Any:
        execute(connection, f"set @@juniperreel_token = '{token_text}'")
        return execute(connection, SELECT % "t")

    assert await run_pymysql(env, read_row) == (("one",), ("two",))


async def test_values_of_all_kinds_come_back(env: Environment) -> None:
    text = "select 5, 0.25, 'née', null, count(*), coalesce(null, 'x') from runs"
    row = (await run_pymysql(env, lambda c: execute(c, text)))[0]
    assert row[:4] == (5, 0.25, "née", None) and row[5] == "x"


async def test_write_survives_a_failover_and_takes_effect_once(env: Environment) -> None:
    old = env.primary
    old.faults.broken_connections = 1.0

    async def kill_primary() -> None:
        with trio.fail_after(10):
            while not env.commits("k"):
                await trio.sleep(0.01)
        await trio.sleep(0.1)
        old.kill()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(kill_primary)
        text = "insert into runs (runner, id) values ('k', 'k') /* rid k */"
        results = await run_pymysql(env, lambda c: (execute(c, text), execute(c, SELECT % "k"))[1])
    assert results == (("k",),)


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("begin", 1235),
        ("set autocommit = 0", 1235),
        ("select * from runs for update", 1235),
        ("select get_lock('a', 1)", 1235),
        ("select last_insert_id() + 1", 1235),
        ("insert into runs (runner, id) values ('a', last_insert_id())", 1235),
        ("select get_lock('a', 1) from runs", 1235),
        ("create temporary table t (a int)", 1235),
        ("set @a = 1", 1235),
        ("select 1; select 2", 1235),
        ("/*!50000 delete from runs */", 1235),
        ("select from", 1235),
        ("select * from nowhere", 1064),
        ("select 1 /* group 7 */", 1064),
        ("set @@juniperreel_token = 'forged'", 1231),
    ],
)
async def test_unsupported_statement_is_rejected_with_its_error_code(
    env: Environment, text: str, code: int
) -> None:
    def work(connection: Any) -> None:
        with pytest.raises(pymysql.err.MySQLError) as refused:
            execute(connection, text)
        assert refused.value.args[0] == code, refused.value.args
        assert execute(connection, "select 1") == ((1,),)  # the connection stays open

    await run_pymysql(env, work)


async def test_rejection_names_the_retry_after_and_wrong_password_is_rejected(env: Environment) -> None:
    future_token = env.keyring.encode_text(env.keyring.decode(env.token(env.clock.now_us() + 3_600_000_000)))

    def work(connection: Any) -> None:
        execute(connection, f"set @@juniperreel_token = '{future_token}'")
        with pytest.raises(pymysql.err.MySQLError) as refused:
            execute(connection, "select 1")
        assert refused.value.args[0] == 1205 and "after 300 ms" in refused.value.args[1]

    await run_pymysql(env, work)
    with pytest.raises(pymysql.err.OperationalError, match="Access denied"):
        await run_pymysql(env, lambda c: None, password="wrong")


async def test_client_disconnect_ends_its_request(env: Environment) -> None:
    for member in env.fleet.endpoints.values():
        member.faults.hung = True
    edge_port = mysql_port(env)

    def disconnect() -> None:
        options: dict[str, Any] = {"user": "ada", "password": "love lace", "autocommit": True}
        connection: Any = pymysql.connect(host="127.0.0.1", port=edge_port, read_timeout=0.3, **options)
        with pytest.raises(pymysql.err.OperationalError):
            execute(connection, "select 1")

    await trio.to_thread.run_sync(disconnect)
    with trio.fail_after(10):
        while env.edge.driver.open_requests:
            await trio.sleep(0.01)


async def test_connection_reset_during_answers_affects_no_other_client(env: Environment) -> None:
    """Guards against an exception in one connection's task that ends all connections and the edge."""
    for _ in range(20):
        client = MysqlClient(env.network, mysql_port(env), "ada", b"love lace")
        await client.query("select 1")
        stream = client._stream
        assert isinstance(stream, trio.SocketStream)
        many = b"".join(b"\x09\0\0\0\x03select 1" for _ in range(200))
        await stream.send_all(many)
        # With a linger time of zero, closing the socket sends a RST instead of a FIN.
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await client.close()
    assert await run_pymysql(env, lambda c: execute(c, "select 1")) == ((1,),)
    log = (env.folder / "edge.log").read_text()
    assert "MySQL connection failed" not in log
    assert "raised unexpectedly" not in log


async def test_exception_in_one_connection_s_task_is_logged_and_affects_no_other_client(
    env: Environment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The planted fault that "MySQL connection failed" reports, which other tests look for in the log."""
    plan = TransactionScope.plan

    def fail_on_begin(scope: TransactionScope, classification: Classification) -> Plan:
        command = classification.session_command
        if command is not None and command.verb is SessionVerb.BEGIN:
            raise ZeroDivisionError
        return plan(scope, classification)

    monkeypatch.setattr(TransactionScope, "plan", fail_on_begin)
    with pytest.raises(pymysql.err.MySQLError):
        await run_pymysql(env, lambda connection: connection.begin())
    assert "MySQL connection failed" in (env.folder / "edge.log").read_text()
    assert await run_pymysql(env, lambda connection: execute(connection, "select 1")) == ((1,),)


async def test_connections_beyond_the_limit_are_rejected_with_an_error(env: Environment) -> None:
    streams = [await trio.open_tcp_stream("127.0.0.1", mysql_port(env)) for _ in range(50)]
    for stream in streams:
        assert await stream.receive_some(1000)
    with pytest.raises(pymysql.err.OperationalError) as refused:
        await run_pymysql(env, lambda c: None)
    assert refused.value.args[0] == 1040
    for stream in streams:
        await stream.aclose()


def run_connector(env: Environment, work: Callable[[Any], Any]) -> Any:
    """Run `work` on a connection of mysql-connector-python, the pure Python implementation."""
    with mysql.connector.connect(
        host="127.0.0.1",
        port=mysql_port(env),
        user="ada",
        password="love lace",
        use_pure=True,
        autocommit=True,
        ssl_disabled=True,
        connection_timeout=30,
    ) as connection:
        return work(connection)


async def test_prepared_statements_of_mysql_connector(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        results = []
        insert, select = connection.cursor(prepared=True), connection.cursor(prepared=True)
        for n in range(5):
            insert.execute("insert into runs (runner, id) values (?, ?)", ("née ✓", f"w{n}"))
            select.execute("select id, number from runs where runner = ? order by number", ("née ✓",))
            results.append(select.fetchall())
        insert.execute("insert into runs (runner, id) values (%s, %s)", ("other", "x" * 100_000))
        select.execute("select length(id) from runs where runner = %s", ("other",))
        results.append(select.fetchall())
        return results

    with trio.fail_after(60):
        results = await trio.to_thread.run_sync(run_connector, env, work)
    assert [len(s) for s in results[:5]] == [1, 2, 3, 4, 5]
    assert [row[0] for row in results[4]] == [f"w{n}" for n in range(5)]
    assert all(isinstance(row[1], int) for row in results[4])
    assert results[5] == [(100_000,)]


async def test_clients_with_equal_statement_ids_execute_their_own_texts(env: Environment) -> None:
    """Guards against mixing up statements, since the ids of each connection start at one."""

    def client(name: str) -> Callable[[Any], Any]:
        def work(connection: Any) -> Any:
            cursor = connection.cursor(prepared=True)
            out = []
            for n in range(10):
                cursor.execute(f"select '{name}', ?", (n,))
                out += cursor.fetchall()
            return out

        return work

    results: dict[str, Any] = {}

    async def run(name: str) -> None:
        results[name] = await trio.to_thread.run_sync(run_connector, env, client(name))

    with trio.fail_after(60):
        async with trio.open_nursery() as nursery:
            for name in ("a", "b", "c"):
                nursery.start_soon(run, name)
    for name in ("a", "b", "c"):
        assert [(str(label), int(value)) for label, value in results[name]] == [(name, n) for n in range(10)]


async def test_unsupported_statement_cannot_be_prepared(env: Environment) -> None:
    def work(connection: Any) -> list[int]:
        codes = []
        for text in ("select * from runs for update", "begin", "select 'open"):
            try:
                connection.cursor(prepared=True).execute(text)
            except mysql.connector.Error as error:
                codes.append(error.errno)
        return codes

    with trio.fail_after(60):
        codes = await trio.to_thread.run_sync(run_connector, env, work)
    assert codes == [1235, 1235, 1235]


async def test_fake_client_token_is_accepted_on_a_second_connection(env: Environment) -> None:
    """The client of the scripted trials, against lagging replicas and after a reconnect."""
    with trio.fail_after(60):
        first_client = MysqlClient(env.network, mysql_port(env), "ada", b"love lace")
        assert await first_client.query(
            "insert into runs (runner, id) values ('k', 'a') /* group 0 */"
        ) == QueryResult(affected=1)
        token_result = await first_client.query("select @@juniperreel_token")
        assert isinstance(token_result, QueryResult)
        for member in env.fleet.endpoints.values():
            member.replica.apply_slowdown = 1e5
        await first_client.close()
        second_client = MysqlClient(env.network, mysql_port(env), "ada", b"love lace")
        assert (
            await second_client.query(f"set @@juniperreel_token = '{token_result.rows[0][0]}'")
            == QueryResult()
        )
        assert await second_client.query("select id, null from runs where runner = 'k'") == QueryResult(
            [["a", None]]
        )
        failed = await second_client.query("begin")
        assert isinstance(failed, QueryError) and failed.code == 1235
        await second_client.close()
        with pytest.raises(MysqlConnectionError) as caught:
            await MysqlClient(env.network, mysql_port(env), "ada", b"wrong").query("select 1")
        assert not caught.value.sent


async def test_tls_clients_verify_the_certificate(env: Environment) -> None:
    authority = str(env.folder / "ca.crt")

    def work(connection: Any) -> Any:
        execute(connection, INSERT % ("tls", "x" * 200_000))
        return execute(connection, "select length(id) from runs where runner = 'tls'")

    context = ssl.create_default_context(cafile=authority)
    assert await run_pymysql(env, work, ssl=context) == ((200_000,),)

    def query_with_connector() -> Any:
        with mysql.connector.connect(
            host="127.0.0.1",
            port=mysql_port(env),
            user="ada",
            password="love lace",
            use_pure=True,
            ssl_ca=authority,
            ssl_verify_cert=True,
            ssl_verify_identity=True,
            autocommit=True,
        ) as connection:
            cursor = connection.cursor()
            cursor.execute("select id from runs where runner = 'nobody'")
            return cursor.fetchall()

    with trio.fail_after(60):
        assert await trio.to_thread.run_sync(query_with_connector) == []
    context_without_authority = ssl.create_default_context()
    with pytest.raises(pymysql.err.OperationalError):
        await run_pymysql(env, work, ssl=context_without_authority)
    assert await run_pymysql(env, lambda c: execute(c, "select 1")) == ((1,),), (
        "clients without TLS must be served too"
    )


async def test_client_that_requests_tls_without_a_handshake_is_disconnected(env: Environment) -> None:
    with trio.fail_after(60):
        for after in (b"", b"GET / HTTP/1.1\r\n\r\n" * 20, b"\x16\x03\x01\x00\x05hello"):
            stream = await trio.open_tcp_stream("127.0.0.1", mysql_port(env))
            await stream.receive_some(4096)
            capabilities = (0x1 | 0x200 | 0x800 | 0x8000 | 0x80000).to_bytes(4, "little")
            await stream.send_all(b"\x20\0\0\x01" + capabilities + bytes(28) + after)
            await stream.send_eof()
            try:
                while await stream.receive_some(4096):
                    pass
            except trio.BrokenResourceError:
                pass
        assert await run_pymysql(env, lambda c: execute(c, "select 1")) == ((1,),)
