"""Clients that send hundreds of commands at once do not delay the answers to others.

Guards against answers after their time: one iteration of the event loop read 64 commands of every connection
before it handled a timer, a reply or another client. Observed beside 80 clients with 300 writes each: answers
0.6 to 3 s late, or never.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from juniperreel.net.stall_monitor import NEW_WORK_BUDGET_US
from juniperreel.platform.command import Command
from juniperreel.postgres import messages as m
from juniperreel.postgres.request_format import StatementRequest
from tests.platform.event_harness import (
    MS,
    SEC,
    STARTUP_MESSAGE,
    EventHarness,
    FakeTransport,
    read_query,
    write_query,
)

REQUEST_COST_US = 500  # of processor time, for reading and routing one request
BAD_CLIENTS = 80
COMMANDS = 300
READ_BYTES = 64 << 10
ANSWER_SLACK_US = 60 * MS  # after the deadline, within which an answer is in time
# An iteration may end with the group of commands that was begun within its time.
LONGEST_ITERATION_US = NEW_WORK_BUDGET_US + 16 * REQUEST_COST_US


class BusyHarness(EventHarness):
    """A driver whose clock advances with the work that it does."""

    def __init__(self) -> None:
        super().__init__(limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024})
        self.longest_iteration_us = 0
        submit = self.driver.submit

        def submit_at_cost(command: Command, statement: StatementRequest) -> None:
            self.time += REQUEST_COST_US
            submit(command, statement)

        self.driver.submit = submit_at_cost  # type: ignore[method-assign]

    def iterate(self, *deliveries: Callable[[], None]) -> None:
        """Run one iteration of the event loop, in which sockets deliver input."""
        started_us = self.time
        self.driver.input_ready_since_us = started_us
        for deliver in deliveries:
            deliver()
        self.driver.process_pending()
        self.longest_iteration_us = max(self.longest_iteration_us, self.time - started_us)
        self.time += 1

    def connect(self) -> FakeTransport:
        transport = FakeTransport()
        self.driver.client_listener.accept(transport)
        self.iterate(partial(receive, transport, STARTUP_MESSAGE))
        transport.take()
        return transport


def receive(transport: FakeTransport, data: bytes) -> None:
    assert transport.protocol is not None
    transport.protocol.data_received(data)


def crowd_input(harness: BusyHarness) -> list[Callable[[], None]]:
    """Connect the crowd; return the deliveries of all that it sends at once."""
    clients = [harness.connect() for _ in range(BAD_CLIENTS)]
    deliveries: list[Callable[[], None]] = []
    for place, client in enumerate(clients):
        names = [f"{place:08x}{number:08x}" for number in range(COMMANDS)]
        data = b"".join(m.query(write_query(name, key=f"row-{name}")) for name in names)
        assert len(data) < READ_BYTES  # one read delivers it
        deliveries.append(partial(receive, client, data))
    return deliveries


@pytest.fixture
def harness() -> BusyHarness:
    return BusyHarness()


def is_sent(harness: EventHarness, request: str) -> bool:
    """Return whether an endpoint has the request's query; complete the startup of new connections."""
    for transport in harness.busy_transports():
        if not transport.sent:
            harness.log_in(transport)
    request_state = harness.driver.requests.by_id.get(request)
    return request_state is not None and bool(request_state.record.attempts)


def test_client_with_one_request_is_served_before_those_with_hundreds(harness: BusyHarness) -> None:
    usual = harness.connect()
    deliveries = crowd_input(harness)
    deadline_us = harness.time + 800 * MS
    harness.iterate(*deliveries, lambda: receive(usual, m.query(read_query("f" * 16, timeout_ms=800))))
    while not is_sent(harness, "f" * 16):
        assert harness.time < deadline_us
        harness.iterate()
    assert harness.longest_iteration_us <= LONGEST_ITERATION_US


def test_answers_that_are_due_leave_in_time_beside_a_crowd(harness: BusyHarness) -> None:
    usual = harness.connect()
    harness.iterate(lambda: receive(usual, m.query(write_query("f" * 16, timeout_ms=300, key="row-usual"))))
    due_us = harness.time + 300 * MS
    deliveries = crowd_input(harness)
    harness.iterate(*deliveries)
    while not usual.sent and harness.time <= due_us + ANSWER_SLACK_US:
        harness.iterate()
    assert usual.sent
    assert harness.time <= due_us + ANSWER_SLACK_US


def test_crowd_is_answered_in_order_and_completely(harness: BusyHarness) -> None:
    deliveries = crowd_input(harness)
    clients = [
        client._transport
        for client in harness.driver.client_listener.clients
        if isinstance(client._transport, FakeTransport)
    ]
    harness.iterate(*deliveries)
    end_us = harness.time + 30 * SEC
    while harness.time < end_us and harness.driver.next_due_us() is not None:
        due_us = harness.driver.next_due_us() or 0
        harness.time = max(harness.time, due_us)
        harness.iterate()
        if all(client.sent.count(m.READY) == COMMANDS for client in clients):
            break
    assert [client.sent.count(m.READY) for client in clients] == [COMMANDS] * BAD_CLIENTS
    assert harness.longest_iteration_us <= LONGEST_ITERATION_US
    assert harness.driver.client_listener.overload_refusals > 0


def test_commands_that_arrived_during_a_suspension_are_not_refused_for_overload(harness: BusyHarness) -> None:
    client = harness.connect()
    names = [f"{number:016x}" for number in range(40)]
    data = b"".join(m.query(read_query(name, key=f"row-{name}")) for name in names)
    harness.time += 150 * MS
    harness.iterate(lambda: receive(client, data))
    harness.time += 150 * MS
    for _ in range(5):
        harness.iterate()
    assert harness.driver.client_listener.overload_refusals == 0
    assert harness.driver.client_listener.intake.is_empty
