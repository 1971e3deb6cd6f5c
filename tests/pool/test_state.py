"""A session's state as a value, and the way from one connection's to another's."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.fakes.mysql_variables import ASSIGNMENT, ASSIGNMENT_SEPARATOR
from juniperreel.pool.state import FRESH, MOST, SessionState, TooMuch, replay
from juniperreel.statements import read_statement

names = st.sampled_from(["sql_mode", "time_zone", "wait_timeout", "@a", "@b"])
literals = st.sampled_from(["1", "-2.5", "'x'", "'a,b'", "default", "null", "on"])
states = st.lists(st.tuples(names, literals), max_size=8).map(lambda sets: made(FRESH, sets))


def made(state: SessionState, sets: list[tuple[str, str]]) -> SessionState:
    for name, value in sets:
        state = state.set(name, value)
    return state


@given(states, states)
def test_a_replay_takes_a_connection_from_one_state_to_the_other(
    have: SessionState, want: SessionState
) -> None:
    statement = replay(have, want)
    assert (statement is None) == (have == want)
    state = have
    if statement is not None:
        for part in ASSIGNMENT_SEPARATOR.split(statement.decode()[4:]):
            match = ASSIGNMENT.match(part.strip())
            assert match is not None
            state = state.set(match[1], match[2])
    assert state == want and hash(state) == hash(want)
    reading = read_statement(statement or b"set @a = 1")
    assert reading.control is not None and reading.control.sets, "and it reads as what it is"


def test_what_is_unset_is_forgotten() -> None:
    state = FRESH.set("SQL_MODE", "'ANSI'").set("@a", "1")
    assert state.parsed == "sql_mode='ANSI'" and state
    assert not state.set("sql_mode", "DEFAULT").set("@a", "null")
    assert FRESH.set("@a", "null") is FRESH


def test_one_session_keeps_no_more_than_its_part() -> None:
    with pytest.raises(TooMuch):
        made(FRESH, [(f"@v{n}", "1") for n in range(MOST + 1)])
    with pytest.raises(TooMuch):
        FRESH.set("@a", f"'{'x' * 5000}'")
