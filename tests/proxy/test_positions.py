"""Positions between clocks and epochs: never told newer than they are."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from juniperreel.causal import EMPTY, History, Token
from juniperreel.proxy.positions import NEVER_REACHED_US, Needs, Positions, Standing

SKEW = 30
histories = st.lists(st.integers(1, 50), min_size=1, max_size=5).map(
    lambda steps: History.from_starts([(n + 1, sum(steps[:n])) for n in range(len(steps))])
)
standings = st.builds(Standing, st.booleans(), st.integers(0, 300), histories)
tokens = st.builds(
    Token.from_entries,
    st.dictionaries(st.tuples(st.integers(0, 1), st.integers(1, 6)), st.integers(1, 300)),
    st.integers(0, 50),
)


@given(st.lists(standings, min_size=1), standings)
def test_a_position_is_never_told_newer_than_it_is(seen: list[Standing], standing: Standing) -> None:
    positions = Positions(SKEW)
    for s in seen:
        positions.learn(0, s)
    told = positions.member_position(0, standing)
    assert told <= standing.position - SKEW
    newest = positions.history(0)
    if standing.history.epoch < newest.epoch:
        later = [start for epoch, start in newest.starts if epoch > standing.history.epoch]
        assert told <= min(later) - SKEW
        assert positions.primary(0, standing) is False


@given(st.lists(standings), standings, tokens, st.integers(0, 1000))
def test_what_the_module_takes_for_fresh_enough_never_asks_for_less_than_the_token(
    seen: list[Standing], standing: Standing, token: Token, now: int
) -> None:
    """The module's comparison, position against now minus age, is at least as strict as the numbers."""
    positions = Positions(SKEW)
    for s in [*seen, standing]:
        positions.learn(0, s)
    age = positions.session_age(now, 0, token)
    if age is None:
        assert not token.positions_in(0) and not token.floor
        return
    module_needs = now - age
    if positions.member_position(0, standing) >= module_needs:
        assert standing.position >= max([token.floor, *(p for _, p in token.positions_in(0))])


@given(standings, tokens)
def test_needs_are_met_exactly_as_the_history_says(standing: Standing, token: Token) -> None:
    needs = Positions(SKEW).needs(0, 0, token, None)
    assert needs.met_by(standing) == standing.history.satisfies(standing.position, token, 0)


def test_a_cut_off_token_is_never_reached() -> None:
    positions = Positions(SKEW)
    positions.learn(0, Standing(True, 200, History.from_starts([(1, 0), (2, 100)])))
    assert positions.session_age(1000, 0, Token.for_position(0, 1, 101)) == 1000 - (NEVER_REACHED_US - SKEW)
    assert positions.session_age(1000, 0, Token.for_position(0, 1, 100)) == 1000 - (100 - SKEW)
    assert positions.session_age(1000, 0, EMPTY) is None
    assert positions.session_age(1000, 1, Token.for_position(0, 1, 101)) is None


def test_a_deposed_primary_s_confirmation_does_not_count() -> None:
    positions = Positions(SKEW)
    positions.learn(0, Standing(True, 200, History.from_starts([(1, 0), (2, 100)])))
    assert positions.holds_commit(0, 1, 100) and not positions.holds_commit(0, 1, 150)
    assert positions.holds_commit(0, 2, 150) and positions.holds_commit(0, 3, 150)


def test_bounded_reads_ask_for_an_age_with_the_skew_on_the_safe_side() -> None:
    needs = Positions(SKEW).needs(1000, 0, EMPTY, 300)
    assert needs == Needs((), 0, 730)
    history = History.from_starts([(1, 0)])
    assert needs.met_by(Standing(False, 730, history)) and not needs.met_by(Standing(False, 729, history))


UUID = "3e11fa47-71ca-11e1-9e33-c80aa9429562"


def test_a_commit_that_a_failover_kept_is_no_longer_asked_for_beyond_its_epoch() -> None:
    """Danger: a commit's position is rounded up to its member's clock; the last ones before a failover would
    lie beyond the next epoch's start, and their sessions' reads be refused for ever."""
    positions = Positions(SKEW)
    positions.learn(0, Standing(True, 90, History.from_starts([(1, 0)]), 120))
    positions.committed(0, 1, 110, f"{UUID}:7")
    positions.committed(0, 1, 115, f"{UUID}:8")
    positions.committed(0, 1, 118, "not told")
    new = Standing(True, 130, History.from_starts([(1, 0), (2, 100)]), 140)
    positions.learn(0, new)
    kept, lost, unknown = (Token.for_position(0, 1, p) for p in (110, 115, 118))
    for token in (kept, lost, unknown):
        assert positions.healed(0, token) == token
        assert positions.session_age(1000, 0, token) == 1000 - NEVER_REACHED_US + SKEW
    positions.executed(0, new, f"{UUID}:1-7")
    healed = positions.healed(0, kept)
    assert healed == Token.for_position(0, 2, 100)
    assert positions.session_age(1000, 0, healed) == 1000 - 100 + SKEW
    for token in (lost, unknown):
        assert positions.healed(0, token) == token, "what the new epoch does not hold stays asked for"
    assert positions.healed(1, kept) == kept


def test_what_a_member_of_an_ended_epoch_holds_proves_nothing() -> None:
    positions = Positions(SKEW)
    positions.committed(0, 1, 110, f"{UUID}:7")
    positions.learn(0, Standing(True, 130, History.from_starts([(1, 0), (2, 100), (3, 120)])))
    positions.executed(0, Standing(True, 130, History.from_starts([(1, 0), (2, 100)])), f"{UUID}:1-7")
    assert positions.healed(0, Token.for_position(0, 1, 110)) == Token.for_position(0, 1, 110)


def test_a_primary_holds_its_own_commits_wherever_its_heartbeat_stands() -> None:
    history = History.from_starts([(1, 0), (2, 100)])
    needs = Needs(((2, 150),))
    assert needs.met_by(Standing(True, 120, history, 160))
    assert not needs.met_by(Standing(True, 120, history, 140)), "its clock was set back"
    assert not needs.met_by(Standing(False, 120, history, 160))
    assert not Needs(((1, 150),)).met_by(Standing(True, 120, history, 160)), "an older epoch's is not its own"
    assert not Needs(oldest=150).met_by(Standing(True, 120, history, 160)), "of age its heartbeat tells"
