"""Tests of endpoint responses: error codes, heartbeats, load, and ids of prepared statements."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.mysql.values import Value
from juniperreel.pool.endpoint_status import MAX_EPOCHS, parse_load, parse_status
from juniperreel.pool.error_codes import (
    ABORTED_CODES,
    CONNECTION_CLOSED_CODES,
    OVERLOADED_CODES,
    READ_ONLY_CODES,
    SERVER_FAILURE_CODES,
    TRANSACTION_ROLLBACK_CODES,
    ErrorCategory,
    error_category,
)
from juniperreel.pool.errors import StatusUnavailableError
from juniperreel.pool.prepared_statements import PreparedStatementCache, StatementKey


def test_only_codes_that_leave_the_data_unchanged_allow_an_immediate_retry() -> None:
    """Danger: READ_ONLY and OVERLOADED errors are retried on another endpoint at once, including writes."""
    tables = (
        READ_ONLY_CODES,
        OVERLOADED_CODES,
        ABORTED_CODES,
        CONNECTION_CLOSED_CODES,
        SERVER_FAILURE_CODES,
    )
    assert sum(map(len, tables)) == len(frozenset().union(*tables)), (
        "each code belongs to exactly one category"
    )
    unchanged = {
        c
        for c in range(1000, 6000)
        if error_category(c) in (ErrorCategory.READ_ONLY, ErrorCategory.OVERLOADED)
    }
    assert unchanged == READ_ONLY_CODES | OVERLOADED_CODES
    assert not unchanged & {1105, 1180, 1205, 1213, 1317, 1053, 2006, 2013}
    assert TRANSACTION_ROLLBACK_CODES < ABORTED_CODES
    assert error_category(1062) is ErrorCategory.STATEMENT_ERROR
    assert error_category(1064) is ErrorCategory.STATEMENT_ERROR


def test_position_is_the_latest_heartbeat() -> None:
    rows: list[list[Value]] = [[1, 900, 1, 0, 300], [1, 900, 2, 310, 800]]
    replica = parse_status(rows)
    assert (replica.read_only, replica.position_us, replica.clock_us) == (True, 800, 900)
    assert replica.epochs == ((1, 0), (2, 310))
    primary = parse_status([[0, *row[1:]] for row in rows])
    assert (primary.position_us, primary.clock_us, primary.read_only) == (800, 900, False)
    assert parse_status([["1", "900", "7", "0", b"5"]]).position_us == 5, (
        "numbers in text form must be accepted"
    )


def test_only_the_latest_epochs_are_returned() -> None:
    rows: list[list[Value]] = [[1, 10_000, n, n, n] for n in range(1, 40)]
    assert [e for e, _ in parse_status(rows).epochs] == list(range(40 - MAX_EPOCHS, 40))


@pytest.mark.parametrize(
    "rows",
    [
        [],
        [[1, 2, 3, 4]],
        [[1, 2, 3, 4, None]],
        [[1, 2, "three", 4, 5]],
        [[1, 2, 2, 0, 5], [1, 2, 2, 0, 5]],
        [[1, 2, 3, 0, 5], [1, 2, 2, 0, 5]],
    ],
)
def test_malformed_status_raises(rows: list[list[Value]]) -> None:
    with pytest.raises(StatusUnavailableError):
        parse_status(rows)


def test_load_excludes_its_own_query() -> None:
    assert parse_load([["Threads_running", "5"]]) == 4.0
    assert parse_load([["Threads_running", "0"]]) == 0.0
    for rows in ([], [["a"]], [["Threads_running", "many"]]):
        with pytest.raises(StatusUnavailableError):
            parse_load(rows)


@given(st.lists(st.integers(0, 9), max_size=60), st.integers(1, 5))
def test_prepared_statements_are_bounded_and_each_id_is_closed_once(
    uses: list[int], max_statements: int
) -> None:
    cache = PreparedStatementCache(max_statements)
    last_id = 0
    live: dict[StatementKey, int] = {}
    for use in uses:
        key = StatementKey(b"select %d" % use, "")
        found = cache.get(key)
        assert found == live.get(key)
        if found is None:
            last_id += 1
            live[key] = last_id
            for evicted_id in cache.put(key, last_id):
                (evicted,) = [k for k, n in live.items() if n == evicted_id]
                assert evicted != key
                del live[evicted]
    assert len(cache) == len(live) <= max_statements
