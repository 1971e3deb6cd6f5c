"""pymysql, unmodified, through the edge to the members."""

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
from tests.e2e.environment import Environment, rows

INSERT = "insert into runs (runner, id) values ('%s', '%s')"
SELECT = "select id from runs where runner = '%s' order by number"


def port(env: Environment) -> int:
    lines = [json.loads(line) for line in (env.folder / "edge.log").read_text().splitlines()]
    place: str = next(line["mysql"] for line in lines if line["event"] == "serving")
    return int(place.rpartition(":")[2])


async def using(env: Environment, work: Callable[[Any], Any], **options: Any) -> Any:
    where = port(env)

    def run() -> Any:
        fields: dict[str, Any] = {"user": "ada", "password": "love lace", "autocommit": True} | options
        with pymysql.connect(host="127.0.0.1", port=where, **fields) as connection:
            return work(connection)

    with trio.fail_after(40):
        return await trio.to_thread.run_sync(run)


def ask(connection: Any, text: str) -> Any:
    with connection.cursor() as cursor:
        cursor.execute(text)
        return cursor.fetchall()


async def test_a_session_sees_its_own_writes_though_replicas_lag(env: Environment) -> None:
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5

    def work(connection: Any) -> list[Any]:
        seen = []
        for n in range(5):
            ask(connection, INSERT % ("m", f"w{n}"))
            seen.append(ask(connection, SELECT % "m"))
        connection.commit()
        return seen

    seen = await using(env, work)
    assert [len(s) for s in seen] == [1, 2, 3, 4, 5] and seen[-1][-1] == ("w4",)


async def test_a_token_of_one_front_is_good_at_the_other(env: Environment) -> None:
    def write(connection: Any) -> str:
        ask(connection, INSERT % ("t", "one"))
        return str(ask(connection, "select @@juniperreel_token")[0][0])

    token = await using(env, write)
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5
    read = await env.read("t", env.ring.encode(env.ring.decode_text(token)))
    assert rows(read) == ["one"]
    wrote = await env.write("t", rid="two")
    given = env.ring.encode_text(env.ring.decode(wrote.causal_token))

    def see(connection: Any) -> Any:
        ask(connection, f"set @@juniperreel_token = '{given}'")
        return ask(connection, SELECT % "t")

    assert await using(env, see) == (("one",), ("two",))


async def test_values_of_all_kinds_come_back(env: Environment) -> None:
    text = "select 5, 0.25, 'née', null, count(*), coalesce(null, 'x') from runs"
    row = (await using(env, lambda c: ask(c, text)))[0]
    assert row[:4] == (5, 0.25, "née", None) and row[5] == "x"


async def test_a_write_survives_its_primary_and_takes_effect_once(env: Environment) -> None:
    old = env.primary
    old.faults.broken_connections = 1.0

    async def end() -> None:
        with trio.fail_after(10):
            while not env.commits("k"):
                await trio.sleep(0.01)
        await trio.sleep(0.1)
        old.kill()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(end)
        text = "insert into runs (runner, id) values ('k', 'k') /* rid k */"
        shown = await using(env, lambda c: (ask(c, text), ask(c, SELECT % "k"))[1])
    assert shown == (("k",),)


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
async def test_what_is_not_served_is_refused_by_name(env: Environment, text: str, code: int) -> None:
    def work(connection: Any) -> None:
        with pytest.raises(pymysql.err.MySQLError) as refused:
            ask(connection, text)
        assert refused.value.args[0] == code, refused.value.args
        assert ask(connection, "select 1") == ((1,),)  # the connection lives on

    await using(env, work)


async def test_refusals_name_the_wait_and_strangers_are_turned_away(env: Environment) -> None:
    ahead = env.ring.encode_text(env.ring.decode(env.token(env.clock.now_us() + 3_600_000_000)))

    def work(connection: Any) -> None:
        ask(connection, f"set @@juniperreel_token = '{ahead}'")
        with pytest.raises(pymysql.err.MySQLError) as refused:
            ask(connection, "select 1")
        assert refused.value.args[0] == 1205 and "after 300 ms" in refused.value.args[1]

    await using(env, work)
    with pytest.raises(pymysql.err.OperationalError, match="Access denied"):
        await using(env, lambda c: None, password="wrong")


async def test_a_client_that_leaves_in_the_middle_ends_its_request(env: Environment) -> None:
    for member in env.fleet.endpoints.values():
        member.faults.hung = True
    where = port(env)

    def leave() -> None:
        options: dict[str, Any] = {"user": "ada", "password": "love lace", "autocommit": True}
        connection: Any = pymysql.connect(host="127.0.0.1", port=where, read_timeout=0.3, **options)
        with pytest.raises(pymysql.err.OperationalError):
            ask(connection, "select 1")

    await trio.to_thread.run_sync(leave)
    with trio.fail_after(10):
        while env.edge.driver.open_requests:
            await trio.sleep(0.01)


async def test_who_resets_its_connection_under_the_answer_costs_only_itself(env: Environment) -> None:
    """Danger: what breaks one connection's task would end all others, and the edge."""
    for _ in range(20):
        client = MysqlClient(env.network, port(env), "ada", b"love lace")
        await client.query("select 1")
        stream = client._stream
        assert isinstance(stream, trio.SocketStream)
        many = b"".join(b"\x09\0\0\0\x03select 1" for _ in range(200))
        await stream.send_all(many)
        # Lingering for no time: the socket is reset and not ended.
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await client.close()
    assert await using(env, lambda c: ask(c, "select 1")) == ((1,),)
    log = (env.folder / "edge.log").read_text()
    assert "failed inside" not in log
    assert "MySQL connection failed" not in log
    assert "raised unexpectedly" not in log


async def test_connections_beyond_the_limit_are_told_so(env: Environment) -> None:
    streams = [await trio.open_tcp_stream("127.0.0.1", port(env)) for _ in range(50)]
    for stream in streams:
        assert await stream.receive_some(1000)
    with pytest.raises(pymysql.err.OperationalError) as refused:
        await using(env, lambda c: None)
    assert refused.value.args[0] == 1040
    for stream in streams:
        await stream.aclose()


def connector(env: Environment, work: Callable[[Any], Any]) -> Any:
    """mysql-connector-python in pure Python, with server-side prepared statements."""
    with mysql.connector.connect(
        host="127.0.0.1",
        port=port(env),
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
        seen = []
        insert, select = connection.cursor(prepared=True), connection.cursor(prepared=True)
        for n in range(5):
            insert.execute("insert into runs (runner, id) values (?, ?)", ("née ✓", f"w{n}"))
            select.execute("select id, number from runs where runner = ? order by number", ("née ✓",))
            seen.append(select.fetchall())
        insert.execute("insert into runs (runner, id) values (%s, %s)", ("other", "x" * 100_000))
        select.execute("select length(id) from runs where runner = %s", ("other",))
        seen.append(select.fetchall())
        return seen

    with trio.fail_after(60):
        seen = await trio.to_thread.run_sync(connector, env, work)
    assert [len(s) for s in seen[:5]] == [1, 2, 3, 4, 5]
    assert [row[0] for row in seen[4]] == [f"w{n}" for n in range(5)]
    assert all(isinstance(row[1], int) for row in seen[4])
    assert seen[5] == [(100_000,)]


async def test_two_clients_prepare_other_texts_under_the_same_id(env: Environment) -> None:
    """Ids count from one on each connection, and members die between executions."""

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
        results[name] = await trio.to_thread.run_sync(connector, env, client(name))

    with trio.fail_after(60):
        async with trio.open_nursery() as nursery:
            for name in ("a", "b", "c"):
                nursery.start_soon(run, name)
    for name in ("a", "b", "c"):
        assert [(str(one), int(two)) for one, two in results[name]] == [(name, n) for n in range(10)]


async def test_what_cannot_be_prepared_is_named(env: Environment) -> None:
    def work(connection: Any) -> list[int]:
        codes = []
        for text in ("select * from runs for update", "begin", "select 'open"):
            try:
                connection.cursor(prepared=True).execute(text)
            except mysql.connector.Error as error:
                codes.append(error.errno)
        return codes

    with trio.fail_after(60):
        codes = await trio.to_thread.run_sync(connector, env, work)
    assert codes == [1235, 1235, 1235]


async def test_the_fake_client_keeps_its_token_over_connections(env: Environment) -> None:
    """The client that the scripted day plays, against lagging replicas and a connection that breaks."""
    with trio.fail_after(60):
        one = MysqlClient(env.network, port(env), "ada", b"love lace")
        assert await one.query(
            "insert into runs (runner, id) values ('k', 'a') /* group 0 */"
        ) == QueryResult(affected=1)
        told = await one.query("select @@juniperreel_token")
        assert isinstance(told, QueryResult)
        for member in env.fleet.endpoints.values():
            member.replica.apply_slowdown = 1e5
        await one.close()
        other = MysqlClient(env.network, port(env), "ada", b"love lace")
        assert await other.query(f"set @@juniperreel_token = '{told.rows[0][0]}'") == QueryResult()
        assert await other.query("select id, null from runs where runner = 'k'") == QueryResult([["a", None]])
        failed = await other.query("begin")
        assert isinstance(failed, QueryError) and failed.code == 1235
        await other.close()
        with pytest.raises(MysqlConnectionError) as caught:
            await MysqlClient(env.network, port(env), "ada", b"wrong").query("select 1")
        assert not caught.value.sent


async def test_tls_of_two_clients_checked_against_the_authority(env: Environment) -> None:
    authority = str(env.folder / "ca.crt")

    def work(connection: Any) -> Any:
        ask(connection, INSERT % ("tls", "x" * 200_000))
        return ask(connection, "select length(id) from runs where runner = 'tls'")

    context = ssl.create_default_context(cafile=authority)
    assert await using(env, work, ssl=context) == ((200_000,),)

    def other() -> Any:
        with mysql.connector.connect(
            host="127.0.0.1",
            port=port(env),
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
        assert await trio.to_thread.run_sync(other) == []
    strangers = ssl.create_default_context()
    with pytest.raises(pymysql.err.OperationalError):
        await using(env, work, ssl=strangers)
    assert await using(env, lambda c: ask(c, "select 1")) == ((1,),), "and those without go on"


async def test_a_peer_that_asks_for_tls_and_speaks_none_is_dropped(env: Environment) -> None:
    with trio.fail_after(60):
        for after in (b"", b"GET / HTTP/1.1\r\n\r\n" * 20, b"\x16\x03\x01\x00\x05hello"):
            stream = await trio.open_tcp_stream("127.0.0.1", port(env))
            await stream.receive_some(4096)
            capabilities = (0x1 | 0x200 | 0x800 | 0x8000 | 0x80000).to_bytes(4, "little")
            await stream.send_all(b"\x20\0\0\x01" + capabilities + bytes(28) + after)
            await stream.send_eof()
            try:
                while await stream.receive_some(4096):
                    pass
            except trio.BrokenResourceError:
                pass
        assert await using(env, lambda c: ask(c, "select 1")) == ((1,),)
