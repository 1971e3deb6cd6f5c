"""The rule monitor counts each kind of violation under its rule, and no permitted behavior."""

from __future__ import annotations

import io
from collections.abc import Callable
from dataclasses import replace

import pytest

from juniperreel.platform.attempt import Attempt
from juniperreel.platform.config import parse_config
from juniperreel.platform.counters import CloseReason
from juniperreel.platform.log import Log
from juniperreel.platform.rule_monitor import RequestRecord, Rule, RuleMonitor
from juniperreel.routing.types import Idempotency, Outcome
from tests.platform.event_harness import MS, SEC, EventHarness, config_bytes, read_query, write_query

ID = "00000000000000f1"
SETTINGS = parse_config(config_bytes()).router
READ, _, WRITE = SETTINGS.classes
ONCE = replace(WRITE, idempotency=Idempotency.NON_IDEMPOTENT)
WINDOW_US = WRITE.deduplication_window_us
GRACE_US = SETTINGS.drain_grace_us


class MonitorHarness:
    """A rule monitor and the record of one request."""

    def __init__(self) -> None:
        self.log_output = io.StringIO()
        self.monitor = RuleMonitor(SETTINGS, Log(self.log_output))
        self.record = RequestRecord(READ)

    def write(
        self,
        number: int = 0,
        now_us: int = 0,
        left_us: int = SEC,
        stated_us: int = SEC,
        awaited: bool = True,
        withdrawn_since_us: int | None = None,
    ) -> None:
        self.monitor.on_query_written(
            ID,
            number,
            "a",
            self.record,
            now_us=now_us,
            left_us=left_us,
            stated_us=stated_us,
            awaited=awaited,
            withdrawn_since_us=withdrawn_since_us,
        )

    def write_again(self, record: RequestRecord, after_us: int, outcome: Outcome | None) -> None:
        """Write a second attempt `after_us` after the first, which ended with `outcome` (None: in flight)."""
        self.record = record
        self.write()
        if outcome is not None:
            self.monitor.on_attempt_ended(record, 0, outcome)
        self.write(number=1, now_us=after_us)


def write_many(harness: MonitorHarness, count: int) -> None:
    for number in range(count):
        harness.write(number)
        harness.monitor.on_attempt_ended(harness.record, number, Outcome.REJECTED)


@pytest.mark.parametrize(
    "rule, violate",
    [
        pytest.param(Rule.DROPPED, lambda harness: harness.write(awaited=False), id="nobody waits"),
        pytest.param(
            Rule.DROPPED,
            lambda harness: harness.monitor.on_answered(ID, 2 * SEC, SEC),
            id="answered too late",
        ),
        pytest.param(
            Rule.DROPPED,
            lambda harness: harness.monitor.on_client_closed([ID], "idle"),
            id="closed unanswered",
        ),
        pytest.param(
            Rule.DEADLINE,
            lambda harness: harness.write(left_us=100 * MS, stated_us=251 * MS),
            id="told too much",
        ),
        pytest.param(
            Rule.DRAINING,
            lambda harness: harness.write(now_us=GRACE_US + 51 * MS, withdrawn_since_us=0),
            id="after the grace",
        ),
        pytest.param(
            Rule.DUPLICATE, lambda harness: harness.write_again(RequestRecord(READ), 0, None), id="two out"
        ),
        pytest.param(
            Rule.DUPLICATE,
            lambda harness: harness.write_again(RequestRecord(ONCE), 0, Outcome.RESET),
            id="not to be repeated",
        ),
        pytest.param(
            Rule.DUPLICATE,
            lambda harness: harness.write_again(RequestRecord(WRITE), WINDOW_US + 51 * MS, Outcome.RESET),
            id="key forgotten",
        ),
        pytest.param(
            Rule.DUPLICATE,
            lambda harness: write_many(harness, SETTINGS.max_attempts + 1),
            id="too many attempts",
        ),
    ],
)
def test_violation_is_counted_and_logged(rule: Rule, violate: Callable[[MonitorHarness], None]) -> None:
    harness = MonitorHarness()
    violate(harness)
    assert harness.monitor.violations == {rule: 1}
    assert f'"rule":"{rule.value}"' in harness.log_output.getvalue()
    assert ID in harness.log_output.getvalue()


@pytest.mark.parametrize(
    "action",
    [
        pytest.param(
            lambda harness: harness.write(left_us=SEC, stated_us=SEC + 100 * MS), id="within the slack"
        ),
        pytest.param(
            lambda harness: harness.write(now_us=GRACE_US, withdrawn_since_us=0), id="within the grace"
        ),
        pytest.param(
            lambda harness: harness.write_again(RequestRecord(ONCE), SEC, Outcome.REJECTED),
            id="never executed",
        ),
        pytest.param(
            lambda harness: harness.write_again(RequestRecord(WRITE), WINDOW_US, Outcome.RESET),
            id="key remembered",
        ),
        pytest.param(
            lambda harness: harness.write_again(RequestRecord(READ), 60 * SEC, Outcome.RESET), id="repeatable"
        ),
        pytest.param(
            lambda harness: harness.monitor.on_answered(ID, SEC + 500 * MS, SEC), id="only worthless"
        ),
        pytest.param(lambda harness: write_many(harness, SETTINGS.max_attempts), id="as many as allowed"),
    ],
)
def test_permitted_behavior_is_not_counted(action: Callable[[MonitorHarness], None]) -> None:
    harness = MonitorHarness()
    action(harness)
    assert not harness.monitor.violations


# Integration with the driver.


def test_attempt_written_for_disconnected_client_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Attempt, "may_send", lambda _: True)
    monkeypatch.setattr(Attempt, "is_awaited", lambda _: True)
    monkeypatch.setattr(
        "juniperreel.platform.endpoint_connection.EndpointConnection.abandon", lambda *_: None
    )
    harness = EventHarness()
    client = harness.client(read_query(ID))
    (call,) = harness.busy_transports()
    harness.disconnect(client)
    harness.log_in(call)
    assert harness.driver.monitor.violations[Rule.DROPPED] == 1


def test_closing_connection_with_open_request_is_reported() -> None:
    harness = EventHarness()
    harness.client(write_query(ID))
    (client,) = harness.driver.client_listener.clients
    harness.driver.client_listener.remove(client, CloseReason.IDLE)
    assert harness.driver.monitor.violations == {Rule.DROPPED: 1}


def test_exit_with_open_request_is_reported() -> None:
    harness = EventHarness()
    harness.client(write_query(ID))
    harness.driver.report_unanswered()
    assert harness.driver.monitor.violations == {Rule.DROPPED: 1}


def test_client_disconnect_is_counted_but_is_no_violation() -> None:
    harness = EventHarness()
    harness.disconnect(harness.client(write_query(ID)))
    assert not harness.driver.monitor.violations
    assert harness.driver.counters.closed_clients == {CloseReason.CLIENT_LEFT: 1}


def test_request_steps_are_traced_with_ids_if_enabled() -> None:
    harness = EventHarness()
    harness.driver.log.tracing = True
    harness.client(read_query(ID))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    lines = harness.log_output.getvalue().splitlines()
    assert any('"event":"request taken"' in line and ID in line for line in lines)
    assert any('"event":"attempt written"' in line and ID in line for line in lines)
