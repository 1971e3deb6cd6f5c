"""Retries, time-outs and final answers."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from juniperreel.routing.types import (
    Cancel,
    ClientDisconnected,
    Fail,
    Outcome,
    Reject,
    Role,
    Send,
    StartHealthCheck,
)
from tests.routing.router_script import (
    CLASSES,
    MS,
    SEC,
    Script,
)


def test_once_is_failed_when_it_may_have_run() -> None:
    s = Script()
    s.group("a")
    r = s.ask("once")
    s.end(r, Outcome.RESET)
    assert s.sends[r] == ["p"] and s.did(Fail, r) and not s.did(Reject, r)


def test_once_goes_on_when_nothing_ran() -> None:
    s = Script()
    s.group("a")
    r = s.ask("once")
    s.end(r, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert StartHealthCheck("a") in s.last
    s.probed("a", True)
    assert s.sends[r] == ["p", "a"] and not s.did(Fail, r)


def test_keyed_write_is_repeated_only_within_the_span() -> None:
    s = Script(classes=(*CLASSES[:2], replace(CLASSES[2], deduplication_window_us=1 * SEC), *CLASSES[3:]))
    s.group("a")
    r = s.ask("write")
    s.now += 900 * MS
    s.end(r, Outcome.ERROR)
    s.wait(60 * MS)
    assert s.sends[r] == ["p", "p"]
    s.now += 100 * MS
    s.end(r, Outcome.ERROR)
    assert len(s.sends[r]) == 2 and s.did(Fail, r)


def test_held_request_is_answered_before_its_deadline() -> None:
    s = Script()
    r = s.ask("read")
    assert r not in s.sends
    s.wait(2 * SEC)
    answers = [at for at, a in s.all if isinstance(a, Reject | Fail) and a.request == r]
    assert len(answers) == 1 and answers[0] <= 1002 * SEC


def test_attempt_times_out_where_lateness_is_worth_nothing() -> None:
    s = Script(classes=(replace(CLASSES[0], late_priority_weight=0.0), *CLASSES[1:]))
    s.group("a")
    r = s.ask("read")
    assert s.did(Send, r)[0].timeout_us == 500 * MS
    s.now += 500 * MS
    s.end(r, Outcome.TIMEOUT)
    assert s.did(Reject, r)


def test_attempts_of_clients_that_left_are_cancelled() -> None:
    """iff5cf5: clients gave up early and asked again while members went on with the first try."""
    s = Script()
    s.group("a")
    r = s.ask("read")
    s.batch(ClientDisconnected(r))
    assert [c.attempt for c in s.did(Cancel, r)] == [0]
    s.end(r, Outcome.CANCELLED)
    assert not s.did(Reject, r) and len(s.sends[r]) == 1


def test_request_that_fails_anywhere_blames_no_member() -> None:
    """bad_requests: the fault is the request's, and good ones keep members and retries."""
    s = Script()
    s.group("a", "b")
    before = s.router.parts.retries.budget.balance
    for _ in range(5):
        r = s.ask("loose")
        s.end(r, Outcome.ERROR)
        s.end(r, Outcome.ERROR)
        assert len(s.sends[r]) == 2 and s.did(Reject, r)
    assert s.router.parts.retries.budget.balance >= before
    picked = Counter(s.sends[s.ask("loose")][0] for _ in range(60))
    assert min(picked["a"], picked["b"]) >= 10


def test_a_request_that_came_to_no_member_waits_half_its_time_at_most() -> None:
    s = Script(must_poll=False)
    s.group("a")
    for name in ("p", "a"):
        s.router.state.endpoints[name].ejected = True
        s.router.state.endpoints[name].retry_at_us = s.now + 60 * SEC
    r = s.ask("write", deadline_us=s.now + 1200 * MS)  # half of it is less than its aim
    s.wait(500 * MS)
    assert not s.did(Reject, r)
    s.wait(100 * MS)
    assert s.did(Reject, r)


def test_a_request_with_little_time_is_sent_at_once_or_not_at_all() -> None:
    s = Script()
    s.group("a")
    assert s.ask("loose", deadline_us=s.now + 60 * MS) in s.sends
