"""What members say: errors, heartbeats, prepared statements."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.mysql.values import Value
from juniperreel.pool.endpoint_status import KEPT_EPOCHS, NotTold, load, told
from juniperreel.pool.error_codes import BUSY, ENDED, FAILED, GONE, READ_ONLY, UNDOES_ALL, Meaning, meaning
from juniperreel.pool.prepared_statements import Statements


def test_only_what_left_the_data_as_it_was_counts_as_untouched() -> None:
    """Danger: whatever is READ_ONLY or BUSY is sent elsewhere at once, a write too."""
    tables = (READ_ONLY, BUSY, ENDED, GONE, FAILED)
    assert sum(map(len, tables)) == len(frozenset().union(*tables)), "each code has one meaning"
    untouched = {c for c in range(1000, 6000) if meaning(c) in (Meaning.READ_ONLY, Meaning.BUSY)}
    assert untouched == READ_ONLY | BUSY
    assert not untouched & {1105, 1180, 1205, 1213, 1317, 1053, 2006, 2013}
    assert UNDOES_ALL < ENDED
    assert meaning(1062) is Meaning.FAULT and meaning(1064) is Meaning.FAULT


def test_a_member_stands_at_its_heartbeat() -> None:
    rows: list[list[Value]] = [[1, 900, 1, 0, 300], [1, 900, 2, 310, 800]]
    replica = told(rows)
    assert (replica.read_only, replica.position_us, replica.clock_us) == (True, 800, 900)
    assert replica.epochs == ((1, 0), (2, 310))
    primary = told([[0, *row[1:]] for row in rows])
    assert (primary.position_us, primary.clock_us, primary.read_only) == (800, 900, False)
    assert told([["1", "900", "7", "0", b"5"]]).position_us == 5, "texts will do, too"


def test_a_long_history_is_cut_to_what_is_kept() -> None:
    rows: list[list[Value]] = [[1, 10_000, n, n, n] for n in range(1, 40)]
    assert [e for e, _ in told(rows).epochs] == list(range(40 - KEPT_EPOCHS, 40))


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
def test_who_does_not_tell_where_it_stands_is_not_believed(rows: list[list[Value]]) -> None:
    with pytest.raises(NotTold):
        told(rows)


def test_the_load_is_without_the_question() -> None:
    assert load([["Threads_running", "5"]]) == 4.0 and load([["Threads_running", "0"]]) == 0.0
    for rows in ([], [["a"]], [["Threads_running", "many"]]):
        with pytest.raises(NotTold):
            load(rows)


@given(st.lists(st.integers(0, 9), max_size=60), st.integers(1, 5))
def test_prepared_texts_are_bounded_and_each_id_is_closed_once(uses: list[int], most: int) -> None:
    statements, number = Statements(most), 0
    live: dict[tuple[bytes, str], int] = {}
    for use in uses:
        text = (b"select %d" % use, "")
        found = statements.get(text)
        assert found == live.get(text)
        if found is None:
            number += 1
            live[text] = number
            for closed in statements.keep(text, number):
                (old,) = [t for t, n in live.items() if n == closed]
                assert old != text
                del live[old]
    assert len(statements) == len(live) <= most
