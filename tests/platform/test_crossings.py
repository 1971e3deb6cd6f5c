"""Two events that cross, on real sockets, in the bad order every time. `docs/design/crossings.md` says which
test stands for which cell."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

import pytest

from juniperreel.net.transport import Transport
from juniperreel.postgres import messages as m
from tests.platform.event_harness import HELLO, MS, SEC, SETTINGS, read_text, row, write_text
from tests.platform.socket_harness import End, MemberEnd, Stage

ENDED = select.POLLRDHUP | select.POLLHUP
IDS = [f"{n:016x}" for n in range(1, 200)]


def served(sent: bytes) -> bool:
    return sent.startswith(b"T")


def after_the_look(stage: Stage, wire: Transport, what: Callable[[], None]) -> None:
    """`what` happens between a driver's look for unread bytes and what it does upon it."""
    look = wire.has_nothing_to_read

    def quiet() -> bool:
        found = look()
        if found:
            wire.has_nothing_to_read = look  # type: ignore[method-assign]
            what()
        return found

    wire.has_nothing_to_read = quiet  # type: ignore[method-assign]


# A connection that the driver ends.


async def test_a_request_that_crosses_the_end_of_its_connection_meets_an_end_and_no_reset() -> None:
    """Danger: closing over unread bytes resets the connection, and takes what was sent last along."""
    with Stage() as stage:
        await stage.probed()
        client = await stage.client(read_text(IDS[0]))
        member = await stage.query("a")
        member.take()
        after_the_look(stage, stage.wires[-1], lambda: client.send(m.query(read_text(IDS[1]))))
        member.send(row(b"kept"))
        await stage.until(lambda: not stage.driver.requests.by_id)
        stage.driver.client_listener.close_when_answered()  # looks; the next request comes behind the look
        await stage.finished(client)
        assert client.ended == "fin" and b"kept" in client.got
        assert stage.members["a"].queries == stage.members["p"].queries == b""  # read, and not sent on


async def test_a_connection_ended_while_its_client_is_silent_is_free_after_a_bounded_time() -> None:
    with Stage() as stage:
        client = await stage.client(b"")
        await stage.answered(client)
        stage.driver.client_listener.close_when_answered()
        await stage.finished(client)
        assert len(stage.driver.client_listener.clients) == 1  # the client has not ended its side
        stage.pass_us(SEC)
        assert not stage.driver.client_listener.clients and stage.driver.budget.clients == 0


@pytest.mark.parametrize("leaving", [True, False])
async def test_an_answer_that_is_half_out_leaves_whole(leaving: bool) -> None:
    """Small buffers hold the answer back when its connection is to end."""
    value = bytes(60_000)
    with Stage() as stage:
        await stage.probed()
        client = await stage.client(buffer=2048)
        wire = stage.wires[-1]
        wire._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        client.send(m.query(read_text(IDS[0])))
        member = await stage.query("a")
        member.take()
        if leaving:
            stage.driver.begin_shutdown()
            stage.driver.client_listener.close_when_answered()
        member.send(row(value))
        await stage.until(lambda: not stage.driver.requests.by_id)
        assert wire.write_buffer_size
        stage.pass_us(SEC)
        stage.driver.client_listener.close_when_answered()
        assert value in await stage.answered(client, 4096)
        stage.driver.client_listener.close_when_answered()
        assert await stage.finished(client) == "fin"


async def test_a_last_command_of_a_busy_connection_is_answered_before_its_end() -> None:
    """What was read is answered; what comes once the end has begun is left to the client to send again."""
    with Stage() as stage:
        await stage.probed()
        client = await stage.client(read_text(IDS[0]), read_text(IDS[1]))
        await stage.until(lambda: len(stage.driver.requests.by_id) == 2)
        stage.driver.begin_shutdown()
        stage.driver.client_listener.close_when_answered()
        client.send(m.query(read_text(IDS[2])))
        for value in (b"one", b"two"):
            member = await stage.query("a")
            member.take()
            member.send(row(value))
        await stage.finished(client)
        assert client.ended == "fin" and client.got.count(m.READY) == 2
        assert stage.members["a"].queries == stage.members["p"].queries == b""


async def test_a_command_half_read_when_its_connection_is_to_end_is_read_whole_and_answered() -> None:
    with Stage() as stage:
        await stage.probed()
        client = await stage.client(read_text(IDS[0]))
        await stage.until(lambda: stage.driver.requests.by_id)
        second = m.query(read_text(IDS[1]))
        client.send(second[:40])
        await stage.there(stage.wires[-1])
        await stage.step()
        stage.driver.begin_shutdown()
        stage.driver.client_listener.close_when_answered()
        member = await stage.query("a")
        member.take()
        member.send(row(b"one"))
        assert b"one" in await stage.answered(client)
        stage.driver.client_listener.close_when_answered()
        client.take()
        client.send(second[40:])
        member = await stage.query("a")
        member.take()
        member.send(row(b"two"))
        assert b"two" in await stage.answered(client)
        assert await stage.finished(client) == "fin"


async def test_a_slow_writer_has_two_seconds_for_each_command() -> None:
    """Not for all of them together, nor from when the first one began."""
    with Stage() as stage:
        await stage.probed()
        client = await stage.client()
        texts = [m.query(read_text(name)) for name in IDS[:3]]
        client.send(texts[0][:30])
        for n, text in enumerate(texts):
            await stage.there(stage.wires[-1])
            await stage.step()
            stage.pass_us(1500 * MS)
            following = texts[n + 1][:30] if n + 1 < len(texts) else b""
            client.send(text[30:] + following)
            member = await stage.query("a")
            member.take()
            member.send(row(b"value %d" % n))
            await stage.until(lambda n=n: b"value %d" % n in client.read())  # type: ignore[misc]
            if following:
                client.send(texts[n + 1][30:40])
                texts[n + 1] = texts[n + 1][:30] + texts[n + 1][40:]
        assert b"FATAL" not in client.got


async def test_connections_that_the_kernel_holds_when_the_door_closes_are_ended_in_order() -> None:
    """More of them than one poll takes, with and without a request."""
    with Stage() as stage:
        await stage.probed()
        asking = [stage.connect() for _ in range(100)]
        for client in asking:
            client.send(HELLO + m.query(b""))
        silent = [stage.connect() for _ in range(20)]
        stage.driver.begin_shutdown()
        stage.acceptor.close()
        stage.driver.client_listener.close_when_answered()
        for client in asking:
            assert (await stage.answered(client)).endswith(b"I\0\0\0\4" + m.READY)
        stage.driver.client_listener.close_when_answered()
        for client in asking + silent:
            assert await stage.finished(client) == "fin"
            client.close()
        await stage.until(lambda: stage.driver.is_idle)


# SIGTERM and what is in hand.


async def test_a_request_taken_before_sigterm_has_its_answer_before_the_kill() -> None:
    """Its deadline lies beyond the kill, its answer is worth waiting for to the end, and its member hangs."""
    patient = {"deadline_s": 9.0, "late_worth": 1.0}
    services = [*SETTINGS["services"][:2], {**SETTINGS["services"][2], **patient}]
    with Stage(settings={**SETTINGS, "services": services}) as stage:
        await stage.probed()
        client = await stage.client(write_text(IDS[0], span=9000))
        member = await stage.query("p")
        member.take()
        stage.driver.begin_shutdown()
        stage.pass_us(3500 * MS)  # the kill comes 3.7 s after SIGTERM
        await stage.answered(client)
        assert client.got.startswith(b"E") and b"C53300\0" not in client.got  # it may have run
        await stage.until(lambda: member.read() is None or member.ended)


async def test_a_request_that_waits_for_a_connection_at_sigterm_is_refused_in_time() -> None:
    with Stage() as stage:
        client = await stage.client(write_text(IDS[0], span=9000))
        await stage.until(lambda: stage.driver.requests.by_id)
        for end in stage.members.values():
            end.sock.close()  # the member is gone, and another is never found
        stage.driver.begin_shutdown()
        stage.pass_us(3500 * MS)
        await stage.answered(client)
        assert b"C53300\0" in client.got


async def test_the_driver_wakes_itself_for_the_last_steps_of_a_shutdown() -> None:
    with Stage() as stage:
        stage.driver.begin_shutdown()
        begun, dues = stage.clock.time, list[int]()
        while (due := stage.driver.next_due_us()) is not None and due < begun + 3700 * MS:
            stage.clock.time = due
            dues.append(due - begun)
            stage.turn()
        assert 3200 * MS in dues and 3600 * MS in dues


# Who has left.


async def test_a_request_read_together_with_its_clients_end_is_not_sent_on() -> None:
    with Stage() as stage:
        await stage.probed()
        client = await stage.client(read_text(IDS[0]), write_text(IDS[1]))
        client.close()
        await stage.there(stage.wires[-1], ENDED)
        await stage.until(lambda: not stage.driver.client_listener.clients)
        assert not stage.driver.requests.by_id
        assert stage.members["a"].queries == stage.members["p"].queries == b""


async def test_a_client_that_left_while_a_connection_came_up_is_not_sent_on() -> None:
    with Stage() as stage:
        client = await stage.client(write_text(IDS[0]))
        member = stage.members["p"]
        await stage.until(lambda: member.accept() and member.ends[0].read().startswith(HELLO[:8]))
        client.close()
        await stage.until(lambda: not stage.driver.client_listener.clients)
        member.ends[0].take()
        member.ends[0].send(b"R\0\0\0\x08\0\0\0\0" + m.READY)  # the welcome comes late
        await stage.rests("p")
        assert member.queries == b""


async def test_a_client_that_left_in_the_round_of_its_members_reset_is_not_tried_again() -> None:
    """Both ends are there when the driver looks; the member's may be read first."""
    for first in ("member", "client"):
        with Stage() as stage:
            await stage.probed()
            client = await stage.client(read_text(IDS[0]))
            member = await stage.query("a")
            member.take()
            ends: list[End] = [member, client] if first == "member" else [client, member]
            (exchange,) = stage.driver.requests.by_id[IDS[0]].exchanges.values()
            assert exchange.connection is not None
            wires = [stage.wires[-1], exchange.connection.transport]
            for end in ends:
                end.close()
            for wire in wires:
                await stage.there(wire, ENDED)
            await stage.until(
                lambda: not stage.driver.client_listener.clients and not stage.driver.requests.by_id
            )
            stage.pass_us(SEC)
            await stage.step()
            assert stage.members["a"].queries == stage.members["p"].queries == b""


async def test_all_commands_of_a_client_that_left_end_with_it() -> None:
    with Stage() as stage:
        await stage.probed()
        client = await stage.client(
            write_text(IDS[0], key="k"), read_text(IDS[1], "own", key="k"), read_text(IDS[2])
        )
        await stage.until(lambda: len(stage.driver.requests.by_id) == 2)  # the second waits for the first
        writes, reads = await stage.query("p"), await stage.query("a")
        for end in (writes, reads):
            end.take()
        client.close()
        await stage.until(lambda: not stage.driver.requests.by_id)
        stage.pass_us(SEC)
        await stage.step()
        assert stage.members["a"].queries == stage.members["p"].queries == b""


# What becomes known while a connection comes up.


async def test_a_read_is_not_written_once_its_session_was_answered_a_newer_write() -> None:
    """Both go out together; the read's connection comes up after the write's answer."""
    with Stage() as stage:
        await stage.probed()
        replica = stage.members["a"]
        for connection in list(stage.driver.endpoint_pools.pools["a"].idle):
            connection.close()  # so that the read needs a new one
        reader = await stage.client(read_text(IDS[0], "own", span=1900))
        await stage.until(lambda: any(e.read().startswith(HELLO[:8]) for e in replica.accept()))
        writer = await stage.client(write_text(IDS[1]))
        primary = await stage.query("p")
        primary.take()
        stage.pass_us(100 * MS)
        primary.send(row(b"w", "primary", stage.clock.time // MS))
        await stage.until(lambda: writer.read().endswith(m.READY))
        late = next(e for e in replica.ends if e.read().startswith(HELLO[:8]))
        late.take()
        late.send(b"R\0\0\0\x08\0\0\0\0" + m.READY)
        await stage.rests("a")
        assert b"INSERT" not in late.read() and IDS[0].encode() not in replica.queries
        for _ in range(40):
            stage.pass_us(20 * MS)
            await stage.step()
            if IDS[0].encode() in stage.members["p"].queries:
                break
        assert IDS[0].encode() in stage.members["p"].queries  # the primary has what was written
        assert not reader.read()


async def test_a_cut_off_answer_tells_of_a_new_role() -> None:
    """It names its member a standby and stops there: reads must not go to it as to a primary."""
    with Stage() as stage:
        await stage.probed()
        client = await stage.client(write_text(IDS[0]))
        member = await stage.query("p")
        member.take()
        member.send(row(b"x", "standby", whole=False))
        member.close()
        await stage.until(lambda: stage.driver.router.groups[0].primary is None)
        assert not served(client.read())


# Members' connections.


async def test_half_a_line_on_a_resting_connection_ends_it_before_the_next_request() -> None:
    with Stage() as stage:
        await stage.probed()
        (resting,) = stage.driver.endpoint_pools.pools["a"].idle
        end = stage.members["a"].ends[0]
        end.send(m.parameter("pressure", "inflight=1")[:7])
        await stage.there(resting.transport)
        client = await stage.client(read_text(IDS[0]))
        member = await stage.query("a")
        assert member is not end
        member.take()
        member.send(row(b"good"))
        await stage.answered(client)
        assert b"good" in client.got and resting.transport.closed


async def test_a_member_that_closes_a_resting_connection_costs_no_request() -> None:
    with Stage() as stage:
        await stage.probed()
        (resting,) = stage.driver.endpoint_pools.pools["a"].idle
        stage.members["a"].ends[0].close()  # unread when the request comes
        await stage.there(resting.transport, ENDED)
        client = await stage.client(read_text(IDS[0]))
        member = await stage.query("a")
        member.take()
        member.send(row(b"good"))
        await stage.answered(client)
        assert b"good" in client.got


# Descriptors.


async def test_idle_clients_that_fill_the_descriptors_make_room_for_one_that_asks() -> None:
    with Stage(limits={"cores": 0.5, "memory_mb": 64, "sockets": 80}) as stage:
        await stage.probed()
        limit = stage.driver.budget.client_limit
        crowd = [stage.connect() for _ in range(limit + 5)]
        await stage.until(lambda: len(stage.wires) >= limit + 5)
        client = await stage.client(read_text(IDS[0]))
        member = await stage.query("a")
        member.take()
        member.send(row(b"good"))
        await stage.answered(client)
        assert stage.driver.budget.clients <= limit
        for end in crowd:
            end.close()


async def test_of_clients_that_ask_once_and_stay_only_those_too_many_are_ended() -> None:
    """The ends of connections take their time, as clients answer them late or never."""
    with Stage(limits={"cores": 0.5, "memory_mb": 64, "sockets": 80}) as stage:
        limit = stage.driver.budget.active_client_limit
        clients = [await stage.client(b"") for _ in range(limit + 6)]
        for client in clients:
            await stage.until(lambda client=client: client.read() or client.ended)  # type: ignore[misc]
        await stage.step()
        ended = [client for client in clients if client.read() is not None and client.ended]
        assert len(ended) == 6 and stage.driver.budget.active_clients == limit
        assert ended == clients[:6]  # the longest idle
        for client in clients:
            client.close()
        await stage.until(lambda: not stage.driver.client_listener.clients)
        assert stage.driver.budget.active_clients == stage.driver.budget.clients == 0


async def test_where_descriptors_run_short_idle_clients_are_ended_until_they_do_not() -> None:
    with Stage(limits={"cores": 0.5, "memory_mb": 64, "sockets": 200}) as stage:
        budget = stage.driver.budget
        budget.active_client_limit = 1000  # not what this is about
        clients = [await stage.client(b"") for _ in range(-(-budget.client_limit * 3 // 4) + 4)]
        await stage.answered(clients[-1])
        assert budget.clients_nearly_full
        stage.pass_us(3 * SEC)
        await stage.until(lambda: [c for c in clients if c.read() is not None and c.ended])
        assert len([c for c in clients if c.read() is not None and c.ended]) == 5
        for client in clients:
            client.close()
        await stage.until(lambda: not stage.driver.client_listener.clients)
        assert budget.closing_clients == budget.clients == 0


def test_a_member_end_is_told_apart() -> None:
    """The stage's own: each member has a port of its own."""
    first, second = MemberEnd(), MemberEnd()
    assert first.port != second.port
    first.sock.close()
    second.sock.close()
