"""Transactions through the edge to endpoints that speak MySQL, and every event that can end them early."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import mysql.connector
import pymysql
import pytest
import trio
from pymysql.constants.COMMAND import COM_QUERY

from juniperreel.frontends.mysql.connection import Connection
from juniperreel.frontends.mysql.errors import TRANSACTION_ROLLED_BACK
from juniperreel.frontends.mysql.frontend import DRAIN_POLL_S
from juniperreel.mysql.constants import ServerStatus
from juniperreel.mysql.replies import Err
from juniperreel.pool.connection import BackendConnection
from juniperreel.pool.result import Result, Statement
from juniperreel.proxy.attempts import EndpointReport
from juniperreel.proxy.mysql_endpoints import MysqlEndpoints
from juniperreel.rpc.channel import CallInterruptedError
from juniperreel.rpc.status import Code, RpcError
from tests.e2e.environment import Environment, rows
from tests.e2e.test_mysql import INSERT, SELECT, execute, mysql_port, run_connector, run_pymysql

COUNT_QUERY = "select count(*) from runs where runner = '%s'"
IN_TRANSACTION = int(ServerStatus.IN_TRANSACTION)
SERVER_SHUTDOWN = 1053  # MySQL's error code ER_SERVER_SHUTDOWN
NUMBERS_QUERY = (
    "with recursive n (i) as (select 1 union all select i + 1 from n where i < %d) select i from n"
)

# Wide rows fill socket buffers quickly.
WIDE_ROWS_QUERY = NUMBERS_QUERY.replace("select i from", f"select i, '{'x' * 1000}' from")


@pytest.fixture
async def env(nursery: trio.Nursery, tmp_path: Path) -> Environment:
    started: Environment = await nursery.start(Environment(tmp_path, "mysql-members 1").run)
    return started


def mysql_endpoints(env: Environment) -> MysqlEndpoints:
    endpoints = env.edge.driver.endpoints
    assert isinstance(endpoints, MysqlEndpoints)
    return endpoints


async def wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(20):
        while not condition():
            await trio.sleep(0.01)


def error_code(connection: Any, text: str) -> int:
    """Execute a statement and return its error code, or 0."""
    return error_of(connection, text)[0]


def error_of(connection: Any, text: str) -> tuple[int, str]:
    """Execute a statement and return its error code and message, or 0 and nothing."""
    try:
        execute(connection, text)
    except pymysql.err.MySQLError as error:
        return int(error.args[0]), str(error.args[1])
    return 0, ""


# Transactions and sessions without faults.


async def test_both_front_ends_reach_endpoints_that_speak_mysql(env: Environment) -> None:
    wrote = await env.write("g", rid="one")
    assert wrote.member == env.primary.name and wrote.role == 1

    def work(connection: Any) -> Any:
        token = env.keyring.encode_text(env.keyring.decode(wrote.causal_token))
        execute(connection, f"set @@juniperreel_token = '{token}'")
        results = [execute(connection, SELECT % "g")]
        execute(connection, INSERT % ("g", "two"))
        results.append(execute(connection, SELECT % "g"))
        return results, execute(connection, "select @@juniperreel_token")[0][0]

    results, token = await run_pymysql(env, work)
    assert results == [(("one",),), (("one",), ("two",))]
    assert rows(await env.read("g", env.keyring.encode(env.keyring.decode_text(token)))) == ["one", "two"]
    members = {(await env.read("g", cls="board")).member for _ in range(30)}
    assert len(members - {env.primary.name}) == 2, "both replicas must serve reads"


async def test_own_writes_are_seen_while_replicas_lag(env: Environment) -> None:
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5

    def work(connection: Any) -> list[int]:
        results = []
        for n in range(3):
            execute(connection, INSERT % ("lag", f"w{n}"))
            results.append(len(execute(connection, SELECT % "lag")))
            connection.begin()
            execute(connection, INSERT % ("lag", f"t{n}"))
            connection.commit()
            results.append(len(execute(connection, SELECT % "lag")))
        return results

    assert await run_pymysql(env, work) == [1, 2, 3, 4, 5, 6]


async def test_values_of_all_kinds_and_prepared_statements(env: Environment) -> None:
    text = "select 5, 0.25, 'née', null, x'00ff', -9223372036854775808"
    (row,) = await run_pymysql(env, lambda c: execute(c, text))
    assert row[:5] == (5, 0.25, "née", None, b"\x00\xff") and int(row[5]) == -(1 << 63)

    def work(connection: Any) -> list[Any]:
        results = []
        insert, select = connection.cursor(prepared=True), connection.cursor(prepared=True)
        for n in range(20):
            insert.execute("insert into runs (runner, id) values (?, ?)", ("née ✓", f"w{n}"))
            select.execute("select id, number from runs where runner = ? order by number", ("née ✓",))
            results.append(len(select.fetchall()))
        insert.execute("insert into runs (runner, id) values (?, ?)", ("long", "x" * 100_000))
        select.execute("select length(id), 0.5, null, x'00' from runs where runner = ?", ("long",))
        return [results, select.fetchall()]

    with trio.fail_after(60):
        results, last = await trio.to_thread.run_sync(run_connector, env, work)
    assert results == list(range(1, 21))
    assert last == [(100_000, 0.5, None, b"\x00")]
    primary = env.primary.mysql
    # There are three texts: the primary also serves reads while no replica is known to have the write.
    assert primary.prepared <= 3 * primary.opened, (
        "a connection must prepare each text once, not for each use"
    )


async def test_transaction_is_atomic(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        results = []
        other = pymysql.connect(
            host="127.0.0.1", port=mysql_port(env), user="ada", password="love lace", autocommit=True
        )
        connection.begin()
        execute(connection, INSERT % ("t", "one"))
        execute(connection, "savepoint a")
        execute(connection, INSERT % ("t", "two"))
        results.append(execute(connection, SELECT % "t"))
        execute(connection, "rollback to savepoint a")
        results.append(execute(other, COUNT_QUERY % "t")[0][0])
        connection.commit()
        token = execute(connection, "select @@juniperreel_token")[0][0]
        execute(other, f"set @@juniperreel_token = '{token}'")
        results.append(execute(other, SELECT % "t"))
        connection.begin()
        execute(connection, INSERT % ("t", "three"))
        connection.rollback()
        results.append(execute(connection, SELECT % "t"))
        other.close()
        return results

    assert await run_pymysql(env, work) == [(("one",), ("two",)), 0, (("one",),), (("one",),)]
    assert not mysql_endpoints(env).open_transactions()


async def test_autocommit_off_begins_with_each_statement_and_implicit_commits_count(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        results = []
        execute(connection, INSERT % ("a", "one"))
        connection.rollback()
        results.append(execute(connection, COUNT_QUERY % "a")[0][0])
        execute(connection, INSERT % ("a", "two"))
        execute(connection, "begin")  # commits the open transaction
        execute(connection, INSERT % ("a", "three"))
        execute(connection, "create table more (a integer)")  # commits implicitly, too
        connection.rollback()
        results.append(execute(connection, COUNT_QUERY % "a")[0][0])
        execute(connection, INSERT % ("a", "four"))
        execute(connection, "set autocommit = 1")
        results.append(execute(connection, COUNT_QUERY % "a")[0][0])
        results.append(execute(connection, "select @@autocommit")[0][0])
        return results

    assert await run_pymysql(env, work, autocommit=False) == [0, 2, 3, 1]


async def test_read_only_transaction_runs_on_a_replica_that_satisfies_the_token(env: Environment) -> None:
    arrived: list[str] = []
    for member in env.fleet.endpoints.values():
        member.capacity.draw_work_us = record_arrivals(member.capacity.draw_work_us, arrived, member.name)  # type: ignore

    def work(connection: Any) -> Any:
        execute(connection, INSERT % ("ro", "one"))
        arrived.clear()
        results = []
        for _ in range(8):
            execute(connection, "start transaction read only")
            results.append(execute(connection, SELECT % "ro"))
            assert error_code(connection, INSERT % ("ro", "no")) == 1792
            results.append(execute(connection, SELECT % "ro"))
            connection.commit()
        return results

    assert await run_pymysql(env, work) == [(("one",),)] * 16
    assert set(arrived) - {env.primary.name}, "no replica served a read-only transaction"


def record_arrivals(
    draw_work_us: Callable[[int], int], arrived: list[str], name: str
) -> Callable[[int], int]:
    def draw_and_record(mean: int) -> int:
        arrived.append(name)
        return draw_work_us(mean)

    return draw_and_record


async def test_session_variables_are_replayed_for_their_session_only(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        other = pymysql.connect(
            host="127.0.0.1", port=mysql_port(env), user="ada", password="love lace", autocommit=True
        )
        results: list[Any] = []
        execute(connection, "set @a = 5, sql_mode = 'ANSI_QUOTES'")
        execute(other, "set time_zone = '+01:00'")
        for _ in range(5):
            results.append(execute(connection, "select @a, @@sql_mode, @@time_zone")[0])
            results.append(execute(other, "select @a, @@sql_mode, @@time_zone")[0])
        execute(connection, "set @a = null, sql_mode = default")
        results.append(execute(connection, "select @a, @@sql_mode, @@time_zone")[0])
        results.append(error_code(connection, "set sql_mode = 'NONSENSE'"))
        results.append(execute(connection, "select @@sql_mode")[0][0] == results[-2][1])
        other.close()
        return results

    normal = "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES"
    mine, theirs = (5, "ANSI_QUOTES", "SYSTEM"), (None, normal, "+01:00")
    assert await run_pymysql(env, work) == [*[mine, theirs] * 5, (None, normal, "SYSTEM"), 1231, True]
    assert mysql_endpoints(env).statements_replayed


async def test_last_insert_ids_belong_to_their_session_on_any_connection(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        other = pymysql.connect(
            host="127.0.0.1", port=mysql_port(env), user="ada", password="love lace", autocommit=True
        )
        results: list[Any] = []
        for n in range(4):
            execute(connection, INSERT % ("i", f"mine{n}"))
            execute(other, INSERT % ("i", f"other{n}"))
            mine = execute(connection, "select last_insert_id()")[0][0]
            (row,) = execute(
                connection, "select id from runs where runner = 'i' and number = last_insert_id()"
            )
            results.append((row[0], execute(connection, "select last_insert_id() + 0")[0][0] == mine))
        connection.begin()
        execute(connection, "select 1")
        results.append(execute(connection, "select last_insert_id() + 0")[0][0] == mine)
        execute(connection, INSERT % ("i", "last"))
        results.append(execute(connection, "select last_insert_id() + 0")[0][0] > mine)
        connection.commit()
        results.append(error_code(connection, "select row_count()"))
        other.close()
        return results

    assert await run_pymysql(env, work) == [*[(f"mine{n}", True) for n in range(4)], True, True, 1235]


async def test_text_prepared_under_another_sql_mode_is_not_executed(env: Environment) -> None:
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
        assert await trio.to_thread.run_sync(run_connector, env, work) == [1615, []]


async def test_variables_set_in_a_transaction_survive_its_rollback(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        connection.begin()
        execute(connection, INSERT % ("sv", "gone"))
        execute(connection, "set @a = 7, sql_mode = 'ANSI_QUOTES'")
        results = [execute(connection, "select @a, @@sql_mode")[0]]
        connection.rollback()
        results.append(execute(connection, "select @a, @@sql_mode")[0])
        results.append(execute(connection, COUNT_QUERY % "sv")[0][0])
        return results

    assert await run_pymysql(env, work) == [(7, "ANSI_QUOTES"), (7, "ANSI_QUOTES"), 0]
    # Another session must not see the variables.
    assert (await run_pymysql(env, lambda c: execute(c, "select @a")))[0][0] is None


async def test_interrupted_replay_discards_its_connection(env: Environment) -> None:
    """Guards against reusing a connection whose replay of session state was interrupted."""
    endpoints = mysql_endpoints(env)
    exchange = BackendConnection.exchange
    replay_started = trio.Event()

    async def hang_during_replay(self: BackendConnection, steps: Any, *args: Any, **kwargs: Any) -> Any:
        if steps[0].text.startswith(b"set "):
            replay_started.set()
            with trio.CancelScope() as scope:
                try:
                    await trio.sleep_forever()
                finally:
                    assert scope is not None
                    self.close()
        return await exchange(self, steps, *args, **kwargs)

    def disconnect() -> None:
        connection: Any = pymysql.connect(
            host="127.0.0.1", port=mysql_port(env), user="ada", password="love lace", autocommit=True
        )
        connection._execute_command(3, "set @a = 1")
        trio.from_thread.run(replay_started.wait)
        connection._force_close()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(BackendConnection, "exchange", hang_during_replay)
        await trio.to_thread.run_sync(disconnect)
        await wait_until(lambda: not any(p.leased or p.waiting for p in endpoints.pools().values()))
    assert (await run_pymysql(env, lambda c: execute(c, "select @a")))[0][0] is None


async def test_few_connections_serve_many_sessions_without_rejections(env: Environment) -> None:
    for pool in mysql_endpoints(env).pools().values():
        pool.config = replace(pool.config, max_connections=2)
        limiter = pool._open_limiter
        limiter._max_connections = 2
        limiter._current_limit = 2

    def work(connection: Any) -> int:
        for n in range(5):
            execute(connection, f"set @n = {n}")
            connection.begin()
            execute(connection, INSERT % ("few", "x"))
            assert execute(connection, "select @n") == ((n,),)
            connection.commit()
        return 5

    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(run_pymysql, env, work)
    assert (await run_pymysql(env, lambda c: execute(c, COUNT_QUERY % "few")))[0][0] == 60
    # Two connections of the pool, and one for load reports.
    assert all(m.mysql.connections <= 3 for m in env.fleet.endpoints.values()), "too many connections"
    assert not any(p.leased or p.waiting for p in mysql_endpoints(env).pools().values())


async def test_statement_errors_leave_the_transaction_open(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        connection.begin()
        codes = [error_code(connection, "select * from nowhere")]
        execute(connection, INSERT % ("f", "one"))
        codes.append(error_code(connection, "insert into runs (number, runner, id) values (1, 'f', 'x')"))
        codes.append(error_code(connection, "rollback to savepoint none"))
        connection.commit()
        return [*codes, execute(connection, SELECT % "f")]

    assert await run_pymysql(env, work) == [1146, 1062, 1305, (("one",),)]


async def test_health_check_of_an_endpoint_that_shuts_down_counts_as_interrupted(env: Environment) -> None:
    """Guards against an error of the server that is logged as a failure of the edge."""
    shutting_down = Err(1053, "08S01", "Server shutdown in progress")

    async def exchange(steps: Sequence[Statement]) -> list[Result | Err]:
        return [shutting_down for _ in steps]

    endpoints = mysql_endpoints(env)
    endpoints._endpoints[env.primary.name].monitor.exchange = exchange  # type: ignore[method-assign]
    with pytest.raises(CallInterruptedError, match="1053"):
        await endpoints.check_health(env.primary.name)


# Events that end a transaction early.


async def test_endpoint_failure_rolls_back_the_transaction_with_an_error(
    env: Environment, nursery: trio.Nursery
) -> None:
    codes: list[Any] = []
    transaction_begun, transaction_ended = trio.Event(), trio.Event()

    def work(connection: Any) -> None:
        connection.begin()
        execute(connection, INSERT % ("x", "one"))
        trio.from_thread.run_sync(transaction_begun.set)
        trio.from_thread.run(transaction_ended.wait)
        codes.append(error_code(connection, INSERT % ("x", "two")))
        codes.append(error_code(connection, "select 1"))

    async with trio.open_nursery() as inner:
        inner.start_soon(run_pymysql, env, work)
        await transaction_begun.wait()
        env.primary.kill()
        await wait_until(
            lambda: (
                not mysql_endpoints(env).open_transactions()
                or any(h._backend.close_reason for h in transactions_of(env))
            )
        )
        transaction_ended.set()
    assert codes == [1213, 0]
    await wait_until(lambda: not mysql_endpoints(env).open_transactions())


def transactions_of(env: Environment) -> list[Any]:
    return list(mysql_endpoints(env).open_transactions())


async def test_interrupted_commit_is_reported_as_unknown_and_not_retried(env: Environment) -> None:
    def work(connection: Any) -> list[int]:
        connection.begin()
        execute(connection, INSERT % ("c", "one") + " /* rid c1 */")
        trio.from_thread.run_sync(setattr, env.primary.faults, "broken_connections", 1.0)
        code = error_code(connection, "commit")
        trio.from_thread.run_sync(setattr, env.primary.faults, "broken_connections", 0.0)
        return [code, error_code(connection, "select 1")]

    assert await run_pymysql(env, work) == [1105, 0]
    assert len(env.commits("c1")) <= 1


async def test_write_without_an_answer_is_reported_as_unknown_and_not_retried(
    env: Environment,
) -> None:
    def work(connection: Any) -> int:
        trio.from_thread.run_sync(setattr, env.primary.faults, "broken_connections", 1.0)
        code = error_code(connection, INSERT % ("w", "one") + " /* rid w1 */")
        trio.from_thread.run_sync(setattr, env.primary.faults, "broken_connections", 0.0)
        return code

    assert await run_pymysql(env, work) == 1105
    assert len(env.commits("w1")) == 1


async def test_transaction_that_exceeds_its_time_limit_is_rolled_back(env: Environment) -> None:
    """The time limit of a transaction is half of the drain grace, which is two seconds here."""
    transaction_ended = trio.Event()

    async def wait() -> None:
        await wait_until(lambda: not mysql_endpoints(env).open_transactions())
        transaction_ended.set()

    def work(connection: Any) -> list[Any]:
        connection.begin()
        execute(connection, INSERT % ("l", "one"))
        trio.from_thread.run(wait)
        error = error_of(connection, INSERT % ("l", "two"))
        connection.commit()
        return [*error, execute(connection, COUNT_QUERY % "l")[0][0]]

    text = "the transaction was rolled back: it took longer than a transaction may"
    assert await run_pymysql(env, work) == [1213, text, 0]


async def test_removed_endpoint_ends_its_transactions(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        connection.begin()
        execute(connection, INSERT % ("r", "one"))
        trio.from_thread.run_sync(mysql_endpoints(env).remove, env.primary.name)
        return [*error_of(connection, INSERT % ("r", "two")), error_code(connection, "rollback")]

    text = "the transaction was rolled back: its member has left"
    assert await run_pymysql(env, work) == [1213, text, 0]


async def test_client_disconnect_rolls_back_its_transaction(env: Environment) -> None:
    def disconnect() -> None:
        connection: Any = pymysql.connect(
            host="127.0.0.1", port=mysql_port(env), user="ada", password="love lace"
        )
        connection.begin()
        execute(connection, INSERT % ("v", "one"))
        connection._sock.close()

    await trio.to_thread.run_sync(disconnect)
    await wait_until(lambda: not mysql_endpoints(env).open_transactions())
    assert (await run_pymysql(env, lambda c: execute(c, COUNT_QUERY % "v")))[0][0] == 0
    await wait_until(lambda: not env.primary.write_lock.locked())


async def test_lock_wait_timeout_is_reported_with_the_endpoint_s_error(
    nursery: trio.Nursery, tmp_path: Path
) -> None:
    """The lock is held for longer than the endpoint's time-out, and for less than a transaction may take."""
    env = Environment(tmp_path, "mysql-members 1", drain_grace="60s")
    await nursery.start(env.run)

    def work(connection: Any) -> list[Any]:
        other = pymysql.connect(
            host="127.0.0.1", port=mysql_port(env), user="ada", password="love lace", autocommit=True
        )
        connection.begin()
        execute(connection, "select * from runs for update")
        code = error_code(other, INSERT % ("k", "other"))
        other.close()
        return [code, execute(connection, COUNT_QUERY % "k")[0][0]]

    code, count = await run_pymysql(env, work)
    assert (code, count) == (1205, 0)


async def test_promotion_between_two_statements_ends_the_transaction(env: Environment) -> None:
    old = env.primary

    async def promote() -> None:
        await env.fleet.groups[0].elect(avoid=old)

    def work(connection: Any) -> list[Any]:
        connection.begin()
        execute(connection, INSERT % ("p", "one"))
        trio.from_thread.run(promote)
        codes = [error_code(connection, "commit")]
        while True:
            code = error_code(connection, INSERT % ("p", "two"))
            if not code:
                break
            codes.append(code)
        return [codes, execute(connection, SELECT % "p")]

    codes, results = await run_pymysql(env, work)
    assert codes[0] in (1105, 1213) and set(codes[1:]) <= {1205}
    assert results == (("two",),), "the old primary's transaction must have no effect"


async def test_shutdown_lets_transactions_finish(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        connection.begin()
        execute(connection, INSERT % ("s", "one") + " /* rid s1 */")
        trio.from_thread.run_sync(env.edge.stop)
        execute(connection, INSERT % ("s", "two"))
        connection.commit()
        try:
            return [error_code(connection, "select 1")]
        except Exception as error:
            return [error]

    (last,) = await run_pymysql(env, work)
    assert last in (1053, 2006, 2013) or isinstance(last, Exception)
    with trio.fail_after(20):
        await env.edge.ended.wait()
    assert len(env.commits("s1")) == 1


async def test_shutdown_waits_until_an_answer_is_sent(
    env: Environment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client reads slowly: the command is finished, but its answer is not sent yet."""
    flush = Connection._flush
    answer_started = trio.Event()
    stopped = trio.Event()
    frontend = env.edge.mysql
    assert frontend is not None

    async def slow_flush(connection: Connection) -> None:
        if frontend._commands_started == 2:
            answer_started.set()
            await stopped.wait()
            await trio.sleep(5 * DRAIN_POLL_S)
        await flush(connection)

    monkeypatch.setattr(Connection, "_flush", slow_flush)

    async def stop() -> None:
        await answer_started.wait()
        env.edge.stop()
        stopped.set()

    def work(connection: Any) -> Any:
        frontend._commands_started = 0  # excludes the commands of the login
        execute(connection, "select 1")
        connection._execute_command(COM_QUERY, "select 2")
        trio.from_thread.run(stop)
        connection._read_query_result()
        return connection._result.rows

    assert await run_pymysql(env, work) == ((2,),)


async def test_shutdown_answers_a_command_that_is_not_read_yet(env: Environment) -> None:
    """Guards against closing a connection with an unread command, which leaves its effect unknown."""
    frontend = env.edge.mysql
    assert frontend is not None

    def send_and_stop(connection: Any) -> bool:
        connection._execute_command(COM_QUERY, "select 2")
        env.edge.stop()
        return any(waiting.blocks_drain for waiting in frontend._connections)

    def work(connection: Any) -> tuple[bool, int]:
        execute(connection, "select 1")
        blocks_drain = trio.from_thread.run_sync(send_and_stop, connection)
        try:
            connection._read_query_result()
        except pymysql.err.MySQLError as error:
            return blocks_drain, error.args[0]
        return blocks_drain, 0

    assert await run_pymysql(env, work) == (True, SERVER_SHUTDOWN)


async def test_shutdown_answers_a_command_that_arrives_while_the_grpc_server_drains(
    env: Environment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The only command arrives during the drain; its answer is sent after all other drains have ended."""
    flush = Connection._flush
    drain_server = env.edge.server.drain
    drain_driver = env.edge.driver.drain
    command_received = trio.Event()
    others_drained = trio.Event()
    frontend = env.edge.mysql
    assert frontend is not None

    async def slow_flush(connection: Connection) -> None:
        if frontend.draining:
            command_received.set()
            await others_drained.wait()
            await trio.sleep(5 * DRAIN_POLL_S)
        await flush(connection)

    async def slow_server_drain() -> None:
        await drain_server()
        await command_received.wait()

    async def observed_driver_drain() -> None:
        await drain_driver()
        others_drained.set()

    monkeypatch.setattr(Connection, "_flush", slow_flush)
    monkeypatch.setattr(env.edge.server, "drain", slow_server_drain)
    monkeypatch.setattr(env.edge.driver, "drain", observed_driver_drain)

    async def stop() -> None:
        env.edge.stop()
        while not frontend.draining:
            await trio.sleep(0)
        await trio.sleep(2 * DRAIN_POLL_S)  # the drain has polled and found nothing in flight

    def work(connection: Any) -> int:
        execute(connection, "select 1")
        trio.from_thread.run(stop)
        return error_code(connection, "select 2")

    assert await run_pymysql(env, work) == SERVER_SHUTDOWN


# Streamed results, and clients that do not read them.


async def test_a_long_result_arrives_whole(env: Environment) -> None:
    count = 200_000

    def work(connection: Any) -> int:
        cursor = connection.cursor(pymysql.cursors.SSCursor)
        cursor.execute(NUMBERS_QUERY % count)
        total = sum(row[0] for row in cursor)
        cursor.close()
        assert execute(connection, "select 1") == ((1,),)
        return int(total)

    assert await run_pymysql(env, work) == count * (count + 1) // 2


async def test_client_that_does_not_read_buffers_a_bounded_part_of_a_result(env: Environment) -> None:
    def disconnect() -> None:
        connection: Any = pymysql.connect(
            host="127.0.0.1", port=mysql_port(env), user="ada", password="love lace", autocommit=True
        )
        cursor = connection.cursor(pymysql.cursors.SSCursor)
        cursor.execute(WIDE_ROWS_QUERY % 50_000)
        for _ in range(3):
            cursor.fetchone()
        trio.from_thread.run(wait_until_buffered)
        connection._sock.close()

    async def wait_until_buffered() -> None:
        await wait_until(lambda: any(b._buffered_row_bytes > 100_000 for b in leased_backends(env)))
        assert all(b._buffered_row_bytes < 1 << 20 for b in leased_backends(env))

    await trio.to_thread.run_sync(disconnect)
    await wait_until(lambda: not leased_backends(env))


def leased_backends(env: Environment) -> list[Any]:
    return [b for p in mysql_endpoints(env).pools().values() for b in p._leased]


async def test_interrupted_result_ends_with_an_error(env: Environment) -> None:
    def work(connection: Any) -> int:
        cursor = connection.cursor(pymysql.cursors.SSCursor)
        cursor.execute(WIDE_ROWS_QUERY % 50_000)
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

    assert await run_pymysql(env, work) == 1105


async def test_abandoned_statement_is_killed_at_its_endpoint(env: Environment) -> None:
    async def send_abandoned_read() -> None:
        with trio.move_on_after(0.2):
            await env.read("r", cls="own")

    async with trio.open_nursery() as warm_up:
        for _ in range(40):
            warm_up.start_soon(env.read, "r")  # opens connections that are idle afterwards
    for name in env.fleet.endpoints:
        # Opens the connection for KILL before the statement runs.
        await mysql_endpoints(env).check_health(name)
    for member in env.fleet.endpoints.values():
        member.settings = replace(member.settings, read_us=60_000_000)
    await send_abandoned_read()
    await wait_until(lambda: mysql_endpoints(env).statements_killed == 1)
    await wait_until(lambda: not any(m.capacity.in_flight for m in env.fleet.endpoints.values()))


async def test_abandoned_statement_is_killed_before_the_first_health_check(
    env: Environment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only a health check opened the connection for KILL, so that an earlier statement ran on to its end."""
    endpoints = mysql_endpoints(env)
    reports = {name: await endpoints.check_health(name) for name in env.fleet.endpoints}

    async def check_without_connection(name: str) -> EndpointReport:
        return reports[name]

    monkeypatch.setattr(endpoints, "check_health", check_without_connection)
    for endpoint in endpoints._endpoints.values():
        endpoint.monitor.close()
        endpoint.monitor._backend = None
        endpoint.monitor._was_requested = False
    await env.read("r")
    await wait_until(lambda: endpoints.connection_count > sum(p.total for p in endpoints.pools().values()))
    for member in env.fleet.endpoints.values():
        member.settings = replace(member.settings, read_us=60_000_000)
    with trio.move_on_after(0.5):
        await env.read("r")
    await wait_until(lambda: endpoints.statements_killed == 1)


# What gRPC clients must not do on shared connections.


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
async def test_grpc_statement_that_needs_its_own_connection_is_rejected(
    env: Environment, cls: str, text: str
) -> None:
    request = env.message(cls, "r", "x")
    request.statement = text.encode()
    del request.parameters[:]
    with pytest.raises(RpcError) as refused:
        await env.send(request)
    assert refused.value.code is Code.INVALID_ARGUMENT
    assert await env.read("r")


async def test_status_flags_after_a_failed_begin_name_no_transaction(env: Environment) -> None:
    """Guards against flags of a transaction that ended with an error, in the next response without one."""

    def work(connection: Any) -> tuple[int, int, int]:
        connection.begin()
        begun = connection.server_status
        code = error_code(connection, INSERT % ("flags", "one"))
        connection.ping(reconnect=False)
        return begun & IN_TRANSACTION, code, connection.server_status & IN_TRANSACTION

    for member in env.fleet.endpoints.values():
        member.faults.broken_connections = 1.0
    assert await run_pymysql(env, work) == (IN_TRANSACTION, TRANSACTION_ROLLED_BACK.number, 0)
