"""Statements with several results, as of stored procedures, at endpoints that speak MySQL."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
import trio

from juniperreel.fakes.mysql_procedures import PADDING
from juniperreel.frontends.mysql.errors import TOO_LONG
from juniperreel.pool.config import BackendConfig
from juniperreel.pool.connection import STREAM_THRESHOLD_BYTES, BackendConnection
from juniperreel.pool.result import Result, Statement
from tests.e2e.environment import Environment
from tests.e2e.test_mysql import execute, mysql_port, run_pymysql
from tests.e2e.test_transactions import error_code, mysql_endpoints

LONG = 2 * STREAM_THRESHOLD_BYTES // len(PADDING)  # rows of a result that is streamed


@pytest.fixture
async def env(nursery: trio.Nursery, tmp_path: Path) -> Environment:
    started: Environment = await nursery.start(Environment(tmp_path, "mysql-members 1").run)
    return started


def call(connection: Any, text: str) -> list[list[tuple[int, int]]]:
    """Execute a statement and return all of its result sets, without the padding."""
    results = []
    with connection.cursor() as cursor:
        cursor.execute(text)
        while cursor.description is not None:
            results.append([(number, row) for number, row, _ in cursor.fetchall()])
            if not cursor.nextset():
                break
    return results


def expected(*row_counts: int) -> list[list[tuple[int, int]]]:
    return [[(number, row) for row in range(count)] for number, count in enumerate(row_counts)]


@pytest.mark.parametrize("row_counts", [(2, 3), (0, 1, 2), (4,), ()])
async def test_all_result_sets_of_a_call_reach_the_client(
    env: Environment, row_counts: tuple[int, ...]
) -> None:
    """Only the first result set reached the client; the others were read and dropped."""
    text = f"call result_sets({', '.join(map(str, row_counts))})"

    def work(connection: Any) -> list[Any]:
        return [call(connection, text), execute(connection, "select 7")]

    assert await run_pymysql(env, work) == [expected(*row_counts), ((7,),)]


async def test_result_sets_behind_a_streamed_one_reach_the_client(env: Environment) -> None:
    def work(connection: Any) -> list[Any]:
        connection.begin()
        results = [call(connection, f"call result_sets({LONG}, 3, 2)"), execute(connection, "select 7")]
        connection.commit()
        return results

    first, following = await run_pymysql(env, work)
    assert [len(result) for result in first] == [LONG, 3, 2]
    assert first == expected(LONG, 3, 2)
    assert following == ((7,),)


async def test_further_results_are_limited_in_size_together(env: Environment) -> None:
    """Each is within the limit for one result, which a procedure with many of them would exceed in memory."""
    limit = mysql_endpoints(env)._mysql_options.login.max_result_bytes
    row_count = limit // len(PADDING) // 3

    def work(connection: Any) -> int:
        return error_code(connection, f"call result_sets(1, {', '.join([str(row_count)] * 4)})")

    assert await run_pymysql(env, work) == TOO_LONG.number


async def test_prepared_call_returns_all_its_result_sets(env: Environment, nursery: trio.Nursery) -> None:
    login = BackendConfig("ada", b"love lace")
    client = await BackendConnection.open(env.network, "127.0.0.1", mysql_port(env), login, 5_000_000)
    nursery.start_soon(client.run)
    with trio.fail_after(20):
        (reply,) = await client.exchange([Statement(b"call result_sets(2, 3)", binary=True)])
    assert isinstance(reply, Result)
    results = [reply, *reply.additional_results]
    assert [[values[:2] for values in result.values()] for result in results] == [
        [[0, 0], [0, 1]],
        [[1, 0], [1, 1], [1, 2]],
        [],
    ]
    await client.quit()
