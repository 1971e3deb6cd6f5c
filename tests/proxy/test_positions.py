"""Tests of the translation of positions: they are never reported as newer than they are."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from juniperreel.causal import EMPTY_TOKEN, History, Token
from juniperreel.proxy.positions import (
    NEVER_REACHED_US,
    EpochPosition,
    PositionTracker,
    ReplicationStatus,
    RequiredPosition,
)

SKEW = 30
histories = st.lists(st.integers(1, 50), min_size=1, max_size=5).map(
    lambda steps: History.from_starts([(n + 1, sum(steps[:n])) for n in range(len(steps))])
)
statuses = st.builds(ReplicationStatus, st.booleans(), st.integers(0, 300), histories)
tokens = st.builds(
    Token.from_entries,
    st.dictionaries(st.tuples(st.integers(0, 1), st.integers(1, 6)), st.integers(1, 300)),
    st.integers(0, 50),
)


@given(st.lists(statuses, min_size=1), statuses)
def test_applied_position_is_never_reported_newer_than_it_is(
    earlier_statuses: list[ReplicationStatus], status: ReplicationStatus
) -> None:
    positions = PositionTracker(SKEW)
    for earlier in earlier_statuses:
        positions.record_status(0, earlier)
    reported = positions.applied_position(0, status)
    assert reported <= status.position - SKEW
    newest = positions.history(0)
    if status.history.epoch < newest.epoch:
        later = [start for epoch, start in newest.starts if epoch > status.history.epoch]
        assert reported <= min(later) - SKEW
        assert positions.is_primary(0, status) is False


@given(st.lists(statuses), statuses, tokens, st.integers(0, 1000))
def test_session_age_never_requires_less_than_the_token(
    earlier_statuses: list[ReplicationStatus], status: ReplicationStatus, token: Token, now: int
) -> None:
    """The router's comparison of a position with `now - age` is at least as strict as the token."""
    positions = PositionTracker(SKEW)
    for earlier in [*earlier_statuses, status]:
        positions.record_status(0, earlier)
    age = positions.session_age(now, 0, token)
    if age is None:
        assert not token.positions_in(0)
        assert not token.floor
        return
    needed_us = now - age
    if positions.applied_position(0, status) >= needed_us:
        assert status.position >= max([token.floor, *(p for _, p in token.positions_in(0))])


@given(statuses, tokens)
def test_required_position_is_met_exactly_as_the_history_says(
    status: ReplicationStatus, token: Token
) -> None:
    required = PositionTracker(SKEW).required_position(0, 0, token, None)
    assert required.is_met_by(status) == status.history.satisfies(status.position, token, 0)


def test_token_of_a_lost_commit_is_never_reached() -> None:
    positions = PositionTracker(SKEW)
    positions.record_status(0, ReplicationStatus(True, 200, History.from_starts([(1, 0), (2, 100)])))
    assert positions.session_age(1000, 0, Token.for_position(0, 1, 101)) == 1000 - (NEVER_REACHED_US - SKEW)
    assert positions.session_age(1000, 0, Token.for_position(0, 1, 100)) == 1000 - (100 - SKEW)
    assert positions.session_age(1000, 0, EMPTY_TOKEN) is None
    assert positions.session_age(1000, 1, Token.for_position(0, 1, 101)) is None


def test_commit_confirmed_by_a_deposed_primary_does_not_count() -> None:
    positions = PositionTracker(SKEW)
    positions.record_status(0, ReplicationStatus(True, 200, History.from_starts([(1, 0), (2, 100)])))
    assert positions.holds_commit(0, 1, 100)
    assert not positions.holds_commit(0, 1, 150)
    assert positions.holds_commit(0, 2, 150)
    assert positions.holds_commit(0, 3, 150)


def test_bounded_read_requires_a_position_with_the_skew_on_the_safe_side() -> None:
    required = PositionTracker(SKEW).required_position(1000, 0, EMPTY_TOKEN, 300)
    assert required == RequiredPosition((), 0, 730)
    history = History.from_starts([(1, 0)])
    assert required.is_met_by(ReplicationStatus(False, 730, history))
    assert not required.is_met_by(ReplicationStatus(False, 729, history))


UUID = "3e11fa47-71ca-11e1-9e33-c80aa9429562"


def test_commit_carried_over_a_failover_is_required_at_the_new_epoch_s_start() -> None:
    """A commit's position is rounded up to its endpoint's clock.

    The last commits before a failover may therefore be beyond the start of the next epoch, and without the
    translation the reads of their sessions would always be rejected.
    """
    positions = PositionTracker(SKEW)
    positions.record_status(0, ReplicationStatus(True, 90, History.from_starts([(1, 0)]), 120))
    positions.record_commit(0, 1, 110, f"{UUID}:7")
    positions.record_commit(0, 1, 115, f"{UUID}:8")
    positions.record_commit(0, 1, 118, "not reported")
    new_primary = ReplicationStatus(True, 130, History.from_starts([(1, 0), (2, 100)]), 140)
    positions.record_status(0, new_primary)
    carried, lost, unknown = (Token.for_position(0, 1, p) for p in (110, 115, 118))
    for token in (carried, lost, unknown):
        assert positions.with_carried_commits(0, token) == token
        assert positions.session_age(1000, 0, token) == 1000 - NEVER_REACHED_US + SKEW
    positions.record_executed_gtids(0, new_primary, f"{UUID}:1-7")
    translated = positions.with_carried_commits(0, carried)
    assert translated == Token.for_position(0, 2, 100)
    assert positions.session_age(1000, 0, translated) == 1000 - 100 + SKEW
    for token in (lost, unknown):
        assert positions.with_carried_commits(0, token) == token, (
            "a commit that the new epoch does not include is still required"
        )
    assert positions.with_carried_commits(1, carried) == carried


def test_gtids_of_an_endpoint_in_an_ended_epoch_prove_nothing() -> None:
    positions = PositionTracker(SKEW)
    positions.record_commit(0, 1, 110, f"{UUID}:7")
    positions.record_status(
        0, ReplicationStatus(True, 130, History.from_starts([(1, 0), (2, 100), (3, 120)]))
    )
    positions.record_executed_gtids(
        0, ReplicationStatus(True, 130, History.from_starts([(1, 0), (2, 100)])), f"{UUID}:1-7"
    )
    assert positions.with_carried_commits(0, Token.for_position(0, 1, 110)) == Token.for_position(0, 1, 110)


def test_primary_holds_its_own_epoch_s_commits_whatever_its_heartbeat() -> None:
    history = History.from_starts([(1, 0), (2, 100)])
    required = RequiredPosition((EpochPosition(2, 150),))
    assert required.is_met_by(ReplicationStatus(True, 120, history, 160))
    assert not required.is_met_by(ReplicationStatus(True, 120, history, 140)), (
        "its clock was set back below the position"
    )
    assert not required.is_met_by(ReplicationStatus(False, 120, history, 160))
    assert not RequiredPosition((EpochPosition(1, 150),)).is_met_by(
        ReplicationStatus(True, 120, history, 160)
    ), "the clock counts only for commits of its own epoch"
    assert not RequiredPosition(oldest=150).is_met_by(ReplicationStatus(True, 120, history, 160)), (
        "staleness is decided by the heartbeat, not by the clock"
    )
