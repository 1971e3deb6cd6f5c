"""Transactions through the edge to members that speak MySQL, with everything that can end one in between."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import mysql.connector
import pymysql
import pytest
import trio
from pymysql.constants.COMMAND import COM_QUERY

from juniperreel.frontends.mysql.connection import Connection
from juniperreel.frontends.mysql.frontend import DRAIN_POLL_S
from juniperreel.pool.connection import BackendConnection
from juniperreel.proxy.mysql_endpoints import MysqlEndpoints
from juniperreel.rpc.status import Code, RpcError
from tests.e2e.environment import Environment, rows
from tests.e2e.test_mysql import INSERT, SELECT, ask, connector, port, using

COUNT = "select count(*) from runs where runner = '%s'"
STOPPING = 1053  # the error code of a server that ends
MANY = "with recursive n (i) as (select 1 union all select i + 1 from n where i < %d) select i from n"

WIDE = MANY.replace("select i from", f"select i, '{'x' * 1000}' from")  # fills the sockets' buffers soon


@pytest.fixture
async def env(nursery: trio.Nursery, tmp_path: Path) -> Environment:
    started: Environment = await nursery.start(Environment(tmp_path, "mysql-members 1").run)
    return started


def links(env: Environment) -> MysqlEndpoints:
    found = env.edge.driver.endpoints
    assert isinstance(found, MysqlEndpoints)
    return found


async def until(what: Callable[[], bool]) -> None:
    with trio.fail_after(20):
        while not what():
            await trio.sleep(0.01)


def code_of(connection: Any, text: str) -> int:
    """The error that a statement ends with; 0 for none."""
    try:
        ask(connection, text)
    except pymysql.err.MySQLError as error:
        return int(error.args[0])
    return 0


# The plain way.


async def test_both_fronts_reach_members_that_speak_mysql(env: Environment) -> None:
    wrote = await env.write("g", rid="one")
    assert wrote.member == env.primary.name and wrote.role == 1

    def work(connection: Any) -> Any:
        token = env.ring.encode_text(env.ring.decode(wrote.causal_token))
        ask(connection, f"set @@juniperreel_token = '{token}'")
        seen = [ask(connection, SELECT % "g")]
        ask(connection, INSERT % ("g", "two"))
        seen.append(ask(connection, SELECT % "g"))
        return seen, ask(connection, "select @@juniperreel_token")[0][0]

    seen, token = await using(env, work)
    assert seen == [(("one",),), (("one",), ("two",))]
    assert rows(await env.read("g", env.ring.encode(env.ring.decode_text(token)))) == ["one", "two"]
    members = {(await env.read("g", cls="board")).member for _ in range(30)}
    assert len(members - {env.primary.name}) == 2, "replicas take the reads"


async def test_own_writes_are_seen_while_replicas_lag(env: Environment) -> None:
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5

    def work(connection: Any) -> list[int]:
        seen = []
        for n in range(3):
            ask(connection, INSERT % ("lag", f"w{n}"))
            seen.append(len(ask(connection, SELECT % "lag")))
            connection.begin()
            ask(connection, INSERT % ("lag", f"t{n}"))
            connection.commit()
            seen.append(len(ask(connection, SELECT % "lag")))
        return seen

    assert await using(env, work) == [1, 2, 3, 4, 5, 6]


async def test_values_of_all_kinds_and_prepared_statements(env: Environment) -> None:
    text = "select 5, 0.25, 'née', null, x'00ff', -9223372036854775808"
    (row,) = await using(env, lambda c: ask(c, text))
    assert row[:5] == (5, 0.25, "née", None, b"\x00\xff") and int(row[5]) == -(1 << 63)

    def work(connection: Any) -> list[Any]:
        seen = []
        insert, select = connection.cursor(prepared=True), connection.cursor(prepared=True)
        for n in range(20):
            insert.execute("insert into runs (runner, id) values (?, ?)", ("née ✓", f"w{n}"))
            select.execute("select id, number from runs where runner = ? order by number", ("née ✓",))
            seen.append(len(select.fetchall()))
        insert.execute("insert into runs (runner, id) values (?, ?)", ("long", "x" * 100_000))
        select.execute("select length(id), 0.5, null, x'00' from runs where runner = ?", ("long",))
        return [seen, select.fetchall()]

    with trio.fail_after(60):
        seen, last = await trio.to_thread.run_sync(connector, env, work)
    assert seen == list(range(1, 21))
    assert last == [(100_000, 0.5, None, b"\x00")]
    primary = env.primary.mysql
    # Three texts: reads come to the primary as well where no replica is known to have the write yet.
    assert primary.prepared <= 3 * primary.opened, "each text once on a connection, not once for each use"


async def test_a_transaction_is_whole_or_not_at_all(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        seen = []
        other = pymysql.connect(
            host="127.0.0.1", port=port(env), user="ada", password="love lace", autocommit=True
        )
        connection.begin()
        ask(connection, INSERT % ("t", "one"))
        ask(connection, "savepoint a")
        ask(connection, INSERT % ("t", "two"))
        seen.append(ask(connection, SELECT % "t"))
        ask(connection, "rollback to savepoint a")
        seen.append(ask(other, COUNT % "t")[0][0])
        connection.commit()
        token = ask(connection, "select @@juniperreel_token")[0][0]
        ask(other, f"set @@juniperreel_token = '{token}'")
        seen.append(ask(other, SELECT % "t"))
        connection.begin()
        ask(connection, INSERT % ("t", "three"))
        connection.rollback()
        seen.append(ask(connection, SELECT % "t"))
        other.close()
        return seen

    assert await using(env, work) == [(("one",), ("two",)), 0, (("one",),), (("one",),)]
    assert not links(env).open_transactions()


async def test_autocommit_off_begins_with_each_statement_and_implicit_commits_count(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        seen = []
        ask(connection, INSERT % ("a", "one"))
        connection.rollback()
        seen.append(ask(connection, COUNT % "a")[0][0])
        ask(connection, INSERT % ("a", "two"))
        ask(connection, "begin")  # commits what is open
        ask(connection, INSERT % ("a", "three"))
        ask(connection, "create table more (a integer)")  # and so does this
        connection.rollback()
        seen.append(ask(connection, COUNT % "a")[0][0])
        ask(connection, INSERT % ("a", "four"))
        ask(connection, "set autocommit = 1")
        seen.append(ask(connection, COUNT % "a")[0][0])
        seen.append(ask(connection, "select @@autocommit")[0][0])
        return seen

    assert await using(env, work, autocommit=False) == [0, 2, 3, 1]


async def test_a_read_only_transaction_goes_to_a_replica_that_holds_the_token(env: Environment) -> None:
    arrived: list[str] = []
    for member in env.fleet.endpoints.values():
        member.capacity.draw_work_us = noting(member.capacity.draw_work_us, arrived, member.name)  # type: ignore

    def work(connection: Any) -> Any:
        ask(connection, INSERT % ("ro", "one"))
        arrived.clear()
        seen = []
        for _ in range(8):
            ask(connection, "start transaction read only")
            seen.append(ask(connection, SELECT % "ro"))
            assert code_of(connection, INSERT % ("ro", "no")) == 1792
            seen.append(ask(connection, SELECT % "ro"))
            connection.commit()
        return seen

    assert await using(env, work) == [(("one",),)] * 16
    assert set(arrived) - {env.primary.name}, "some went to replicas"


def noting(draw: Callable[[int], int], arrived: list[str], name: str) -> Callable[[int], int]:
    def drawn(mean: int) -> int:
        arrived.append(name)
        return draw(mean)

    return drawn


async def test_what_a_session_has_set_goes_with_it_and_with_nobody_else(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        other = pymysql.connect(
            host="127.0.0.1", port=port(env), user="ada", password="love lace", autocommit=True
        )
        seen: list[Any] = []
        ask(connection, "set @a = 5, sql_mode = 'ANSI_QUOTES'")
        ask(other, "set time_zone = '+01:00'")
        for _ in range(5):
            seen.append(ask(connection, "select @a, @@sql_mode, @@time_zone")[0])
            seen.append(ask(other, "select @a, @@sql_mode, @@time_zone")[0])
        ask(connection, "set @a = null, sql_mode = default")
        seen.append(ask(connection, "select @a, @@sql_mode, @@time_zone")[0])
        seen.append(code_of(connection, "set sql_mode = 'NONSENSE'"))
        seen.append(ask(connection, "select @@sql_mode")[0][0] == seen[-2][1])
        other.close()
        return seen

    normal = "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES"
    mine, theirs = (5, "ANSI_QUOTES", "SYSTEM"), (None, normal, "+01:00")
    assert await using(env, work) == [*[mine, theirs] * 5, (None, normal, "SYSTEM"), 1231, True]
    assert links(env).statements_replayed


async def test_last_insert_ids_are_a_session_s_own_wherever_it_runs(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        other = pymysql.connect(
            host="127.0.0.1", port=port(env), user="ada", password="love lace", autocommit=True
        )
        seen: list[Any] = []
        for n in range(4):
            ask(connection, INSERT % ("i", f"mine{n}"))
            ask(other, INSERT % ("i", f"other{n}"))
            mine = ask(connection, "select last_insert_id()")[0][0]
            (row,) = ask(connection, "select id from runs where runner = 'i' and number = last_insert_id()")
            seen.append((row[0], ask(connection, "select last_insert_id() + 0")[0][0] == mine))
        connection.begin()
        ask(connection, "select 1")
        seen.append(ask(connection, "select last_insert_id() + 0")[0][0] == mine)
        ask(connection, INSERT % ("i", "last"))
        seen.append(ask(connection, "select last_insert_id() + 0")[0][0] > mine)
        connection.commit()
        seen.append(code_of(connection, "select row_count()"))
        other.close()
        return seen

    assert await using(env, work) == [*[(f"mine{n}", True) for n in range(4)], True, True, 1235]


async def test_a_text_that_was_prepared_under_another_sql_mode_is_not_run(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        cursor = connection.cursor(prepared=True)
        cursor.execute("select id from runs where runner = ?", ("nobody",))
        cursor.fetchall()
        other = connection.cursor()
        other.execute("set sql_mode = 'ANSI_QUOTES'")
        codes = []
        try:
            cursor.execute("select id from runs where runner = ?", ("nobody",))
        except mysql.connector.Error as error:
            codes.append(error.errno)
        other.execute("set sql_mode = default")
        cursor.execute("select id from runs where runner = ?", ("nobody",))
        return [*codes, cursor.fetchall()]

    with trio.fail_after(60):
        assert await trio.to_thread.run_sync(connector, env, work) == [1615, []]


async def test_what_is_set_in_a_transaction_outlives_its_rollback(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        connection.begin()
        ask(connection, INSERT % ("sv", "gone"))
        ask(connection, "set @a = 7, sql_mode = 'ANSI_QUOTES'")
        seen = [ask(connection, "select @a, @@sql_mode")[0]]
        connection.rollback()
        seen.append(ask(connection, "select @a, @@sql_mode")[0])
        seen.append(ask(connection, COUNT % "sv")[0][0])
        return seen

    assert await using(env, work) == [(7, "ANSI_QUOTES"), (7, "ANSI_QUOTES"), 0]
    # And nobody else has it.
    assert (await using(env, lambda c: ask(c, "select @a")))[0][0] is None


async def test_a_replay_that_is_broken_off_leaves_no_connection_behind(env: Environment) -> None:
    """Danger: a connection of which nobody knows how far it is would be lent to somebody else."""
    found = links(env)
    exchange = BackendConnection.exchange
    stuck = trio.Event()

    async def hangs(self: BackendConnection, steps: Any, *rest: Any, **more: Any) -> Any:
        if steps[0].text.startswith(b"set "):
            stuck.set()
            with trio.CancelScope() as scope:
                try:
                    await trio.sleep_forever()
                finally:
                    assert scope is not None
                    self.close()
        return await exchange(self, steps, *rest, **more)

    def leave() -> None:
        connection: Any = pymysql.connect(
            host="127.0.0.1", port=port(env), user="ada", password="love lace", autocommit=True
        )
        connection._execute_command(3, "set @a = 1")
        trio.from_thread.run(stuck.wait)
        connection._force_close()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(BackendConnection, "exchange", hangs)
        await trio.to_thread.run_sync(leave)
        await until(lambda: not any(p.leased or p.waiting for p in found.pools().values()))
    assert (await using(env, lambda c: ask(c, "select @a")))[0][0] is None


async def test_few_connections_serve_many_sessions_and_refuse_none_that_can_wait(env: Environment) -> None:
    for pool in links(env).pools().values():
        pool.config = replace(pool.config, max_connections=2)
        limiter = pool._open_limiter
        limiter._max_connections = 2
        limiter._current_limit = 2

    def work(connection: Any) -> int:
        for n in range(5):
            ask(connection, f"set @n = {n}")
            connection.begin()
            ask(connection, INSERT % ("few", "x"))
            assert ask(connection, "select @n") == ((n,),)
            connection.commit()
        return 5

    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(using, env, work)
    assert (await using(env, lambda c: ask(c, COUNT % "few")))[0][0] == 60
    assert all(m.mysql.connections <= 3 for m in env.fleet.endpoints.values()), "two, and one for reports"
    assert not any(p.leased or p.waiting for p in links(env).pools().values())


async def test_statements_at_fault_leave_the_transaction_open(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        connection.begin()
        codes = [code_of(connection, "select * from nowhere")]
        ask(connection, INSERT % ("f", "one"))
        codes.append(code_of(connection, "insert into runs (number, runner, id) values (1, 'f', 'x')"))
        codes.append(code_of(connection, "rollback to savepoint none"))
        connection.commit()
        return [*codes, ask(connection, SELECT % "f")]

    assert await using(env, work) == [1146, 1062, 1305, (("one",),)]


# What ends one in between.


async def test_a_member_that_dies_undoes_the_transaction_and_says_so(
    env: Environment, nursery: trio.Nursery
) -> None:
    told: list[Any] = []
    going, gone = trio.Event(), trio.Event()

    def work(connection: Any) -> None:
        connection.begin()
        ask(connection, INSERT % ("x", "one"))
        trio.from_thread.run_sync(going.set)
        trio.from_thread.run(gone.wait)
        told.append(code_of(connection, INSERT % ("x", "two")))
        told.append(code_of(connection, "select 1"))

    async with trio.open_nursery() as inner:
        inner.start_soon(using, env, work)
        await going.wait()
        env.primary.kill()
        await until(
            lambda: not links(env).open_transactions() or any(h._backend.close_reason for h in held(env))
        )
        gone.set()
    assert told == [1213, 0]
    await until(lambda: not links(env).open_transactions())


def held(env: Environment) -> list[Any]:
    return list(links(env).open_transactions())


async def test_a_commit_that_breaks_off_is_told_as_unknown_and_not_sent_again(env: Environment) -> None:
    def work(connection: Any) -> list[int]:
        connection.begin()
        ask(connection, INSERT % ("c", "one") + " /* rid c1 */")
        trio.from_thread.run_sync(setattr, env.primary.faults, "broken_connections", 1.0)
        code = code_of(connection, "commit")
        trio.from_thread.run_sync(setattr, env.primary.faults, "broken_connections", 0.0)
        return [code, code_of(connection, "select 1")]

    assert await using(env, work) == [1105, 0]
    assert len(env.commits("c1")) <= 1


async def test_a_write_whose_member_dies_before_its_ok_is_unknown_and_not_sent_again(
    env: Environment,
) -> None:
    def work(connection: Any) -> int:
        trio.from_thread.run_sync(setattr, env.primary.faults, "broken_connections", 1.0)
        code = code_of(connection, INSERT % ("w", "one") + " /* rid w1 */")
        trio.from_thread.run_sync(setattr, env.primary.faults, "broken_connections", 0.0)
        return code

    assert await using(env, work) == 1105
    assert len(env.commits("w1")) == 1


async def test_a_transaction_that_takes_too_long_is_undone(env: Environment) -> None:
    """Half of the drain's grace of two seconds."""
    gone = trio.Event()

    async def wait() -> None:
        await until(lambda: not links(env).open_transactions())
        gone.set()

    def work(connection: Any) -> list[Any]:
        connection.begin()
        ask(connection, INSERT % ("l", "one"))
        trio.from_thread.run(wait)
        codes = [code_of(connection, INSERT % ("l", "two"))]
        connection.commit()
        return [*codes, ask(connection, COUNT % "l")[0][0]]

    assert await using(env, work) == [1213, 0]


async def test_a_member_that_leaves_takes_its_transactions_with_it(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        connection.begin()
        ask(connection, INSERT % ("r", "one"))
        trio.from_thread.run_sync(links(env).remove, env.primary.name)
        return [code_of(connection, INSERT % ("r", "two")), code_of(connection, "rollback")]

    assert await using(env, work) == [1213, 0]


async def test_a_client_that_leaves_undoes_its_transaction(env: Environment) -> None:
    def leave() -> None:
        connection: Any = pymysql.connect(host="127.0.0.1", port=port(env), user="ada", password="love lace")
        connection.begin()
        ask(connection, INSERT % ("v", "one"))
        connection._sock.close()

    await trio.to_thread.run_sync(leave)
    await until(lambda: not links(env).open_transactions())
    assert (await using(env, lambda c: ask(c, COUNT % "v")))[0][0] == 0
    await until(lambda: not env.primary.write_lock.locked())


async def test_a_deadlock_or_lock_wait_is_told_as_the_member_told_it(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        other = pymysql.connect(
            host="127.0.0.1", port=port(env), user="ada", password="love lace", autocommit=True
        )
        connection.begin()
        ask(connection, "select * from runs for update")
        code = code_of(other, INSERT % ("k", "other"))
        other.close()
        return [code, ask(connection, COUNT % "k")[0][0]]

    code, count = await using(env, work)
    assert (code, count) == (1205, 0)


async def test_a_promotion_between_two_statements_ends_what_was_begun_before(env: Environment) -> None:
    old = env.primary

    async def promote() -> None:
        await env.fleet.groups[0].elect(avoid=old)

    def work(connection: Any) -> list[Any]:
        connection.begin()
        ask(connection, INSERT % ("p", "one"))
        trio.from_thread.run(promote)
        codes = [code_of(connection, "commit")]
        while True:
            code = code_of(connection, INSERT % ("p", "two"))
            if not code:
                break
            codes.append(code)
        return [codes, ask(connection, SELECT % "p")]

    codes, seen = await using(env, work)
    assert codes[0] in (1105, 1213) and set(codes[1:]) <= {1205}
    assert seen == (("two",),), "nothing of the old primary's transaction is there"


async def test_a_stop_lets_transactions_finish(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        connection.begin()
        ask(connection, INSERT % ("s", "one") + " /* rid s1 */")
        trio.from_thread.run_sync(env.edge.stop)
        ask(connection, INSERT % ("s", "two"))
        connection.commit()
        try:
            return [code_of(connection, "select 1")]
        except Exception as error:
            return [error]

    (last,) = await using(env, work)
    assert last in (1053, 2006, 2013) or isinstance(last, Exception)
    with trio.fail_after(20):
        await env.edge.ended.wait()
    assert len(env.commits("s1")) == 1


async def test_a_stop_waits_until_an_answer_has_left(
    env: Environment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client reads slowly: the command has ended, and its answer is not yet out."""
    flush = Connection._flush
    answering = trio.Event()
    stopped = trio.Event()
    frontend = env.edge.mysql
    assert frontend is not None

    async def slow_flush(connection: Connection) -> None:
        if frontend._commands_started == 2:
            answering.set()
            await stopped.wait()
            await trio.sleep(5 * DRAIN_POLL_S)
        await flush(connection)

    monkeypatch.setattr(Connection, "_flush", slow_flush)

    async def stop() -> None:
        await answering.wait()
        env.edge.stop()
        stopped.set()

    def work(connection: Any) -> Any:
        frontend._commands_started = 0  # without those of the login
        ask(connection, "select 1")
        connection._execute_command(COM_QUERY, "select 2")
        trio.from_thread.run(stop)
        connection._read_query_result()
        return connection._result.rows

    assert await using(env, work) == ((2,),)


async def test_a_stop_answers_a_command_that_nobody_has_read_yet(env: Environment) -> None:
    """It was written to an open connection: an end without a word would leave its effect unknown."""
    frontend = env.edge.mysql
    assert frontend is not None

    def send_and_stop(connection: Any) -> bool:
        connection._execute_command(COM_QUERY, "select 2")
        env.edge.stop()
        return any(waiting.blocks_drain for waiting in frontend._connections)

    def work(connection: Any) -> tuple[bool, int]:
        ask(connection, "select 1")
        is_waited_for = trio.from_thread.run_sync(send_and_stop, connection)
        try:
            connection._read_query_result()
        except pymysql.err.MySQLError as error:
            return is_waited_for, error.args[0]
        return is_waited_for, 0

    assert await using(env, work) == (True, STOPPING)


async def test_a_stop_answers_a_command_that_comes_while_the_other_protocol_ends(
    env: Environment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing was in flight on the MySQL side at the stop; its answer leaves when all else has ended."""
    flush = Connection._flush
    drain_server = env.edge.server.drain
    drain_driver = env.edge.driver.drain
    command_came = trio.Event()
    all_else_ended = trio.Event()
    frontend = env.edge.mysql
    assert frontend is not None

    async def slow_flush(connection: Connection) -> None:
        if frontend.draining:
            command_came.set()
            await all_else_ended.wait()
            await trio.sleep(5 * DRAIN_POLL_S)
        await flush(connection)

    async def slow_server_drain() -> None:
        await drain_server()
        await command_came.wait()

    async def noted_driver_drain() -> None:
        await drain_driver()
        all_else_ended.set()

    monkeypatch.setattr(Connection, "_flush", slow_flush)
    monkeypatch.setattr(env.edge.server, "drain", slow_server_drain)
    monkeypatch.setattr(env.edge.driver, "drain", noted_driver_drain)

    async def stop() -> None:
        env.edge.stop()
        while not frontend.draining:
            await trio.sleep(0)
        await trio.sleep(2 * DRAIN_POLL_S)  # its drain has looked, and found nothing

    def work(connection: Any) -> int:
        ask(connection, "select 1")
        trio.from_thread.run(stop)
        return code_of(connection, "select 2")

    assert await using(env, work) == STOPPING


# Long results, and clients that do not read them.


async def test_a_long_result_arrives_whole(env: Environment) -> None:
    count = 200_000

    def work(connection: Any) -> int:
        cursor = connection.cursor(pymysql.cursors.SSCursor)
        cursor.execute(MANY % count)
        total = sum(row[0] for row in cursor)
        cursor.close()
        assert ask(connection, "select 1") == ((1,),)
        return int(total)

    assert await using(env, work) == count * (count + 1) // 2


async def test_who_never_reads_holds_a_bounded_part_of_a_long_result(env: Environment) -> None:
    def leave() -> None:
        connection: Any = pymysql.connect(
            host="127.0.0.1", port=port(env), user="ada", password="love lace", autocommit=True
        )
        cursor = connection.cursor(pymysql.cursors.SSCursor)
        cursor.execute(WIDE % 50_000)
        for _ in range(3):
            cursor.fetchone()
        trio.from_thread.run(full)
        connection._sock.close()

    async def full() -> None:
        await until(lambda: any(b._buffered_row_bytes > 100_000 for b in lent(env)))
        assert all(b._buffered_row_bytes < 1 << 20 for b in lent(env))

    await trio.to_thread.run_sync(leave)
    await until(lambda: not lent(env))


def lent(env: Environment) -> list[Any]:
    return [b for p in links(env).pools().values() for b in p._leased]


async def test_a_result_that_breaks_off_is_told_so(env: Environment) -> None:
    def work(connection: Any) -> int:
        cursor = connection.cursor(pymysql.cursors.SSCursor)
        cursor.execute(WIDE % 50_000)
        cursor.fetchone()
        trio.from_thread.run_sync(kill_all)
        try:
            while cursor.fetchone():
                pass
        except pymysql.err.MySQLError as error:
            return int(error.args[0])
        return 0

    def kill_all() -> None:
        for member in env.fleet.endpoints.values():
            member.kill()

    assert await using(env, work) == 1105


async def test_a_statement_that_nobody_waits_for_is_killed_at_its_member(env: Environment) -> None:
    async def alone() -> None:
        with trio.move_on_after(0.2):
            await env.read("r", cls="own")

    async with trio.open_nursery() as several:
        for _ in range(40):
            several.start_soon(env.read, "r")  # so that idle connections are there
    for name in env.fleet.endpoints:
        await links(env).check_health(name)  # so that KILL's connection is there, older than the statement
    for member in env.fleet.endpoints.values():
        member.settings = replace(member.settings, read_us=60_000_000)
    await alone()
    await until(lambda: links(env).statements_killed == 1)
    await until(lambda: not any(m.capacity.in_flight for m in env.fleet.endpoints.values()))


# What the other front may not do on connections that are shared.


@pytest.mark.parametrize(
    ("cls", "text"),
    [
        ("own", "update runs set id = 'x'"),
        ("own", "select * from runs for update"),
        ("write", "begin"),
        ("write", "set autocommit = 0"),
        ("write", "lock tables runs write"),
        ("write", "insert into runs (runner, id) values ('a', last_insert_id())"),
        ("once", "insert into runs (runner, id) values (@a, 'x')"),
    ],
)
async def test_what_a_grpc_client_may_not_do_on_a_shared_connection(
    env: Environment, cls: str, text: str
) -> None:
    ask_for = env.message(cls, "r", "x")
    ask_for.statement = text.encode()
    del ask_for.parameters[:]
    with pytest.raises(RpcError) as refused:
        await env.send(ask_for)
    assert refused.value.code is Code.INVALID_ARGUMENT
    assert await env.read("r")
