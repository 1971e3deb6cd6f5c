"""The platform's driver, tested with events from clients and endpoints."""

from __future__ import annotations

from typing import Any

import pytest

from juniperreel.platform.endpoint_list import read_endpoint_list
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from juniperreel.routing.types import Action, Role, UpdateKind
from tests.platform.event_harness import (
    HOSTS,
    MS,
    SEC,
    START_US,
    STARTUP_MESSAGE,
    EventHarness,
    FakeTransport,
    list_entry,
    read_query,
    row_reply,
    write_query,
)

REQUEST_IDS = [f"{n:016x}" for n in range(1, 40)]


@pytest.fixture
def harness() -> EventHarness:
    return EventHarness()


def served(sent: bytes) -> bool:
    return sent.startswith(b"T") and sent.endswith(m.READY)


def test_request_and_answer_are_forwarded_unchanged(harness: EventHarness) -> None:
    client = harness.client(read_query(REQUEST_IDS[0]))
    (upstream,) = harness.busy_transports()
    query = harness.log_in(upstream)
    assert query == m.query(read_query(REQUEST_IDS[0], timeout_ms=500))  # unchanged except for the timeout
    answer = row_reply(b"\0\xff")
    harness.feed(upstream, answer)
    received = client.take()
    assert served(received)
    assert received[:-6] in answer
    assert b"replication_role" not in received
    harness.feed(client, m.query(read_query(REQUEST_IDS[1])))
    assert len(harness.opened) in (1, 2)  # reused if the same endpoint is selected


def test_pipelined_commands_run_concurrently_and_are_answered_in_order(harness: EventHarness) -> None:
    client = harness.client(*(read_query(n) for n in REQUEST_IDS[:3]), b"", b"SELECT 2")
    upstreams = {}
    for upstream in harness.busy_transports():
        query = upstream.take() or harness.log_in(upstream)
        upstreams[next(n for n in range(3) if REQUEST_IDS[n].encode() in query)] = upstream
    for n in (2, 0, 1):
        assert not client.sent or n == 1
        harness.feed(upstreams[n], row_reply(b"%d" % n))
    received = client.take()
    places = [received.find(b"\0\0\0\x01%d" % n) for n in range(3)]
    assert 0 < places[0] < places[1] < places[2] < received.index(b"I\0\0\0\4") < received.index(b"C42601")


def test_command_behind_slow_one_keeps_its_own_deadline(harness: EventHarness) -> None:
    """Guards against serial execution, with which pipelined commands start after their deadlines."""
    client = harness.client(
        read_query(REQUEST_IDS[0], timeout_ms=1900),
        *(read_query(n, timeout_ms=900) for n in REQUEST_IDS[1:8]),
    )
    harness.advance_us(950 * MS)
    assert set(harness.driver.requests.by_id) <= {
        REQUEST_IDS[0]
    }  # the others are answered, queued behind the first
    harness.advance_us(1000 * MS)
    received = client.take()
    assert received.count(m.READY) == 8
    assert received.endswith(m.READY)


def test_read_waits_only_for_preceding_write_of_same_key(harness: EventHarness) -> None:
    client = harness.client(
        write_query(REQUEST_IDS[0], key="one"),
        read_query(REQUEST_IDS[1], "own", key="one"),
        read_query(REQUEST_IDS[2], "own", key="two"),
    )
    assert set(harness.driver.requests.by_id) == {REQUEST_IDS[0], REQUEST_IDS[2]}
    for upstream in harness.busy_transports():
        query = upstream.take() or harness.log_in(upstream)
        if REQUEST_IDS[0].encode() in query:
            harness.feed(upstream, row_reply(b"w", "primary", harness.time // MS))
    assert set(harness.driver.requests.by_id) == {REQUEST_IDS[1], REQUEST_IDS[2]}
    assert client.take().count(m.READY) == 1


def test_commands_beyond_limit_stay_unparsed(harness: EventHarness) -> None:
    from juniperreel.platform.client_connection import MAX_OPEN_COMMANDS

    client = harness.client(*(read_query(f"{n:016x}", timeout_ms=700) for n in range(MAX_OPEN_COMMANDS + 20)))
    assert len(harness.driver.requests.by_id) == MAX_OPEN_COMMANDS
    harness.advance_us(4 * SEC)
    assert client.take().count(m.READY) == MAX_OPEN_COMMANDS + 20


@pytest.mark.parametrize("unread", [False, True], ids=["read", "left in the kernel"])
def test_time_waiting_behind_connection_limit_counts(harness: EventHarness, unread: bool) -> None:
    """Guards against a stated timeout beyond the client's remaining time, which wastes endpoint work."""
    from juniperreel.platform.client_connection import MAX_OPEN_COMMANDS, MAX_UNSENT_BYTES

    client = harness.client(*(read_query(f"{n:016x}", timeout_ms=700) for n in range(MAX_OPEN_COMMANDS)))
    last = f"{MAX_OPEN_COMMANDS:016x}"
    if unread:
        client.unsent_bytes = MAX_UNSENT_BYTES + 1  # reading is paused for clients that do not read
        harness.feed(client, m.query(b" "))
        assert client.reading_paused
        client.has_unread = True
    else:
        harness.feed(client, m.query(read_query(last, timeout_ms=2000)))
    while client.reading_paused if unread else last not in harness.driver.requests.by_id:
        harness.advance_us(10 * MS)
        if harness.time - START_US > 800 * MS:  # all are answered
            client.unsent_bytes = 0
    assert harness.time - START_US > 200 * MS
    if unread:
        harness.feed(client, m.query(read_query(last, timeout_ms=2000)))
    assert harness.driver.requests.by_id[last].deadline_us <= START_US + 2000 * MS


def test_duplicate_request_id_is_rejected_and_first_request_is_answered(
    harness: EventHarness,
) -> None:
    first = harness.client(read_query(REQUEST_IDS[0]))
    second = harness.client(read_query(REQUEST_IDS[0]))
    assert b"C42710" in second.take()
    assert len(harness.busy_transports()) == 1
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.feed(upstream, row_reply())
    assert served(first.take())
    assert b"C42710" in harness.client(read_query(REQUEST_IDS[0])).take()


@pytest.mark.parametrize(
    "text",
    [
        read_query(REQUEST_IDS[0], "nothing"),
        read_query(REQUEST_IDS[0], "save"),
        read_query(REQUEST_IDS[0]).replace(b"t=acme", b"t=other"),
        read_query(REQUEST_IDS[0]).replace(b"cluster=0", b"cluster=9"),
        write_query(REQUEST_IDS[0]).replace(b"c=save", b"c=view"),
        write_query(REQUEST_IDS[0]).replace(b",k=" + REQUEST_IDS[0].encode(), b""),
        b"DROP TABLE objects",
    ],
)
def test_invalid_requests_reach_no_endpoint(harness: EventHarness, text: bytes) -> None:
    received = harness.client(text).take()
    assert received.startswith(b"E")
    assert received.endswith(m.READY)
    assert b"C53300" not in received
    assert b"C57P03" not in received
    assert not harness.opened
    assert not harness.driver.requests.by_id


@pytest.mark.parametrize(
    "malformed",
    [
        b"\0\0\0\0",
        b"D" + m.UINT32.pack(3 << 30),
        row_reply()[:-6] + b"Z\0\0\0\4",
    ],
)
def test_malformed_reply_is_not_forwarded_and_closes_connection(
    harness: EventHarness, malformed: bytes
) -> None:
    client = harness.client(read_query(REQUEST_IDS[0]))
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.feed(upstream, malformed)
    assert upstream.closed
    assert not client.sent
    harness.advance_us(100 * MS)
    (other,) = harness.busy_transports()
    assert other is not upstream
    harness.log_in(other)
    harness.feed(other, row_reply(b"good"))
    assert served(client.take())


def test_extra_data_after_reply_closes_connection(harness: EventHarness) -> None:
    client = harness.client(read_query(REQUEST_IDS[0]))
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.feed(upstream, row_reply() + row_reply(b"other"))
    assert served(client.take())
    assert upstream.closed


def test_malformed_load_report_and_position_are_ignored(harness: EventHarness) -> None:
    client = harness.client(read_query(REQUEST_IDS[0]))
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    noise = m.parameter("pressure", "x0=,=,\x7f") + m.parameter("log_position", "-1e9")
    harness.feed(upstream, row_reply().replace(m.READY, noise + m.READY))
    assert served(client.take())
    assert not upstream.closed


def test_timed_out_attempt_closes_its_connection(harness: EventHarness) -> None:
    client = harness.client(read_query(REQUEST_IDS[0], timeout_ms=300))
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.advance_us(320 * MS)
    assert upstream.closed
    received = client.take()
    assert received.startswith(b"E")
    assert received.endswith(m.READY)
    assert not harness.driver.requests.by_id


def test_client_disconnect_aborts_attempt(harness: EventHarness) -> None:
    client = harness.client(read_query(REQUEST_IDS[0]))
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.disconnect(client)
    assert upstream.closed
    assert not harness.driver.requests.by_id


def test_write_of_unknown_effect_fails_after_deduplication_window(
    harness: EventHarness,
) -> None:
    client = harness.client(write_query(REQUEST_IDS[0]))
    (upstream,) = harness.busy_transports()
    assert harness.opened[0][0] == 1001  # the listed primary
    harness.log_in(upstream)
    harness.disconnect(upstream)
    harness.advance_us(3 * SEC)
    for other in harness.busy_transports():
        harness.disconnect(other)
    harness.advance_us(3 * SEC)
    received = client.take()
    assert received.startswith(b"E")
    assert b"C53300" not in received


def test_reset_before_last_byte_sent_means_not_executed(harness: EventHarness) -> None:
    harness.client(write_query(REQUEST_IDS[0]))
    (upstream,) = harness.busy_transports()
    upstream.unsent_bytes = 5
    harness.log_in(upstream)
    assert not next(iter(harness.driver.requests.by_id.values())).exchanges[0].sent
    harness.disconnect(upstream)
    assert REQUEST_IDS[0] in harness.driver.router.state.requests
    assert harness.driver.router.state.requests[REQUEST_IDS[0]].first_execution_us is None


def test_rejections_carry_retry_after_and_differ_from_failures(harness: EventHarness) -> None:
    client = harness.client(read_query(REQUEST_IDS[0]), read_query(REQUEST_IDS[1]))
    harness.driver.reject(REQUEST_IDS[0], 120 * MS + 1, harness.time)
    received = client.take()
    assert b"C53300\0" in received
    assert b"D121\0" in received
    harness.process()
    harness.driver.fail(REQUEST_IDS[1])
    assert b"C08007\0" in client.take()


def test_router_exception_fails_only_its_own_requests(harness: EventHarness) -> None:
    original_handle = harness.driver.router.handle

    def raising_handle(_now: int, _events: Any) -> list[Action]:
        raise RuntimeError("injected")

    harness.driver.router.handle = raising_handle  # type: ignore[method-assign,assignment]
    client = harness.client(read_query(REQUEST_IDS[0]))
    assert b"C58000\0" in client.take()
    assert "injected" in harness.log_output.getvalue()
    harness.driver.router.handle = original_handle  # type: ignore[method-assign]
    client = harness.client(read_query(REQUEST_IDS[1]))
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.feed(upstream, row_reply())
    assert served(client.take())


def test_silent_clients_and_incomplete_commands_time_out(harness: EventHarness) -> None:
    silent, half = FakeTransport(), FakeTransport()
    for transport in (silent, half):
        harness.driver.client_listener.accept(transport)
    harness.feed(half, STARTUP_MESSAGE + b"Q\0\0\0\x20SELE")
    asked = harness.client(b"")
    harness.advance_us(2500 * MS)
    for transport in (silent, half):
        assert transport.eof_written
        assert b"SFATAL" in transport.sent
    harness.advance_us(600 * MS)
    assert silent.closed
    assert half.closed
    assert not asked.closed
    assert harness.driver.budget.clients == 1


def test_silent_connections_are_evicted_for_active_clients(harness: EventHarness) -> None:
    limit = harness.driver.budget.client_limit
    transports = [FakeTransport() for _ in range(limit + 200)]
    for transport in transports:
        harness.driver.client_listener.accept(transport)
    assert harness.driver.budget.clients == limit
    client = harness.client(read_query(REQUEST_IDS[0]))
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.feed(upstream, row_reply())
    assert served(client.take())


def test_reading_pauses_for_busy_client_with_excess_input(harness: EventHarness) -> None:
    client = harness.client(read_query(REQUEST_IDS[0]))
    for _ in range(6):
        harness.feed(client, b"x" * 65_536)
    assert client.reading_paused
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.feed(upstream, row_reply())
    received = client.take()
    assert received.startswith(b"T")
    assert b"SFATAL" in received


def test_shutdown_shortens_deadlines_to_precede_kill(harness: EventHarness) -> None:
    harness.driver.begin_shutdown()
    harness.advance_us(3000 * MS)
    client = harness.client(read_query(REQUEST_IDS[0], timeout_ms=2000))
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.advance_us(510 * MS)  # 190 ms before the kill
    assert client.take().endswith(m.READY)


def test_endpoints_that_change_address_get_new_connections(harness: EventHarness) -> None:
    client = harness.client(read_query(REQUEST_IDS[0]))
    (upstream,) = harness.busy_transports()
    harness.log_in(upstream)
    harness.feed(upstream, row_reply())
    assert served(client.take())
    assert not upstream.closed
    from juniperreel.platform.endpoint_list import read_endpoint_list
    from tests.platform.event_harness import list_entry

    moved = {"seq": 4, "whole": False, "hosts": [list_entry("a", 2002), list_entry("p", 2001)]}
    harness.driver.on_endpoint_update(UpdateKind.DELTA, read_endpoint_list(moved, ["east"], ["k"]))
    harness.process()
    assert upstream.closed
    harness.client(read_query(REQUEST_IDS[1]))
    assert harness.opened[-1][0] in (2001, 2002)


def test_failed_discovery_call_is_retried(harness: EventHarness) -> None:
    harness.advance_us(200 * MS)
    assert harness.discovery.calls == ["subscribe"]
    harness.driver.on_endpoint_update(UpdateKind.FAILED, None)
    harness.process()
    harness.advance_us(1500 * MS)
    assert harness.discovery.calls == ["subscribe", "subscribe"]


def test_health_check_reply_is_read_as_load_report(harness: EventHarness) -> None:
    harness.driver.start_health_check("a")
    (upstream,) = harness.busy_transports()
    assert harness.log_in(upstream) == m.query(b"SHOW pressure")
    position = harness.time - 40 * MS
    harness.feed(upstream, row_reply(b"x0=%.3f,x1=0,queue=3" % (position / SEC)))
    assert abs(harness.driver.router.state.endpoints["a"].position_us - position) <= MS
    assert harness.driver.router.state.endpoints["a"].role is Role.REPLICA
    assert server.STARTUP_RESPONSE  # no other message was sent


def test_state_kept_for_requests_and_endpoints_is_bounded(harness: EventHarness) -> None:
    """After many new ids and replaced endpoints, only those of the last 30 s are retained."""
    for cycle in range(40):
        harness.advance_us(5 * SEC)
        fresh = list_entry(f"n{cycle}", 2000 + cycle, replication="standby")
        lists = {"seq": 10 + cycle, "whole": True, "hosts": [*HOSTS, fresh]}
        harness.driver.on_endpoint_update(UpdateKind.SNAPSHOT, read_endpoint_list(lists, ["east"], ["k"]))
        harness.process()
        client = harness.client(read_query(f"{cycle:016x}"))
        for upstream in harness.busy_transports():
            harness.log_in(upstream)
            harness.feed(upstream, row_reply())
        harness.disconnect(client)
    harness.advance_us(2 * SEC)
    assert len(harness.driver.requests.answered_ids) <= 7
    assert set(harness.driver.endpoint_pools.pools) == {"p", "a", "n39"}
    assert b"C42710" in harness.client(read_query(f"{39:016x}")).take()


def test_endpoint_connections_never_exceed_their_descriptor_limit() -> None:
    """Guards against descriptors taken from discovery, without which drains go unnoticed."""
    harness = EventHarness(limits={"cores": 0.5, "memory_mb": 64, "sockets": 64})
    limit = harness.driver.budget.endpoint_limit
    for number in range(20):
        texts = (read_query(f"{number:08x}{n:08x}", timeout_ms=1500, key=f"row-{n}") for n in range(6))
        harness.client(*texts)
        harness.advance_us(20 * MS)
        assert harness.driver.budget.endpoint_connections <= limit
    harness.advance_us(4 * SEC)
    assert not harness.driver.requests.by_id  # all are answered


def test_new_client_with_unread_request_is_not_evicted() -> None:
    harness = EventHarness(limits={"cores": 0.5, "memory_mb": 64, "sockets": 64})
    harness.driver.budget.active_client_limit = harness.driver.budget.client_limit
    for _ in range(harness.driver.budget.client_limit - 1):
        harness.client(b"")
    for client in harness.driver.client_listener.clients:
        client.last_active_us -= 3 * SEC
    new_client = FakeTransport()
    harness.driver.client_listener.accept(new_client)
    new_client.has_unread = True
    harness.advance_us(MS)
    harness.driver.client_listener.accept(FakeTransport())
    assert not new_client.closed
    assert harness.driver.budget.clients == harness.driver.budget.client_limit


def test_slow_reader_receives_all_answers(harness: EventHarness) -> None:
    """Guards against closing a slow reader, which would lose the answers to all its commands."""
    count = 80
    client = harness.client(*(read_query(f"{n:016x}", timeout_ms=1500, key=f"row-{n}") for n in range(count)))
    client.unsent_bytes = 2 << 20  # the kernel accepts no more for now
    harness.advance_us(2 * SEC)
    assert not client.closed
    assert client.reading_paused
    client.unsent_bytes = 0
    harness.advance_us(3 * SEC)
    assert client.take().count(m.READY) == count
    assert not client.closed


def test_client_that_reads_nothing_is_closed_after_timeout(harness: EventHarness) -> None:
    client = harness.client(read_query(REQUEST_IDS[0]))
    client.unsent_bytes = 2 << 20
    harness.advance_us(15 * SEC)
    assert client.closed


def test_unread_answers_are_limited_across_clients(harness: EventHarness) -> None:
    clients = []
    for n in range(10):
        clients.append(harness.client(read_query(f"{n:016x}", key=f"row-{n}")))
        clients[-1].unsent_bytes = (n + 1) << 20
    harness.advance_us(SEC)
    assert sum(client.unsent_bytes for client in clients if not client.closed) <= 16 << 20
    assert not clients[0].closed
