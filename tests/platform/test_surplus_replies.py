"""What an endpoint sends behind its reply never becomes the reply to another query.

Guards against clients that get another request's value: an endpoint sent a second copy of a reply, which
arrived after the next query had been written on its connection and was taken for that query's reply.
"""

from __future__ import annotations

import pytest

from juniperreel.platform.endpoint_list import read_endpoint_list
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from juniperreel.routing.types import UpdateKind
from tests.platform.event_harness import (
    EMPTY_QUERY,
    HOSTS,
    MS,
    SEC,
    EventHarness,
    FakeTransport,
    list_entry,
    read_query,
    row_reply,
    write_query,
)

PRIMARY = HOSTS[0]
FIRST_ID, SECOND_ID = f"{1:016x}", f"{2:016x}"
FIRST_REPLY = row_reply(b"first", role="primary")
ERROR_REPLY = server.failed("XX000", "broken")
UNKNOWN_STATEMENT_REPLY = server.failed("08P01", "not in the form")


@pytest.fixture
def harness() -> EventHarness:
    return EventHarness(known={"seq": 3, "whole": True, "hosts": [PRIMARY]})


def new_connection(harness: EventHarness) -> FakeTransport:
    """Return the connection of the last exchange, which must be a new one, with its startup completed."""
    connection = harness.opened[-1][1]
    assert not connection.closed
    harness.log_in(connection)
    return connection


def answer_first_query(harness: EventHarness, kind: str, reply: bytes) -> FakeTransport:
    """Have the endpoint answer a first query of this kind; return the query's connection."""
    if kind == "health check":
        harness.driver.start_health_check("p")
        connection = new_connection(harness)
    else:
        harness.client(read_query(FIRST_ID) if kind == "read" else write_query(FIRST_ID))
        connection = new_connection(harness)
    harness.feed(connection, reply)
    return connection


def connection_of(harness: EventHarness, request_id: str) -> FakeTransport:
    """Return the connection that carries the request's query; complete the startup of new ones."""
    for connection in harness.busy_transports():
        query = connection.take() or harness.log_in(connection)
        if request_id.encode() in query:
            return connection
    pytest.fail("the query was not sent")


@pytest.mark.parametrize("kind", ["read", "write", "health check"])
@pytest.mark.parametrize(
    "reply, surplus",
    [
        (FIRST_REPLY, FIRST_REPLY),
        (FIRST_REPLY, FIRST_REPLY + FIRST_REPLY),
        (FIRST_REPLY, FIRST_REPLY[: len(FIRST_REPLY) // 2]),
        (FIRST_REPLY, b"\x00noise"),
        (FIRST_REPLY, m.READY),
        (FIRST_REPLY, ERROR_REPLY),
        (ERROR_REPLY, ERROR_REPLY),
        (UNKNOWN_STATEMENT_REPLY, UNKNOWN_STATEMENT_REPLY),
    ],
    ids=["copy", "two copies", "half a copy", "noise", "end", "error", "copied error", "copied violation"],
)
def test_late_surplus_of_a_reply_is_not_taken_for_the_next_reply(
    harness: EventHarness, kind: str, reply: bytes, surplus: bytes
) -> None:
    """Guards against values served to other requests: a copy came once its connection was in use again."""
    harness.answers_empty_queries = False
    first = answer_first_query(harness, kind, reply)
    client = harness.client(write_query(SECOND_ID, key="row-2"))
    connection = connection_of(harness, SECOND_ID)
    if not first.closed:
        harness.feed(first, surplus)
    assert client.take() == b""
    harness.feed(connection, row_reply(b"second", role="primary"))
    answer = client.take()
    assert b"second" in answer
    assert answer.count(m.READY) == 1
    harness.feed(client, m.query(write_query(f"{3:016x}", key="row-2")))
    assert first.closed


@pytest.mark.parametrize(
    "response",
    [
        server.empty_query_response(),
        m.EMPTY_QUERY + m.parameter("replication_role", "primary") + m.READY,
        UNKNOWN_STATEMENT_REPLY,  # of an endpoint that knows no empty queries
    ],
    ids=["usual", "with parameters", "protocol violation"],
)
def test_connection_is_reused_after_the_response_to_its_empty_query(
    harness: EventHarness, response: bytes
) -> None:
    harness.answers_empty_queries = False
    client = harness.client(write_query(FIRST_ID))
    connection = new_connection(harness)
    for number in range(2, 7):
        harness.feed(connection, row_reply(b"%d" % number, role="primary"))
        assert b"%d" % number in client.take()
        assert connection.take() == EMPTY_QUERY
        for byte in response:
            harness.feed(connection, bytes([byte]))
        harness.feed(client, m.query(write_query(f"{number:016x}")))
        assert f"{number:016x}".encode() in connection.take()
    assert len(harness.opened) == 1


def test_repeated_response_to_the_empty_query_fails_no_request(harness: EventHarness) -> None:
    client = harness.client(write_query(FIRST_ID))
    connection = new_connection(harness)
    harness.feed(connection, FIRST_REPLY)
    client.take()
    harness.feed(client, m.query(write_query(SECOND_ID)))
    assert SECOND_ID.encode() in connection.take()
    harness.feed(connection, m.EMPTY_QUERY + m.parameter("replication_role", "standby") + m.READY)
    harness.feed(connection, row_reply(b"second", role="primary"))
    assert b"second" in client.take()


def test_connection_without_response_to_its_empty_query_is_closed(harness: EventHarness) -> None:
    """Guards against descriptors held by connections whose endpoint has hung behind its reply."""
    harness.answers_empty_queries = False
    first = answer_first_query(harness, "write", FIRST_REPLY)
    assert not first.closed
    harness.advance_us(harness.config.connect_timeout_us + 500 * MS)
    assert first.closed
    assert harness.driver.budget.endpoint_connections == 0
    assert harness.driver.endpoint_pools.fields()["sync_timeouts"] == 1


def test_draining_endpoint_gets_no_empty_query(harness: EventHarness) -> None:
    """Guards against sending anything to a draining endpoint after the grace: its requests end later."""
    harness.client(write_query(FIRST_ID))
    connection = new_connection(harness)
    draining = {"seq": 4, "whole": False, "hosts": [{**list_entry("p", 1001), "health": "Terminating"}]}
    harness.driver.on_endpoint_update(UpdateKind.DELTA, read_endpoint_list(draining, ["east"], ["k"]))
    harness.process()
    harness.advance_us(3 * SEC // 2)
    harness.feed(connection, FIRST_REPLY)
    assert connection.take() == b""
    assert connection.closed


def test_connection_with_an_empty_query_out_makes_room_for_another() -> None:
    """Guards against requests that get no connection while unused ones hold the descriptors."""
    harness = EventHarness(limits={"cores": 0.5, "memory_mb": 64, "sockets": 64})
    harness.answers_empty_queries = False
    limit = harness.driver.budget.endpoint_limit
    for number in range(limit + 3):
        client = harness.client(write_query(f"{number:016x}", key=f"row-{number}"))
        harness.feed(connection_of(harness, f"{number:016x}"), row_reply(b"%d" % number, role="primary"))
        assert client.take().startswith(b"T")
        assert harness.driver.budget.endpoint_connections <= limit


def test_surplus_is_counted(harness: EventHarness) -> None:
    harness.answers_empty_queries = False
    first = answer_first_query(harness, "write", FIRST_REPLY)
    harness.feed(first, FIRST_REPLY)
    second = answer_first_query(harness, "health check", FIRST_REPLY + b"x")
    assert first.closed
    assert second.closed
    assert harness.driver.endpoint_pools.fields()["surplus_replies"] == 2
