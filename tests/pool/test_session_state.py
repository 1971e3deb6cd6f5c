"""Tests of session state and of the statement that replays it on another connection."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.fakes.mysql_variables import ASSIGNMENT, ASSIGNMENT_SEPARATOR
from juniperreel.pool.errors import SessionStateTooLargeError
from juniperreel.pool.session_state import (
    INITIAL_SESSION_STATE,
    MAX_VARIABLES,
    SessionState,
    replay_statement,
)
from juniperreel.statements import classify_statement

names = st.sampled_from(["sql_mode", "time_zone", "wait_timeout", "@a", "@b"])
literals = st.sampled_from(["1", "-2.5", "'x'", "'a,b'", "default", "null", "on"])
states = st.lists(st.tuples(names, literals), max_size=8).map(
    lambda sets: apply_sets(INITIAL_SESSION_STATE, sets)
)


def apply_sets(state: SessionState, sets: list[tuple[str, str]]) -> SessionState:
    for name, value in sets:
        state = state.set(name, value)
    return state


@given(states, states)
def test_replay_statement_changes_a_connection_to_the_target_state(
    current: SessionState, target: SessionState
) -> None:
    statement = replay_statement(current, target)
    assert (statement is None) == (current == target)
    state = current
    if statement is not None:
        for part in ASSIGNMENT_SEPARATOR.split(statement.decode()[4:]):
            match = ASSIGNMENT.match(part.strip())
            assert match is not None
            state = state.set(match[1], match[2])
    assert state == target
    assert hash(state) == hash(target)
    classification = classify_statement(statement or b"set @a = 1")
    assert classification.session_command is not None
    assert classification.session_command.assignments, "the classifier must recognize a set statement"


def test_set_to_the_default_removes_the_variable() -> None:
    state = INITIAL_SESSION_STATE.set("SQL_MODE", "'ANSI'").set("@a", "1")
    assert state.parse_context == "sql_mode='ANSI'"
    assert state
    assert not state.set("sql_mode", "DEFAULT").set("@a", "null")
    assert INITIAL_SESSION_STATE.set("@a", "null") is INITIAL_SESSION_STATE


def test_set_exceeding_the_limits_raises() -> None:
    with pytest.raises(SessionStateTooLargeError):
        apply_sets(INITIAL_SESSION_STATE, [(f"@v{n}", "1") for n in range(MAX_VARIABLES + 1)])
    with pytest.raises(SessionStateTooLargeError):
        INITIAL_SESSION_STATE.set("@a", f"'{'x' * 5000}'")
