"""The platform's driver by events: clients, members and the rules between them."""

from __future__ import annotations

from typing import Any

import pytest

from juniperreel.platform.endpoint_list import read_endpoint_list
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from juniperreel.routing.types import Action, Role, UpdateKind
from tests.platform.event_harness import (
    HELLO,
    HOSTS,
    MS,
    SEC,
    START_US,
    EventHarness,
    FakeTransport,
    entry,
    read_text,
    row,
    write_text,
)

IDS = [f"{n:016x}" for n in range(1, 40)]


@pytest.fixture
def harness() -> EventHarness:
    return EventHarness()


def served(sent: bytes) -> bool:
    return sent.startswith(b"T") and sent.endswith(m.READY)


def test_a_request_goes_to_a_member_and_its_answer_back_as_it_came(harness: EventHarness) -> None:
    client = harness.client(read_text(IDS[0]))
    (call,) = harness.busy_transports()
    query = harness.log_in(call)
    assert query == m.query(read_text(IDS[0], span=500))  # byte for byte, but for how long we wait
    answer = row(b"\0\xff")
    harness.feed(call, answer)
    got = client.take()
    assert served(got)
    assert got[:-6] in answer
    assert b"replication_role" not in got
    harness.feed(client, m.query(read_text(IDS[1])))
    assert len(harness.opened) in (1, 2)  # the connection is used again, where the draw says so


def test_pipelined_commands_are_in_hand_side_by_side_and_answered_in_order(harness: EventHarness) -> None:
    client = harness.client(*(read_text(n) for n in IDS[:3]), b"", b"SELECT 2")
    calls = {}
    for call in harness.busy_transports():
        query = call.take() or harness.log_in(call)
        calls[next(n for n in range(3) if IDS[n].encode() in query)] = call
    for n in (2, 0, 1):
        assert not client.sent or n == 1
        harness.feed(calls[n], row(b"%d" % n))
    got = client.take()
    places = [got.find(b"\0\0\0\x01%d" % n) for n in range(3)]
    assert 0 < places[0] < places[1] < places[2] < got.index(b"I\0\0\0\4") < got.index(b"C42601")


def test_a_command_behind_a_slow_one_keeps_its_own_deadline(harness: EventHarness) -> None:
    """Danger: sent at once and taken one by one, the last ones were taken after their clients had left."""
    client = harness.client(read_text(IDS[0], span=1900), *(read_text(n, span=900) for n in IDS[1:8]))
    harness.advance_us(950 * MS)
    assert set(harness.driver.requests.by_id) <= {
        IDS[0]
    }  # the others have their answers, behind the first one's
    harness.advance_us(1000 * MS)
    got = client.take()
    assert got.count(m.READY) == 8
    assert got.endswith(m.READY)


def test_a_read_behind_a_write_of_its_key_waits_for_it_and_others_do_not(harness: EventHarness) -> None:
    client = harness.client(
        write_text(IDS[0], key="one"),
        read_text(IDS[1], "own", key="one"),
        read_text(IDS[2], "own", key="two"),
    )
    assert set(harness.driver.requests.by_id) == {IDS[0], IDS[2]}
    for call in harness.busy_transports():
        query = call.take() or harness.log_in(call)
        if IDS[0].encode() in query:
            harness.feed(call, row(b"w", "primary", harness.time // MS))
    assert set(harness.driver.requests.by_id) == {IDS[1], IDS[2]}
    assert client.take().count(m.READY) == 1


def test_commands_beyond_the_limit_wait_unread(harness: EventHarness) -> None:
    from juniperreel.platform.client_connection import MAX_OPEN_COMMANDS

    client = harness.client(*(read_text(f"{n:016x}", span=700) for n in range(MAX_OPEN_COMMANDS + 20)))
    assert len(harness.driver.requests.by_id) == MAX_OPEN_COMMANDS
    harness.advance_us(4 * SEC)
    assert client.take().count(m.READY) == MAX_OPEN_COMMANDS + 20


@pytest.mark.parametrize("unread", [False, True], ids=["read", "left in the kernel"])
def test_time_that_a_command_waits_behind_the_limit_of_its_connection_counts(
    harness: EventHarness, unread: bool
) -> None:
    """Danger: an endpoint that is told more time than its client has left works for nobody."""
    from juniperreel.platform.client_connection import MAX_OPEN_COMMANDS, MAX_UNPARSED_BYTES

    client = harness.client(*(read_text(f"{n:016x}", span=700) for n in range(MAX_OPEN_COMMANDS)))
    last = f"{MAX_OPEN_COMMANDS:016x}"
    if unread:
        harness.feed(client, m.query(b" " * (MAX_UNPARSED_BYTES // 2)) * 3)
        assert client.reading_paused
        client.has_unread = True
    else:
        harness.feed(client, m.query(read_text(last, span=2000)))
    while client.reading_paused if unread else last not in harness.driver.requests.by_id:
        harness.advance_us(10 * MS)
    assert harness.time - START_US > 200 * MS
    if unread:
        harness.feed(client, m.query(read_text(last, span=2000)))
    assert harness.driver.requests.by_id[last].deadline_us <= START_US + 2000 * MS


def test_the_id_of_an_open_or_an_answered_request_is_refused_and_the_first_keeps_its_answer(
    harness: EventHarness,
) -> None:
    first = harness.client(read_text(IDS[0]))
    second = harness.client(read_text(IDS[0]))
    assert b"C42710" in second.take()
    assert len(harness.busy_transports()) == 1
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.feed(call, row())
    assert served(first.take())
    assert b"C42710" in harness.client(read_text(IDS[0])).take()


@pytest.mark.parametrize(
    "text",
    [
        read_text(IDS[0], "nothing"),
        read_text(IDS[0], "save"),
        read_text(IDS[0]).replace(b"t=acme", b"t=other"),
        read_text(IDS[0]).replace(b"cluster=0", b"cluster=9"),
        write_text(IDS[0]).replace(b"c=save", b"c=view"),
        write_text(IDS[0]).replace(b",k=" + IDS[0].encode(), b""),
        b"DROP TABLE objects",
    ],
)
def test_what_no_member_could_use_never_reaches_one(harness: EventHarness, text: bytes) -> None:
    got = harness.client(text).take()
    assert got.startswith(b"E")
    assert got.endswith(m.READY)
    assert b"C53300" not in got
    assert b"C57P03" not in got
    assert not harness.opened
    assert not harness.driver.requests.by_id


@pytest.mark.parametrize(
    "malformed",
    [
        b"\0\0\0\0",
        b"D" + m.UINT32.pack(3 << 30),
        row()[:-6] + b"Z\0\0\0\4",
    ],
)
def test_a_malformed_answer_reaches_no_client_and_its_connection_ends(
    harness: EventHarness, malformed: bytes
) -> None:
    client = harness.client(read_text(IDS[0]))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.feed(call, malformed)
    assert call.closed
    assert not client.sent
    harness.advance_us(100 * MS)
    (other,) = harness.busy_transports()
    assert other is not call
    harness.log_in(other)
    harness.feed(other, row(b"good"))
    assert served(client.take())


def test_more_than_an_answer_is_an_answer_and_the_end_of_its_connection(harness: EventHarness) -> None:
    client = harness.client(read_text(IDS[0]))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.feed(call, row() + row(b"other"))
    assert served(client.take())
    assert call.closed


def test_an_unreadable_report_or_position_is_left_out(harness: EventHarness) -> None:
    client = harness.client(read_text(IDS[0]))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    noise = m.parameter("pressure", "x0=,=,\x7f") + m.parameter("log_position", "-1e9")
    harness.feed(call, row().replace(m.READY, noise + m.READY))
    assert served(client.take())
    assert not call.closed


def test_a_late_answer_never_meets_the_next_request(harness: EventHarness) -> None:
    client = harness.client(read_text(IDS[0], span=300))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.advance_us(320 * MS)
    assert call.closed
    got = client.take()
    assert got.startswith(b"E")
    assert got.endswith(m.READY)
    assert not harness.driver.requests.by_id


def test_a_client_that_left_ends_its_attempt(harness: EventHarness) -> None:
    client = harness.client(read_text(IDS[0]))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.disconnect(client)
    assert call.closed
    assert not harness.driver.requests.by_id


def test_a_write_whose_connection_broke_is_failed_not_refused_when_its_key_is_forgotten(
    harness: EventHarness,
) -> None:
    client = harness.client(write_text(IDS[0]))
    (call,) = harness.busy_transports()
    assert harness.opened[0][0] == 1001  # the listed primary
    harness.log_in(call)
    harness.disconnect(call)
    harness.advance_us(3 * SEC)
    for other in harness.busy_transports():
        harness.disconnect(other)
    harness.advance_us(3 * SEC)
    got = client.take()
    assert got.startswith(b"E")
    assert b"C53300" not in got


def test_a_connection_that_broke_before_the_last_byte_left_ran_nothing(harness: EventHarness) -> None:
    harness.client(write_text(IDS[0]))
    (call,) = harness.busy_transports()
    call.unsent_bytes = 5
    harness.log_in(call)
    assert not next(iter(harness.driver.requests.by_id.values())).exchanges[0].sent
    harness.disconnect(call)
    assert IDS[0] in harness.driver.router.state.requests
    assert harness.driver.router.state.requests[IDS[0]].first_execution_us is None


def test_refusals_carry_a_wait_and_failures_do_not_look_like_them(harness: EventHarness) -> None:
    client = harness.client(read_text(IDS[0]), read_text(IDS[1]))
    harness.driver.reject(IDS[0], 120 * MS + 1, harness.time)
    got = client.take()
    assert b"C53300\0" in got
    assert b"D121\0" in got
    harness.process()
    harness.driver.fail(IDS[1])
    assert b"C08007\0" in client.take()


def test_a_flaw_of_the_module_answers_what_it_was_about_and_goes_on(harness: EventHarness) -> None:
    handle = harness.driver.router.handle

    def broken(_now: int, _events: Any) -> list[Action]:
        raise RuntimeError("planted")

    harness.driver.router.handle = broken  # type: ignore[method-assign,assignment]
    client = harness.client(read_text(IDS[0]))
    assert b"C58000\0" in client.take()
    assert "planted" in harness.out.getvalue()
    harness.driver.router.handle = handle  # type: ignore[method-assign]
    client = harness.client(read_text(IDS[1]))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.feed(call, row())
    assert served(client.take())


def test_silent_and_half_spoken_clients_end_within_their_time(harness: EventHarness) -> None:
    silent, half = FakeTransport(), FakeTransport()
    for transport in (silent, half):
        harness.driver.client_listener.accept(transport)
    harness.feed(half, HELLO + b"Q\0\0\0\x20SELE")
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


def test_hundreds_of_silent_connections_leave_room_for_those_that_ask(harness: EventHarness) -> None:
    limit = harness.driver.budget.client_limit
    transports = [FakeTransport() for _ in range(limit + 200)]
    for transport in transports:
        harness.driver.client_listener.accept(transport)
    assert harness.driver.budget.clients == limit
    client = harness.client(read_text(IDS[0]))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.feed(call, row())
    assert served(client.take())


def test_a_busy_client_that_talks_on_is_read_no_further(harness: EventHarness) -> None:
    client = harness.client(read_text(IDS[0]))
    for _ in range(6):
        harness.feed(client, b"x" * 65_536)
    assert client.reading_paused
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.feed(call, row())
    got = client.take()
    assert got.startswith(b"T")
    assert b"SFATAL" in got


def test_a_leaving_driver_cuts_deadlines_to_the_kill(harness: EventHarness) -> None:
    harness.driver.begin_shutdown()
    harness.advance_us(3000 * MS)
    client = harness.client(read_text(IDS[0], span=2000))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.advance_us(510 * MS)  # 0.2 s before the kill
    assert client.take().endswith(m.READY)


def test_members_that_go_and_come_at_another_address(harness: EventHarness) -> None:
    client = harness.client(read_text(IDS[0]))
    (call,) = harness.busy_transports()
    harness.log_in(call)
    harness.feed(call, row())
    assert served(client.take())
    assert not call.closed
    from juniperreel.platform.endpoint_list import read_endpoint_list
    from tests.platform.event_harness import entry

    moved = {"seq": 4, "whole": False, "hosts": [entry("a", 2002), entry("p", 2001)]}
    harness.driver.on_endpoint_update(UpdateKind.DELTA, read_endpoint_list(moved, ["east"], ["k"]))
    harness.process()
    assert call.closed
    harness.client(read_text(IDS[1]))
    assert harness.opened[-1][0] in (2001, 2002)


def test_a_failed_discovery_is_asked_again(harness: EventHarness) -> None:
    harness.advance_us(200 * MS)
    assert harness.discovery.calls == ["subscribe"]
    harness.driver.on_endpoint_update(UpdateKind.FAILED, None)
    harness.process()
    harness.advance_us(1500 * MS)
    assert harness.discovery.calls == ["subscribe", "subscribe"]


def test_the_answer_of_a_probe_is_a_report(harness: EventHarness) -> None:
    harness.driver.start_health_check("a")
    (call,) = harness.busy_transports()
    assert harness.log_in(call) == m.query(b"SHOW pressure")
    position = harness.time - 40 * MS
    harness.feed(call, row(b"x0=%.3f,x1=0,queue=3" % (position / SEC)))
    assert abs(harness.driver.router.state.endpoints["a"].position_us - position) <= MS
    assert harness.driver.router.state.endpoints["a"].role is Role.REPLICA
    assert server.STARTUP_RESPONSE  # nothing else was said


def test_what_is_kept_of_requests_and_members_is_bounded(harness: EventHarness) -> None:
    """Hours of new ids and of members that come and go leave no more than the last half minute of them."""
    for round_ in range(40):
        harness.advance_us(5 * SEC)
        fresh = entry(f"n{round_}", 2000 + round_, replication="standby")
        lists = {"seq": 10 + round_, "whole": True, "hosts": [*HOSTS, fresh]}
        harness.driver.on_endpoint_update(UpdateKind.SNAPSHOT, read_endpoint_list(lists, ["east"], ["k"]))
        harness.process()
        client = harness.client(read_text(f"{round_:016x}"))
        for call in harness.busy_transports():
            harness.log_in(call)
            harness.feed(call, row())
        harness.disconnect(client)
    harness.advance_us(2 * SEC)
    assert len(harness.driver.requests.answered_us) <= 7
    assert set(harness.driver.endpoint_pools.pools) == {"p", "a", "n39"}
    assert b"C42710" in harness.client(read_text(f"{39:016x}")).take()


def test_connections_to_endpoints_never_exceed_their_part_of_the_descriptors() -> None:
    """Danger: what they take beyond it, discovery lacks, and drains are not learned."""
    harness = EventHarness(limits={"cores": 0.5, "memory_mb": 64, "sockets": 64})
    limit = harness.driver.budget.endpoint_limit
    for number in range(20):
        texts = (read_text(f"{number:08x}{n:08x}", span=1500, key=f"row-{n}") for n in range(6))
        harness.client(*texts)
        harness.advance_us(20 * MS)
        assert harness.driver.budget.endpoint_connections <= limit
    harness.advance_us(4 * SEC)
    assert not harness.driver.requests.by_id  # all have their answers


def test_a_new_client_whose_request_waits_unread_is_not_evicted_for_the_next_one() -> None:
    harness = EventHarness(limits={"cores": 0.5, "memory_mb": 64, "sockets": 64})
    harness.driver.budget.active_client_limit = harness.driver.budget.client_limit
    for _ in range(harness.driver.budget.client_limit - 1):
        harness.client(b"")
    for client in harness.driver.client_listener.clients:
        client.last_active_us -= 3 * SEC
    asking = FakeTransport()
    harness.driver.client_listener.accept(asking)
    asking.has_unread = True
    harness.advance_us(MS)
    harness.driver.client_listener.accept(FakeTransport())
    assert not asking.closed
    assert harness.driver.budget.clients == harness.driver.budget.client_limit


def test_answers_that_a_client_reads_slowly_are_kept_and_the_rest_follows(harness: EventHarness) -> None:
    """Danger: closed for what it has not read yet, it loses all that was read from it."""
    count = 80
    client = harness.client(*(read_text(f"{n:016x}", span=1500, key=f"row-{n}") for n in range(count)))
    client.unsent_bytes = 2 << 20  # the kernel takes no more for now
    harness.advance_us(2 * SEC)
    assert not client.closed
    assert client.reading_paused
    client.unsent_bytes = 0
    harness.advance_us(3 * SEC)
    assert client.take().count(m.READY) == count
    assert not client.closed


def test_a_client_that_reads_nothing_for_long_is_closed(harness: EventHarness) -> None:
    client = harness.client(read_text(IDS[0]))
    client.unsent_bytes = 2 << 20
    harness.advance_us(15 * SEC)
    assert client.closed


def test_answers_that_nobody_reads_have_a_limit_over_all_clients(harness: EventHarness) -> None:
    clients = []
    for n in range(10):
        clients.append(harness.client(read_text(f"{n:016x}", key=f"row-{n}")))
        clients[-1].unsent_bytes = (n + 1) << 20
    harness.advance_us(SEC)
    assert sum(client.unsent_bytes for client in clients if not client.closed) <= 16 << 20
    assert not clients[0].closed
