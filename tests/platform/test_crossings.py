"""Races between two events, forced into the unfavorable order on real sockets.

`docs/design/crossings.md` maps each cell of its table to a test.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

import pytest

from juniperreel.net.transport import Transport
from juniperreel.platform.client_connection import MAX_OPEN_COMMANDS
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from tests.platform.event_harness import (
    MS,
    SEC,
    SETTINGS,
    STARTUP_MESSAGE,
    read_query,
    row_reply,
    write_query,
)
from tests.platform.socket_harness import FakeEndpoint, PeerConnection, SocketHarness

HANG_UP = select.POLLRDHUP | select.POLLHUP
REQUEST_IDS = [f"{n:016x}" for n in range(1, 200)]


def served(sent: bytes) -> bool:
    return sent.startswith(b"T")


def run_after_unread_check(transport: Transport, action: Callable[[], None]) -> None:
    """Run `action` between the driver's check for unread bytes and its reaction to the result."""
    original_check = transport.has_nothing_to_read

    def check_then_run() -> bool:
        found = original_check()
        if found:
            transport.has_nothing_to_read = original_check  # type: ignore[method-assign]
            action()
        return found

    transport.has_nothing_to_read = check_then_run  # type: ignore[method-assign]


def run_before_next_write(transport: Transport, action: Callable[[], None]) -> None:
    """Run `action` just before the driver writes the next answer."""
    write = transport.write

    def run_then_write(data: bytes | bytearray) -> None:
        transport.write = write  # type: ignore[method-assign]
        action()
        write(data)

    transport.write = run_then_write  # type: ignore[method-assign]


# Connections closed by the driver.


async def test_request_sent_during_close_gets_fin_not_reset() -> None:
    """Guards against lost answers: closing a socket with unread bytes resets it and discards sent data."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client(read_query(REQUEST_IDS[0]))
        endpoint = await harness.next_query("a")
        endpoint.take()
        run_after_unread_check(
            harness.client_transports[-1], lambda: client.send(m.query(read_query(REQUEST_IDS[1])))
        )
        endpoint.send(row_reply(b"kept"))
        await harness.wait_until(lambda: not harness.driver.requests.by_id)
        harness.driver.client_listener.close_when_answered()  # the next request arrives after its check
        await harness.wait_for_end(client)
        assert client.close_kind == "fin"
        assert b"kept" in client.received
        assert (
            harness.endpoints["a"].queries == harness.endpoints["p"].queries == b""
        )  # read but not forwarded


async def test_closing_connection_of_silent_client_is_freed_after_timeout() -> None:
    with SocketHarness() as harness:
        client = await harness.client(b"")
        await harness.read_answer(client)
        harness.driver.client_listener.close_when_answered()
        await harness.wait_for_end(client)
        assert len(harness.driver.client_listener.clients) == 1  # the client has not closed its side
        harness.advance_us(SEC)
        assert not harness.driver.client_listener.clients
        assert harness.driver.budget.clients == 0


@pytest.mark.parametrize("shutting_down", [True, False])
async def test_partially_sent_answer_is_completed_before_close(shutting_down: bool) -> None:
    """Small socket buffers delay the answer while the connection is to be closed."""
    value = bytes(60_000)
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client(buffer=2048)
        transport = harness.client_transports[-1]
        transport._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        client.send(m.query(read_query(REQUEST_IDS[0])))
        endpoint = await harness.next_query("a")
        endpoint.take()
        if shutting_down:
            harness.driver.begin_shutdown()
            harness.driver.client_listener.close_when_answered()
        endpoint.send(row_reply(value))
        await harness.wait_until(lambda: not harness.driver.requests.by_id)
        assert transport.write_buffer_size
        harness.advance_us(SEC)
        harness.driver.client_listener.close_when_answered()
        assert value in await harness.read_answer(client, 4096)
        harness.driver.client_listener.close_when_answered()
        assert await harness.wait_for_end(client) == "fin"


async def test_last_command_on_busy_connection_is_answered_before_close() -> None:
    """A command sent after an open one, and still unread when that is answered, must be answered, too."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client(read_query(REQUEST_IDS[0]))
        endpoint = await harness.next_query("a")
        endpoint.take()
        harness.driver.begin_shutdown()
        harness.driver.client_listener.close_when_answered()
        run_before_next_write(
            harness.client_transports[-1], lambda: client.send(m.query(read_query(REQUEST_IDS[1])))
        )
        endpoint.send(row_reply(b"one"))
        await harness.wait_until(lambda: b"one" in client.read())
        endpoint = await harness.next_query("a")
        endpoint.take()
        endpoint.send(row_reply(b"two"))
        await harness.wait_until(lambda: b"two" in client.read())
        harness.driver.client_listener.close_when_answered()
        assert await harness.wait_for_end(client) == "fin"
        assert client.received.count(m.READY) == 2


async def test_partially_read_command_is_completed_and_answered_before_close() -> None:
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client(read_query(REQUEST_IDS[0]))
        await harness.wait_until(lambda: harness.driver.requests.by_id)
        second = m.query(read_query(REQUEST_IDS[1]))
        client.send(second[:40])
        await harness.wait_for_event(harness.client_transports[-1])
        await harness.poll_once()
        harness.driver.begin_shutdown()
        harness.driver.client_listener.close_when_answered()
        endpoint = await harness.next_query("a")
        endpoint.take()
        endpoint.send(row_reply(b"one"))
        assert b"one" in await harness.read_answer(client)
        harness.driver.client_listener.close_when_answered()
        client.take()
        client.send(second[40:])
        endpoint = await harness.next_query("a")
        endpoint.take()
        endpoint.send(row_reply(b"two"))
        assert b"two" in await harness.read_answer(client)
        assert await harness.wait_for_end(client) == "fin"


async def test_slow_sender_has_full_timeout_for_each_command() -> None:
    """The timeout applies to each command separately, not to all of them from the start of the first."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client()
        texts = [m.query(read_query(name)) for name in REQUEST_IDS[:3]]
        client.send(texts[0][:30])
        for n, text in enumerate(texts):
            await harness.wait_for_event(harness.client_transports[-1])
            await harness.poll_once()
            harness.advance_us(1500 * MS)
            following = texts[n + 1][:30] if n + 1 < len(texts) else b""
            client.send(text[30:] + following)
            endpoint = await harness.next_query("a")
            endpoint.take()
            endpoint.send(row_reply(b"value %d" % n))
            await harness.wait_until(lambda n=n: b"value %d" % n in client.read())  # type: ignore[misc]
            if following:
                client.send(texts[n + 1][30:40])
                texts[n + 1] = texts[n + 1][:30] + texts[n + 1][40:]
        assert b"FATAL" not in client.received


async def test_backlogged_connections_are_closed_gracefully_with_listener() -> None:
    """There are more connections than one poll accepts, with and without a request."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        active_clients = [harness.connect() for _ in range(100)]
        for client in active_clients:
            client.send(STARTUP_MESSAGE + m.query(b""))
        silent = [harness.connect() for _ in range(20)]
        harness.driver.begin_shutdown()
        harness.acceptor.close()
        harness.driver.client_listener.close_when_answered()
        for client in active_clients:
            assert (await harness.read_answer(client)).endswith(b"I\0\0\0\4" + m.READY)
        harness.driver.client_listener.close_when_answered()
        for client in active_clients + silent:
            assert await harness.wait_for_end(client) == "fin"
            client.close()
        await harness.wait_until(lambda: harness.driver.is_idle)


# SIGTERM with requests in flight.


async def test_request_accepted_before_sigterm_is_answered_before_kill() -> None:
    """Its deadline lies after the kill, late answers keep full worth, and the endpoint is unresponsive."""
    patient = {"deadline_s": 9.0, "late_worth": 1.0}
    services = [*SETTINGS["services"][:2], {**SETTINGS["services"][2], **patient}]
    with SocketHarness(settings={**SETTINGS, "services": services}) as harness:
        await harness.learn_positions()
        client = await harness.client(write_query(REQUEST_IDS[0], timeout_ms=9000))
        endpoint = await harness.next_query("p")
        endpoint.take()
        harness.driver.begin_shutdown()
        harness.advance_us(3200 * MS)  # the kill follows 3.7 s after SIGTERM
        await harness.read_answer(client)
        assert client.received.startswith(b"E")
        assert b"C53300\0" not in client.received
        await harness.wait_until(lambda: endpoint.read() is None or endpoint.close_kind)


async def test_request_awaiting_connection_at_sigterm_is_rejected_in_time() -> None:
    with SocketHarness() as harness:
        client = await harness.client(write_query(REQUEST_IDS[0], timeout_ms=9000))
        await harness.wait_until(lambda: harness.driver.requests.by_id)
        for end in harness.endpoints.values():
            end.sock.close()  # the endpoints are unreachable
        harness.driver.begin_shutdown()
        harness.advance_us(3200 * MS)
        await harness.read_answer(client)
        assert b"C53300\0" in client.received


async def test_driver_schedules_wakeups_for_last_shutdown_steps() -> None:
    with SocketHarness() as harness:
        harness.driver.begin_shutdown()
        shutdown = harness.driver.shutdown
        begun, dues = harness.clock.time, list[int]()
        while (due := harness.driver.next_due_us()) is not None and due < begun + 3700 * MS:
            harness.clock.time = due
            dues.append(due)
            harness.process()
        assert {shutdown.closing_starts_us(), shutdown.last_answers_us(), shutdown.exit_us()} <= set(dues)


# Clients that disconnect.


async def test_request_read_together_with_client_disconnect_is_not_forwarded() -> None:
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client(read_query(REQUEST_IDS[0]), write_query(REQUEST_IDS[1]))
        client.close()
        await harness.wait_for_event(harness.client_transports[-1], HANG_UP)
        await harness.wait_until(lambda: not harness.driver.client_listener.clients)
        assert not harness.driver.requests.by_id
        assert not harness.driver.requests.answered_ids  # they were never accepted
        assert harness.endpoints["a"].queries == harness.endpoints["p"].queries == b""


async def test_request_is_not_forwarded_if_client_left_during_connect() -> None:
    with SocketHarness() as harness:
        client = await harness.client(write_query(REQUEST_IDS[0]))
        endpoint = harness.endpoints["p"]
        await harness.wait_until(
            lambda: endpoint.accept() and endpoint.connections[0].read().startswith(STARTUP_MESSAGE[:8])
        )
        client.close()
        await harness.wait_until(lambda: not harness.driver.client_listener.clients)
        endpoint.connections[0].take()
        endpoint.connections[0].send(b"R\0\0\0\x08\0\0\0\0" + m.READY)  # late startup response
        await harness.wait_until_idle("p")
        assert endpoint.queries == b""


async def test_no_retry_if_client_disconnect_coincides_with_endpoint_reset() -> None:
    """Both closes are pending in the same poll; the endpoint's may be read first."""
    for first in ("endpoint", "client"):
        with SocketHarness() as harness:
            await harness.learn_positions()
            client = await harness.client(read_query(REQUEST_IDS[0]))
            endpoint = await harness.next_query("a")
            endpoint.take()
            connections: list[PeerConnection] = (
                [endpoint, client] if first == "endpoint" else [client, endpoint]
            )
            (exchange,) = harness.driver.requests.by_id[REQUEST_IDS[0]].exchanges.values()
            assert exchange.connection is not None
            transports = [harness.client_transports[-1], exchange.connection.transport]
            for end in connections:
                end.close()
            for transport in transports:
                await harness.wait_for_event(transport, HANG_UP)
            await harness.wait_until(
                lambda: not harness.driver.client_listener.clients and not harness.driver.requests.by_id
            )
            harness.advance_us(SEC)
            await harness.poll_once()
            assert harness.endpoints["a"].queries == harness.endpoints["p"].queries == b""


async def test_all_commands_of_disconnected_client_are_withdrawn() -> None:
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client(
            write_query(REQUEST_IDS[0], key="k"),
            read_query(REQUEST_IDS[1], "own", key="k"),
            read_query(REQUEST_IDS[2]),
        )
        await harness.wait_until(
            lambda: len(harness.driver.requests.by_id) == 2
        )  # the second request waits for the first
        writes, reads = await harness.next_query("p"), await harness.next_query("a")
        for end in (writes, reads):
            end.take()
        client.close()
        await harness.wait_until(lambda: not harness.driver.requests.by_id)
        harness.advance_us(SEC)
        await harness.poll_once()
        assert harness.endpoints["a"].queries == harness.endpoints["p"].queries == b""


# State that changes while a connection is being established.


async def send_until_accepted(harness: SocketHarness, client: PeerConnection, data: bytes) -> None:
    """Send as much as the driver and the kernel take."""
    view = memoryview(data)
    refusals = 0
    while view and refusals < 10:
        try:
            view = view[client.sock.send(view) :]
            refusals = 0
        except BlockingIOError:
            refusals += 1
        await harness.poll_once()


async def test_client_that_leaves_behind_unread_commands_is_noticed() -> None:
    """Guards against attempts for clients that have left: their end stayed behind input that was not read."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client()
        names = (f"{n:016x}" for n in range(60_000))
        commands = b"".join(m.query(write_query(name, key=f"row-{name}")) for name in names)
        await send_until_accepted(harness, client, commands)
        assert len(harness.driver.requests.by_id) == MAX_OPEN_COMMANDS
        client.close()
        await harness.wait_until(lambda: not harness.driver.client_listener.clients)
        assert all(request.command is None for request in harness.driver.requests.by_id.values())
        attempts = harness.endpoints["p"].queries.count(b"INSERT")
        harness.advance_us(4 * SEC)
        assert harness.endpoints["p"].queries.count(b"INSERT") == attempts
        assert not harness.driver.requests.by_id


async def test_read_is_not_sent_to_replica_behind_newer_session_write() -> None:
    """Both are in flight together; the read's connection is established after the write's answer."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        replica = harness.endpoints["a"]
        for connection in list(harness.driver.endpoint_pools.pools["a"].idle):
            connection.close()  # so that the read needs a new connection
        reader = await harness.client(read_query(REQUEST_IDS[0], "own", timeout_ms=1900))
        await harness.wait_until(
            lambda: any(e.read().startswith(STARTUP_MESSAGE[:8]) for e in replica.accept())
        )
        writer = await harness.client(write_query(REQUEST_IDS[1]))
        primary = await harness.next_query("p")
        primary.take()
        harness.advance_us(100 * MS)
        primary.send(row_reply(b"w", "primary", harness.clock.time // MS))
        await harness.wait_until(lambda: writer.read().endswith(m.READY))
        late = next(e for e in replica.connections if e.read().startswith(STARTUP_MESSAGE[:8]))
        late.take()
        late.send(b"R\0\0\0\x08\0\0\0\0" + m.READY)
        await harness.wait_until_idle("a")
        assert b"INSERT" not in late.read()
        assert REQUEST_IDS[0].encode() not in replica.queries
        for _ in range(40):
            harness.advance_us(20 * MS)
            await harness.poll_once()
            if REQUEST_IDS[0].encode() in harness.endpoints["p"].queries:
                break
        assert REQUEST_IDS[0].encode() in harness.endpoints["p"].queries  # the primary has applied the write
        assert not reader.read()


async def test_truncated_reply_reports_role_change() -> None:
    """The reply reports the standby role and is cut short; the endpoint must no longer count as primary."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client(write_query(REQUEST_IDS[0]))
        endpoint = await harness.next_query("p")
        endpoint.take()
        endpoint.send(row_reply(b"x", "standby", complete=False))
        endpoint.close()
        await harness.wait_until(lambda: harness.driver.router.state.groups[0].primary is None)
        assert not served(client.read())


# Idle endpoint connections.


async def test_partial_message_on_idle_connection_closes_it_before_reuse() -> None:
    with SocketHarness() as harness:
        await harness.learn_positions()
        (idle_connection,) = harness.driver.endpoint_pools.pools["a"].idle
        end = harness.endpoints["a"].connections[0]
        end.send(m.parameter("pressure", "inflight=1")[:7])
        await harness.wait_for_event(idle_connection.transport)
        client = await harness.client(read_query(REQUEST_IDS[0]))
        endpoint = await harness.next_query("a")
        assert endpoint is not end
        endpoint.take()
        endpoint.send(row_reply(b"good"))
        await harness.read_answer(client)
        assert b"good" in client.received
        assert idle_connection.transport.closed


async def test_idle_connection_closed_by_endpoint_fails_no_request() -> None:
    with SocketHarness() as harness:
        await harness.learn_positions()
        (idle_connection,) = harness.driver.endpoint_pools.pools["a"].idle
        harness.endpoints["a"].connections[0].close()  # the close is unread when the request arrives
        await harness.wait_for_event(idle_connection.transport, HANG_UP)
        client = await harness.client(read_query(REQUEST_IDS[0]))
        endpoint = await harness.next_query("a")
        endpoint.take()
        endpoint.send(row_reply(b"good"))
        await harness.read_answer(client)
        assert b"good" in client.received


# Descriptors.


async def test_idle_clients_are_evicted_for_new_client() -> None:
    with SocketHarness(limits={"cores": 0.5, "memory_mb": 64, "sockets": 80}) as harness:
        await harness.learn_positions()
        limit = harness.driver.budget.client_limit
        idle_clients = [harness.connect() for _ in range(limit + 5)]
        await harness.wait_until(lambda: len(harness.client_transports) >= limit + 5)
        client = await harness.client(read_query(REQUEST_IDS[0]))
        endpoint = await harness.next_query("a")
        endpoint.take()
        endpoint.send(row_reply(b"good"))
        await harness.read_answer(client)
        assert harness.driver.budget.clients <= limit
        for end in idle_clients:
            end.close()


async def test_only_active_clients_above_limit_are_closed() -> None:
    """Closing takes time, as clients close their side late or never."""
    with SocketHarness(limits={"cores": 0.5, "memory_mb": 64, "sockets": 80}) as harness:
        limit = harness.driver.budget.active_client_limit
        clients = [await harness.client(b"") for _ in range(limit + 6)]
        for client in clients:
            await harness.wait_until(lambda client=client: client.read() or client.close_kind)  # type: ignore[misc]
        await harness.poll_once()
        ended = [client for client in clients if client.read() is not None and client.close_kind]
        assert len(ended) == 6
        assert harness.driver.budget.active_clients == limit
        assert ended == clients[:6]  # the longest idle
        for client in clients:
            client.close()
        await harness.wait_until(lambda: not harness.driver.client_listener.clients)
        assert harness.driver.budget.active_clients == harness.driver.budget.clients == 0


async def test_idle_clients_are_closed_until_descriptor_shortage_ends() -> None:
    with SocketHarness(limits={"cores": 0.5, "memory_mb": 64, "sockets": 200}) as harness:
        budget = harness.driver.budget
        budget.active_client_limit = 1000  # irrelevant to this test
        clients = [await harness.client(b"") for _ in range(-(-budget.client_limit * 3 // 4) + 4)]
        await harness.read_answer(clients[-1])
        assert budget.clients_nearly_full
        harness.advance_us(3 * SEC)
        await harness.wait_until(lambda: [c for c in clients if c.read() is not None and c.close_kind])
        assert len([c for c in clients if c.read() is not None and c.close_kind]) == 5
        for client in clients:
            client.close()
        await harness.wait_until(lambda: not harness.driver.client_listener.clients)
        assert budget.closing_clients == budget.clients == 0


def test_fake_endpoints_have_distinct_ports() -> None:
    """Checks the harness itself."""
    first, second = FakeEndpoint(), FakeEndpoint()
    assert first.port != second.port
    first.sock.close()
    second.sock.close()


# Clients that disconnect just before their request could be written.


async def _client_with_request_awaiting_startup(
    harness: SocketHarness,
) -> tuple[PeerConnection, PeerConnection]:
    """Return a client and the endpoint connection that was opened for its request."""
    client = await harness.client(read_query(REQUEST_IDS[0]))
    await harness.wait_until(lambda: any(end.read() for end in harness.endpoints["a"].accept()))
    return client, harness.endpoints["a"].connections[-1]


@pytest.mark.parametrize("polled", ["before the client left", "after the client left"])
async def test_no_attempt_for_disconnected_client_on_new_connection(polled: str) -> None:
    """The startup response is handled first; a suspended driver might write long after the client left."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        harness.driver.endpoint_pools.pools["a"].idle[0].close()
        client, endpoint = await _client_with_request_awaiting_startup(harness)
        endpoint.take()
        endpoint.send(server.STARTUP_RESPONSE)
        await harness.wait_for_event(_endpoint_transport(harness))
        if polled == "before the client left":
            await harness.poller.wait(None)
        client.close()
        await harness.wait_for_event(harness.client_transports[-1], HANG_UP)
        if polled == "after the client left":
            await harness.poller.wait(None)
        harness.poller.dispatch()
        harness.process()
        await harness.wait_until(lambda: not harness.driver.requests.by_id)
        assert endpoint.read() == b""


def _endpoint_transport(harness: SocketHarness) -> Transport:
    (connection,) = harness.driver.endpoint_pools.pools["a"].connections
    return connection.transport


@pytest.mark.parametrize("partial", [False, True], ids=["no command", "partial command"])
async def test_unread_command_is_served_despite_expired_client_timeout(partial: bool) -> None:
    """The check for silent clients runs between the arrival of the command and the next poll."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client()
        query = m.query(read_query(REQUEST_IDS[0]))
        if partial:
            client.send(query[:20])
            await harness.poll_once()
        harness.advance_us(1950 * MS)
        client.send(query[20:] if partial else query)
        await harness.wait_for_event(harness.client_transports[-1])
        harness.advance_us(300 * MS)
        endpoint = await harness.next_query("a")
        endpoint.send(row_reply(b"kept"))
        assert b"kept" in await harness.read_answer(client)


async def test_incomplete_command_times_out_despite_further_bytes() -> None:
    with SocketHarness() as harness:
        client = await harness.client()
        client.send(m.query(read_query(REQUEST_IDS[0]))[:20])
        await harness.poll_once()
        for _ in range(30):
            if b"SFATAL" in client.read():
                break
            client.send(b"x")
            harness.advance_us(100 * MS)
            await harness.poll_once()
        assert b"SFATAL" in client.read()
