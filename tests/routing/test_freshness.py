"""The log position a read requires, and the endpoints known to have applied it."""

from __future__ import annotations

from typing import NoReturn

import pytest

from juniperreel.routing.policy import parameters
from juniperreel.routing.state import RequestState
from juniperreel.routing.types import Outcome, Role, StalenessGuard, StartHealthCheck
from tests.routing.router_script import (
    BOUNDED_READ,
    FRESH_READ,
    MS,
    PRIMARY,
    SEC,
    SESSION_READ,
    WRITE,
    RouterScript,
)


def commit_write(script: RouterScript, after_us: int = 40 * MS, session: str | None = None) -> None:
    """Send a write that is answered with its commit time `after_us` later."""
    write = script.submit_request(WRITE, session=session)
    script.advance_clock(after_us)
    script.end_attempt(write, role=Role.PRIMARY, position_us=script.now_us)


def test_bounded_read_within_the_staleness_bound_is_sent() -> None:
    script = RouterScript()
    script.start_group("a")
    assert script.endpoints_tried(script.submit_request(BOUNDED_READ)) == ["a"]
    script.advance_clock(300 * MS)  # exactly at the bound
    assert script.endpoints_tried(script.submit_request(BOUNDED_READ)) == ["a"]


def test_bounded_read_beyond_the_staleness_bound_waits_for_a_fresh_position() -> None:
    script = RouterScript()
    script.start_group("a")
    script.submit_request(BOUNDED_READ)  # stays in flight on the replica, like the next one
    script.advance_clock(300 * MS)
    script.submit_request(BOUNDED_READ)
    script.advance_clock(1)
    read = script.submit_request(BOUNDED_READ)
    assert script.endpoints_tried(read) == []
    assert StartHealthCheck("a") in script.last_actions
    script.pass_health_check("a", lag_us=300 * MS + 1)
    assert script.endpoints_tried(read) == []
    script.pass_health_check("a", lag_us=300 * MS)
    assert script.endpoints_tried(read) == ["a"]


def test_session_read_after_a_write_of_its_session_waits_for_the_commit() -> None:
    script = RouterScript()
    script.start_group("a")
    assert script.endpoints_tried(script.submit_request(SESSION_READ)) == ["a"]
    commit_write(script)
    script.make_primary_busy()
    read = script.submit_request(SESSION_READ)
    assert script.endpoints_tried(read) == []
    assert script.endpoints_tried(script.submit_request(SESSION_READ, session="other")) == ["a"]
    script.pass_health_check("a", lag_us=1)
    assert script.endpoints_tried(read) == []
    script.pass_health_check("a")
    assert script.endpoints_tried(read) == ["a"]


def test_session_read_of_a_forgotten_session_waits_for_the_session_watermark(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(parameters, "MAX_SESSIONS", 2)
    script = RouterScript()
    script.start_group("a")
    for number in range(3):
        commit_write(script, after_us=MS, session=f"session {number}")
    script.make_primary_busy()
    of_forgotten_session = script.submit_request(SESSION_READ, session="session 0")
    of_unknown_session = script.submit_request(SESSION_READ, session="never wrote")
    assert script.endpoints_tried(of_forgotten_session) == []
    assert script.endpoints_tried(of_unknown_session) == []
    script.pass_health_check("a")
    assert script.endpoints_tried(of_forgotten_session) == ["a"]
    assert script.endpoints_tried(of_unknown_session) == ["a"]


def test_old_sessions_beyond_their_ttl_become_the_session_watermark() -> None:
    script = RouterScript()
    script.start_group("a")
    for number in range(300):
        script.run_for(SEC)
        commit_write(script, after_us=0, session=f"session {number}")
    assert len(script.router.state.sessions) <= parameters.SESSION_TTL_US // SEC + 1
    watermark_us = script.router.state.groups[0].session_watermark_us
    expired_us = script.now_us - parameters.SESSION_TTL_US
    assert expired_us - 2 * SEC <= watermark_us < expired_us
    script.make_primary_busy()
    read = script.submit_request(SESSION_READ, session="session 0")
    assert script.endpoints_tried(read) == []  # the replica's known position is older than that commit
    script.pass_health_check("a", lag_us=1)
    assert script.endpoints_tried(read) == ["a"]


def test_fresh_read_after_a_lost_write_is_never_sent_to_a_replica() -> None:
    """Unlike a write, a fresh read must not try replicas, which would serve it from stale data."""
    script = RouterScript()
    script.start_group("a", "b")
    script.end_attempt(script.submit_request(WRITE), Outcome.RESET)
    read = script.submit_request(FRESH_READ)
    script.run_for(3 * SEC)
    assert not {"a", "b"} & set(script.endpoints_tried(read))


def test_replica_slightly_behind_where_endpoints_guard_staleness_is_tried_first() -> None:
    script = RouterScript(staleness_guard=StalenessGuard.REFUSE)
    script.start_group("a")
    script.advance_clock(350 * MS)
    read = script.submit_request(BOUNDED_READ)
    assert script.endpoints_tried(read) == ["a"]
    script.end_attempt(read, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert script.endpoints_tried(read) == ["a", PRIMARY]


class RequestsNotSearched(dict[str, RequestState]):
    """The table of open requests, which may be looked up by id only."""

    def values(self) -> NoReturn:
        pytest.fail("all open requests were searched")


def test_session_read_does_not_search_all_requests_for_writes_of_its_session() -> None:
    """Guards against late answers beside a crowd: each session read looked at all open requests."""
    script = RouterScript(responses_may_be_lost=True)
    script.start_group("a")
    for session in ("own", "other-1", "other-2"):
        script.submit_request(WRITE, session=session)
    script.advance_clock(150 * MS)  # the response to the session's write may have been lost
    script.router.state.requests = RequestsNotSearched(script.router.state.requests)
    assert script.endpoints_tried(script.submit_request(SESSION_READ, session="own")) == [PRIMARY]
    assert script.endpoints_tried(script.submit_request(SESSION_READ, session="third")) == ["a"]
