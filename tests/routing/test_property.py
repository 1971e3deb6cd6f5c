"""Property test: the five safety rules hold under random valid event sequences."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.routing.types import Action, Cancel, Consistency, Fail, Idempotency, KeyScope, Reject, Send
from tests.routing.router_script import MS
from tests.routing.simulation import RequestRecord, Simulation

STEPS = 150
DRAIN_STEPS = 60


def check_action(simulation: Simulation, action: Action) -> None:
    """Assert that an action keeps the safety rules, given the state before it."""
    match action:
        case Cancel():
            attempts = simulation.requests[action.request].attempt_count
            assert 0 <= action.attempt < attempts, "cancelled an attempt that was never started"
        case Reject():
            check_is_open(simulation, action)
            check_rejected_is_safe_to_retry(simulation, simulation.requests[action.request])
        case Fail():
            check_is_open(simulation, action)
        case Send():
            check_is_open(simulation, action)
            check_send(simulation, action)


def check_is_open(simulation: Simulation, action: Reject | Fail | Send) -> None:
    """Assert that the request has no final answer yet: nothing may follow one."""
    assert simulation.requests[action.request].is_open


def check_rejected_is_safe_to_retry(simulation: Simulation, record: RequestRecord) -> None:
    """Assert that a possibly executed request is rejected only if a retry is deduplicated."""
    in_flight = simulation.has_attempt_in_flight(record.request.id)
    may_be_executed = record.first_execution is not None or in_flight
    if record.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        assert not may_be_executed
    elif record.request_class.idempotency is Idempotency.KEYED and may_be_executed:
        assert record.request_class.key_scope is KeyScope.ALL


def check_send(simulation: Simulation, action: Send) -> None:
    """Assert that an attempt is permitted on its endpoint."""
    record = simulation.requests[action.request]
    assert record.attempt_count < simulation.settings.max_attempts
    assert not simulation.has_attempt_in_flight(action.request), "two attempts in flight"
    draining_since_us = simulation.fleet.draining_since_us.get(action.endpoint)
    if draining_since_us is not None:
        assert simulation.now_us - draining_since_us < simulation.settings.drain_grace_us
    check_retry_is_safe(simulation, record, action.endpoint)
    check_freshness(simulation, record, action.endpoint)


def check_retry_is_safe(simulation: Simulation, record: RequestRecord, name: str) -> None:
    """Assert that a possibly executed request is resent only where its idempotency key is recognised."""
    request_class = record.request_class
    execution = record.first_execution
    if execution is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return
    assert request_class.idempotency is Idempotency.KEYED
    assert simulation.now_us <= execution.sent_us + request_class.deduplication_window_us
    zones = simulation.fleet.zones
    assert request_class.key_scope is not KeyScope.ZONE or zones[execution.endpoint] == zones[name]


def check_freshness(simulation: Simulation, record: RequestRecord, name: str) -> None:
    """Assert that the endpoint's true position satisfies the read, or that it may pass for the primary."""
    request_class = record.request_class
    position_us = simulation.fleet.positions_us[name]
    excused = simulation.fleet.may_be_taken_for_primary(name)
    if not excused and request_class.consistency is Consistency.BOUNDED:
        assert simulation.now_us - position_us <= request_class.max_staleness_us
    elif not excused and request_class.consistency is Consistency.SESSION:
        assert position_us >= record.required_position_us
    elif request_class.consistency is Consistency.FRESH:
        assert excused


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(
    seed=st.integers(0, 2**32),
    cancellation=st.booleans(),
    health_checks=st.booleans(),
    must_poll=st.booleans(),
    removed_endpoints_serve=st.booleans(),
)
def test_safety_rules_under_random_events_hold(
    seed: int, cancellation: bool, health_checks: bool, must_poll: bool, removed_endpoints_serve: bool
) -> None:
    simulation = Simulation(
        seed,
        check_action,
        cancellation=cancellation,
        health_checks=health_checks,
        must_poll=must_poll,
        removed_endpoints_serve=removed_endpoints_serve,
    )
    simulation.start()
    for _ in range(STEPS):
        simulation.step()
    simulation.now_us += 1 * MS
    submitted = len(simulation.requests)
    for _ in range(DRAIN_STEPS):
        simulation.drain_step()
    ended = [record for record in simulation.requests.values() if not record.is_open]
    assert not simulation.open_requests(), "requests without a final answer"
    assert len(ended) == submitted
