"""Events that cross, on the module alone: what becomes known between a request's coming and its sending."""

from __future__ import annotations

import pytest

from juniperreel.routing.types import (
    ClientDisconnected,
    DeadlineShortened,
    Outcome,
    Readiness,
    Reject,
    Role,
    UpdateKind,
)
from tests.routing.router_script import MS, SEC, Script, member


def settled(**changes: bool) -> Script:
    """One replica, fresh enough for whoever asks for nothing newer than now."""
    s = Script(**changes)
    s.group("a")
    return s


def reads_of(s: Script, request: str) -> list[str]:
    return s.sends.get(request, [])


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR, Outcome.CANCELLED])
def test_a_write_that_may_have_run_is_seen_by_its_session(outcome: Outcome) -> None:
    """Its answer was lost; what it wrote was committed before it ended."""
    s = settled()
    s.ask("write")
    s.now += 300 * MS
    s.end("0" * 16, outcome, request_finished=True)
    s.router.state.endpoints["a"].position_us = s.now - 1
    assert "a" not in reads_of(s, s.ask("own"))
    s.router.state.endpoints["a"].position_us = s.now
    assert reads_of(s, s.ask("own")) == ["a"]
    assert reads_of(s, s.ask("own", session="other")) == ["a"]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.INELIGIBLE])
def test_a_write_that_never_ran_asks_nothing_of_its_session(outcome: Outcome) -> None:
    s = settled()
    s.ask("write")
    s.now += 300 * MS
    s.end("0" * 16, outcome, request_finished=True)
    s.router.state.endpoints["a"].position_us = s.now - SEC
    assert reads_of(s, s.ask("own")) == ["a"]


def test_while_a_write_is_out_its_session_reads_from_the_primary_where_responses_may_be_lost() -> None:
    for lost, expected in ((True, "p"), (False, "a")):
        s = settled(responses_may_be_lost=lost)
        s.ask("write")
        assert reads_of(s, s.ask("own")) == ["a"]  # nothing was answered so soon
        s.now += 300 * MS
        s.router.state.endpoints["a"].position_us = s.now - 1
        assert reads_of(s, s.ask("own")) == [expected]
        assert reads_of(s, s.ask("own", session="other")) == ["a"]
        assert reads_of(s, s.ask("own", group=0, session="s")) == [expected]


def test_a_session_read_in_hand_sees_a_write_answered_meanwhile() -> None:
    """The read's first attempt fails; before the second one its session's write is answered."""
    s = settled()
    s.router.state.endpoints["a"].position_us = s.now
    read = s.ask("own")
    write = s.ask("write")
    s.now += 100 * MS
    s.router.state.endpoints["a"].position_us = s.now
    s.end(write, position_us=s.now + 50 * MS)
    s.end(read, Outcome.NOT_SENT)
    s.wait(40 * MS)
    assert reads_of(s, read)[1:] in ([], ["p"])


def test_what_a_cut_off_answer_told_of_a_role_holds() -> None:
    s = settled()
    w = s.ask("write")
    s.now += 300 * MS
    s.end(w, Outcome.TIMEOUT, role=Role.REPLICA, position_us=s.now - 100 * MS)
    assert s.router.state.groups[0].primary is None
    assert s.router.state.endpoints["p"].position_us == s.now - 101 * MS


def test_an_attempt_fits_only_while_its_member_is_known_to_be_fresh() -> None:
    s = settled()
    s.router.state.endpoints["a"].position_us = s.now - 250 * MS
    read = s.ask("read")
    assert reads_of(s, read) == ["a"]
    assert s.router.confirm_send(s.now + 50 * MS, read, 0)
    assert not s.router.confirm_send(s.now + 51 * MS, read, 0)  # its bound is 300 ms
    s.router.state.endpoints["a"].position_us = s.now
    assert s.router.confirm_send(s.now + 51 * MS, read, 0)
    s.batch(ClientDisconnected(read))
    assert not s.router.confirm_send(s.now, read, 0)


def test_a_read_does_not_fit_a_primary_that_stepped_down_meanwhile() -> None:
    s = settled()
    fresh, write = s.ask("current"), s.ask("write")
    assert s.router.confirm_send(s.now, fresh, 0) and s.router.confirm_send(s.now, write, 0)
    s.router.parts.primaries.observe_role(s.router.state.endpoints["p"], Role.REPLICA)
    assert not s.router.confirm_send(s.now, fresh, 0)
    assert s.router.confirm_send(s.now, write, 0)  # a miss does no harm


def test_an_attempt_does_not_fit_a_member_that_was_told_to_drain_meanwhile() -> None:
    s = settled()
    read, write = s.ask("loose"), s.ask("write")
    changed = member("a", readiness=Readiness.DRAINING)
    s.start(changed, member("p", readiness=Readiness.DRAINING), kind=UpdateKind.DELTA)
    assert not s.router.confirm_send(s.now, read, 0)
    assert s.router.confirm_send(s.now, write, 0)  # a primary that drains has half the grace
    assert not s.router.confirm_send(s.now + s.settings.drain_grace_us // 2, write, 0)


def test_a_deadline_that_is_cut_holds_for_what_is_in_hand() -> None:
    s = settled()
    for m in s.router.state.endpoints.values():
        m.ejected, m.retry_at_us = True, s.now + 60 * SEC
    held = s.ask("write")
    s.batch(DeadlineShortened(held, s.now + 500 * MS))
    s.batch(DeadlineShortened(held, s.now + 900 * MS))  # never longer again
    s.wait(500 * MS)
    (refused,) = s.did(Reject, held)
    assert refused.request == held
    s.batch(DeadlineShortened("unknown", s.now))


def test_a_member_that_came_back_is_cold_again() -> None:
    """Told as the same member with a later start, while others carry work: it must not be rushed."""
    s = settled()
    assert s.router.parts.slow_start.capacity_fraction(s.router.state.endpoints["a"]) == 1.0
    s.now += SEC
    s.start(member("p", listed_primary=True), member("a", started_us=s.now), kind=UpdateKind.SNAPSHOT)
    assert s.router.parts.slow_start.capacity_fraction(s.router.state.endpoints["a"]) < 0.25
    s.router.state.endpoints["a"].position_us = s.now
    sent = sum(reads_of(s, s.ask("loose")) == ["a"] for _ in range(20))
    assert sent <= 1
