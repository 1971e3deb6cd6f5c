"""The platform's driver by events: clients, members and the rules between them."""

from __future__ import annotations

from typing import Any

import pytest

from juniperreel.platform.endpoints import read
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from juniperreel.routing.types import (
    Action,
    Role,
    UpdateKind,
)
from tests.platform.peers import (
    HELLO,
    HOSTS,
    MS,
    SEC,
    FakeWire,
    World,
    entry,
    read_text,
    row,
    write_text,
)

IDS = [f"{n:016x}" for n in range(1, 40)]


@pytest.fixture
def world() -> World:
    return World()


def served(sent: bytes) -> bool:
    return sent.startswith(b"T") and sent.endswith(m.READY)


def test_a_request_goes_to_a_member_and_its_answer_back_as_it_came(world: World) -> None:
    client = world.client(read_text(IDS[0]))
    (call,) = world.calls()
    query = world.up(call)
    assert query == m.query(read_text(IDS[0], span=500))  # byte for byte, but for how long we wait
    answer = row(b"\0\xff")
    world.say(call, answer)
    got = client.take()
    assert served(got) and got[:-6] in answer and b"replication_role" not in got
    world.say(client, m.query(read_text(IDS[1])))
    assert len(world.dialled) in (1, 2)  # the connection is used again, where the draw says so


def test_pipelined_commands_are_in_hand_side_by_side_and_answered_in_order(world: World) -> None:
    client = world.client(*(read_text(n) for n in IDS[:3]), b"", b"SELECT 2")
    calls = {}
    for call in world.calls():
        query = call.take() or world.up(call)
        calls[next(n for n in range(3) if IDS[n].encode() in query)] = call
    for n in (2, 0, 1):
        assert not client.sent or n == 1
        world.say(calls[n], row(b"%d" % n))
    got = client.take()
    places = [got.find(b"\0\0\0\x01%d" % n) for n in range(3)]
    assert 0 < places[0] < places[1] < places[2] < got.index(b"I\0\0\0\4") < got.index(b"C42601")


def test_a_command_behind_a_slow_one_keeps_its_own_deadline(world: World) -> None:
    """Danger: sent at once and taken one by one, the last ones were taken after their clients had left."""
    client = world.client(read_text(IDS[0], span=1900), *(read_text(n, span=900) for n in IDS[1:8]))
    world.pass_us(950 * MS)
    assert set(world.driver.open) <= {IDS[0]}  # the others have their answers, behind the first one's
    world.pass_us(1000 * MS)
    got = client.take()
    assert got.count(m.READY) == 8 and got.endswith(m.READY)


def test_a_read_behind_a_write_of_its_key_waits_for_it_and_others_do_not(world: World) -> None:
    client = world.client(
        write_text(IDS[0], key="one"),
        read_text(IDS[1], "own", key="one"),
        read_text(IDS[2], "own", key="two"),
    )
    assert set(world.driver.open) == {IDS[0], IDS[2]}
    for call in world.calls():
        query = call.take() or world.up(call)
        if IDS[0].encode() in query:
            world.say(call, row(b"w", "primary", world.time // MS))
    assert set(world.driver.open) == {IDS[1], IDS[2]}
    assert client.take().count(m.READY) == 1


def test_commands_beyond_the_limit_wait_unread(world: World) -> None:
    from juniperreel.platform.front import PIPELINE

    client = world.client(*(read_text(f"{n:016x}", span=700) for n in range(PIPELINE + 20)))
    assert len(world.driver.open) == PIPELINE
    world.pass_us(4 * SEC)
    assert client.take().count(m.READY) == PIPELINE + 20


def test_the_id_of_an_open_or_an_answered_request_is_refused_and_the_first_keeps_its_answer(
    world: World,
) -> None:
    first = world.client(read_text(IDS[0]))
    second = world.client(read_text(IDS[0]))
    assert b"C42710" in second.take() and len(world.calls()) == 1
    (call,) = world.calls()
    world.up(call)
    world.say(call, row())
    assert served(first.take())
    assert b"C42710" in world.client(read_text(IDS[0])).take()


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
def test_what_no_member_could_use_never_reaches_one(world: World, text: bytes) -> None:
    got = world.client(text).take()
    assert got.startswith(b"E") and got.endswith(m.READY)
    assert b"C53300" not in got and b"C57P03" not in got
    assert not world.dialled and not world.driver.open


@pytest.mark.parametrize(
    ("spoilt", "again"),
    [
        (b"\0\0\0\0", True),
        (b"D" + m.UINT32.pack(3 << 30), True),
        (row()[:-6] + b"Z\0\0\0\4", True),
    ],
)
def test_a_spoilt_answer_reaches_no_client_and_its_connection_ends(
    world: World, spoilt: bytes, again: bool
) -> None:
    client = world.client(read_text(IDS[0]))
    (call,) = world.calls()
    world.up(call)
    world.say(call, spoilt)
    assert call.closed and not client.sent
    world.pass_us(100 * MS)
    (other,) = world.calls()
    assert other is not call
    world.up(other)
    world.say(other, row(b"good"))
    assert served(client.take())


def test_more_than_an_answer_is_an_answer_and_the_end_of_its_connection(world: World) -> None:
    client = world.client(read_text(IDS[0]))
    (call,) = world.calls()
    world.up(call)
    world.say(call, row() + row(b"other"))
    assert served(client.take()) and call.closed


def test_an_unreadable_report_or_position_is_left_out(world: World) -> None:
    client = world.client(read_text(IDS[0]))
    (call,) = world.calls()
    world.up(call)
    noise = m.parameter("pressure", "x0=,=,\x7f") + m.parameter("log_position", "-1e9")
    world.say(call, row().replace(m.READY, noise + m.READY))
    assert served(client.take()) and not call.closed


def test_a_late_answer_never_meets_the_next_request(world: World) -> None:
    client = world.client(read_text(IDS[0], span=300))
    (call,) = world.calls()
    world.up(call)
    world.pass_us(320 * MS)
    assert call.closed
    got = client.take()
    assert got.startswith(b"E") and got.endswith(m.READY)
    assert not world.driver.open


def test_a_client_that_left_ends_its_attempt(world: World) -> None:
    client = world.client(read_text(IDS[0]))
    (call,) = world.calls()
    world.up(call)
    world.end(client)
    assert call.closed and not world.driver.open


def test_a_write_whose_connection_broke_is_failed_not_refused_when_its_key_is_forgotten(world: World) -> None:
    client = world.client(write_text(IDS[0]))
    (call,) = world.calls()
    assert world.dialled[0][0] == 1001  # the listed primary
    world.up(call)
    world.end(call)
    world.pass_us(3 * SEC)
    for other in world.calls():
        world.end(other)
    world.pass_us(3 * SEC)
    got = client.take()
    assert got.startswith(b"E") and b"C53300" not in got


def test_a_connection_that_broke_before_the_last_byte_left_ran_nothing(world: World) -> None:
    world.client(write_text(IDS[0]))
    (call,) = world.calls()
    call.stuck = 5
    world.up(call)
    assert not next(iter(world.driver.open.values())).out[0].written
    world.end(call)
    assert IDS[0] in world.driver.router.requests
    assert world.driver.router.requests[IDS[0]].ran_us is None


def test_refusals_carry_a_wait_and_failures_do_not_look_like_them(world: World) -> None:
    client = world.client(read_text(IDS[0]), read_text(IDS[1]))
    world.driver.reject(IDS[0], 120 * MS + 1, world.time)
    got = client.take()
    assert b"C53300\0" in got and b"D121\0" in got
    world.turn()
    world.driver.fail(IDS[1])
    assert b"C08007\0" in client.take()


def test_a_flaw_of_the_module_answers_what_it_was_about_and_goes_on(world: World) -> None:
    handle = world.driver.router.handle

    def broken(now: int, events: Any) -> list[Action]:
        raise RuntimeError("planted")

    world.driver.router.handle = broken  # type: ignore[method-assign,assignment]
    client = world.client(read_text(IDS[0]))
    assert b"C58000\0" in client.take() and "planted" in world.out.getvalue()
    world.driver.router.handle = handle  # type: ignore[method-assign]
    client = world.client(read_text(IDS[1]))
    (call,) = world.calls()
    world.up(call)
    world.say(call, row())
    assert served(client.take())


def test_silent_and_half_spoken_clients_end_within_their_time(world: World) -> None:
    silent, half = FakeWire(), FakeWire()
    for wire in (silent, half):
        world.driver.front.welcome(wire)
    world.say(half, HELLO + b"Q\0\0\0\x20SELE")
    asked = world.client(b"")
    world.pass_us(2500 * MS)
    for wire in (silent, half):
        assert wire.finished and b"SFATAL" in wire.sent
    world.pass_us(600 * MS)
    assert silent.closed and half.closed and not asked.closed
    assert world.driver.budget.clients == 1


def test_hundreds_of_silent_connections_leave_room_for_those_that_ask(world: World) -> None:
    limit = world.driver.budget.client_limit
    wires = [FakeWire() for _ in range(limit + 200)]
    for wire in wires:
        world.driver.front.welcome(wire)
    assert world.driver.budget.clients == limit
    client = world.client(read_text(IDS[0]))
    (call,) = world.calls()
    world.up(call)
    world.say(call, row())
    assert served(client.take())


def test_a_busy_client_that_talks_on_is_read_no_further(world: World) -> None:
    client = world.client(read_text(IDS[0]))
    for _ in range(6):
        world.say(client, b"x" * 65_536)
    assert client.paused
    (call,) = world.calls()
    world.up(call)
    world.say(call, row())
    got = client.take()
    assert got.startswith(b"T") and b"SFATAL" in got  # its answer first


def test_a_leaving_driver_cuts_deadlines_to_the_kill(world: World) -> None:
    world.driver.leave()
    world.pass_us(3000 * MS)
    client = world.client(read_text(IDS[0], span=2000))
    (call,) = world.calls()
    world.up(call)
    world.pass_us(510 * MS)  # 0.2 s before the kill
    assert client.take().endswith(m.READY)


def test_members_that_go_and_come_at_another_address(world: World) -> None:
    client = world.client(read_text(IDS[0]))
    (call,) = world.calls()
    world.up(call)
    world.say(call, row())
    assert served(client.take()) and not call.closed
    from juniperreel.platform.endpoints import read as read_list
    from tests.platform.peers import entry

    moved = {"seq": 4, "whole": False, "hosts": [entry("a", 2002), entry("p", 2001)]}
    world.driver.told(UpdateKind.DELTA, read_list(moved, ["east"], ["k"]))
    world.turn()
    assert call.closed
    world.client(read_text(IDS[1]))
    assert world.dialled[-1][0] in (2001, 2002)


def test_a_failed_discovery_is_asked_again(world: World) -> None:
    world.pass_us(200 * MS)
    assert world.asked == [True]
    world.driver.told(UpdateKind.FAILED, None)
    world.turn()
    world.pass_us(1500 * MS)
    assert world.asked == [True, True]


def test_the_answer_of_a_probe_is_a_report(world: World) -> None:
    world.driver.start_health_check("a")
    (call,) = world.calls()
    assert world.up(call) == m.query(b"SHOW pressure")
    position = world.time - 40 * MS
    world.say(call, row(b"x0=%.3f,x1=0,queue=3" % (position / SEC)))
    assert abs(world.driver.router.members["a"].position - position) <= MS
    assert world.driver.router.members["a"].role is Role.REPLICA
    assert server.STARTUP_RESPONSE  # nothing else was said


def test_what_is_kept_of_requests_and_members_is_bounded(world: World) -> None:
    """Hours of new ids and of members that come and go leave no more than the last half minute of them."""
    for round_ in range(40):
        world.pass_us(5 * SEC)
        fresh = entry(f"n{round_}", 2000 + round_, replication="standby")
        lists = {"seq": 10 + round_, "whole": True, "hosts": [*HOSTS, fresh]}
        world.driver.told(UpdateKind.SNAPSHOT, read(lists, ["east"], ["k"]))
        world.turn()
        client = world.client(read_text(f"{round_:016x}"))
        for call in world.calls():
            world.up(call)
            world.say(call, row())
        world.end(client)
    world.pass_us(2 * SEC)
    assert len(world.driver._recent) <= 7
    assert set(world.driver.links.pools) == {"p", "a", "n39"}
    assert b"C42710" in world.client(read_text(f"{39:016x}")).take()
