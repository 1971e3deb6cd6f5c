"""Connections that make room for new ones: which are closed, and what it costs to find them.

Guards against usual clients that are answered late or never: with 600 connections that stop within a command
and others that come as soon as one is closed, three quarters of the event loop's time went into the search
for a connection to close, which looked at each of them for each new one.
"""

from __future__ import annotations

import pytest

from juniperreel.platform.eviction import MAX_CHECKS, SHORTAGE_IDLE_TIMEOUT_US, EvictionOrder
from juniperreel.postgres import messages as m
from tests.platform.event_harness import STARTUP_MESSAGE, EventHarness, FakeTransport, write_query

NOW_US = 10 * SHORTAGE_IDLE_TIMEOUT_US
NEW_CLIENTS = 20
HALF_COMMAND = m.query(write_query("1" * 16))[:-10]


class CountingTransport(FakeTransport):
    """Counts how often any of them is looked at."""

    checks = 0

    @property
    def write_buffer_size(self) -> int:
        CountingTransport.checks += 1
        return super().write_buffer_size

    def has_nothing_to_read(self) -> bool:
        CountingTransport.checks += 1
        return super().has_nothing_to_read()


def accept(harness: EventHarness, data: bytes) -> CountingTransport:
    transport = CountingTransport()
    harness.time += 1
    harness.driver.client_listener.accept(transport)
    if data and not transport.closed:
        harness.feed(transport, data)
    return transport


@pytest.mark.parametrize(
    "data",
    [b"", STARTUP_MESSAGE, STARTUP_MESSAGE[:-1], STARTUP_MESSAGE + HALF_COMMAND],
    ids=["silent", "startup only", "half a startup", "half a command"],
)
def test_cost_of_room_for_a_client_does_not_grow_with_their_number(data: bytes) -> None:
    """Guards against an event loop that is busy with the search for connections to close."""
    harness = EventHarness(limits={"cores": 0.85, "memory_mb": 64, "sockets": 1024})
    clients = [accept(harness, data) for _ in range(harness.driver.budget.client_limit)]
    assert harness.driver.budget.clients_full
    CountingTransport.checks = 0
    newer = [accept(harness, data) for _ in range(NEW_CLIENTS)]
    assert CountingTransport.checks <= NEW_CLIENTS * 4 * MAX_CHECKS
    assert not any(transport.closed for transport in newer)
    assert [transport.closed for transport in clients[:NEW_CLIENTS]] == [True] * NEW_CLIENTS
    assert not any(transport.closed for transport in clients[NEW_CLIENTS:])


class StubClient:
    """A connection in a given state."""

    def __init__(self, last_active_us: int = 0, unsent: int = 0, unread: bool = False) -> None:
        self.last_active_us = last_active_us
        self.unsent_bytes = unsent
        self.unread = unread

    @property
    def is_idle(self) -> bool:
        return not self.unread and not self.unsent_bytes

    def has_unread_bytes(self) -> bool:
        return self.unread


def test_connections_are_evicted_in_order_of_their_value() -> None:
    order: EvictionOrder[StubClient] = EvictionOrder()
    partial, idle, silent, closing = (StubClient() for _ in range(4))
    for client in (partial, idle, silent, closing):
        order.on_accepted(client)
    order.on_first_command_incomplete(partial)
    order.on_command_received(idle)
    order.on_commands_answered(idle)
    order.on_closing(closing)
    for expected in (closing, silent, idle, partial):
        assert order.find(NOW_US) is expected
        order.remove(expected)
    assert order.find(NOW_US) is None


def test_connections_in_use_are_not_evicted() -> None:
    """Guards against lost requests: input that was not read yet, and answers that were not sent yet."""
    order: EvictionOrder[StubClient] = EvictionOrder()
    unread, partly_unread, unsent, active, busy = (
        StubClient(unread=True),
        StubClient(unread=True),
        StubClient(unsent=1),
        StubClient(last_active_us=NOW_US - SHORTAGE_IDLE_TIMEOUT_US),
        StubClient(),
    )
    for client in (unread, partly_unread, unsent, active, busy):
        order.on_accepted(client)
    order.on_first_command_incomplete(partly_unread)
    order.on_closing(unsent)
    for client in (active, busy):
        order.on_command_received(client)
    order.on_commands_answered(active)
    assert order.find(NOW_US) is None
    order.on_commands_answered(busy)
    assert order.find(NOW_US) is busy
