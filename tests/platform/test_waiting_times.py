"""Waiting time of unread commands: a wait that ended before a command arrived must not count against it."""

from __future__ import annotations

from juniperreel.postgres import messages as m
from tests.platform.event_harness import SEC, STARTUP_MESSAGE, write_query
from tests.platform.socket_harness import PeerConnection, SocketHarness

ID = "00000000000000a1"
WRITE = m.query(write_query(ID, timeout_ms=1_000))


async def expect_forwarded(harness: SocketHarness, client: PeerConnection, data: bytes) -> None:
    """Send a write and check that it reaches the primary instead of being rejected as too late."""
    client.send(data)
    end = await harness.next_query("p")
    assert ID.encode() in end.received


async def test_command_sent_long_after_delayed_accept_is_not_late() -> None:
    with SocketHarness() as harness:
        client = harness.connect()
        harness.acceptor.waiting_since_us = harness.clock.time
        harness.advance_us(SEC // 2)
        await harness.wait_until(lambda: harness.client_transports)
        harness.advance_us(SEC)
        await expect_forwarded(harness, client, STARTUP_MESSAGE + WRITE)


async def test_command_sent_long_after_read_pause_is_not_late() -> None:
    with SocketHarness() as harness:
        client = await harness.client()
        (connection,) = harness.driver.client_listener.clients
        connection.pause_reading()
        connection.resume()
        harness.advance_us(SEC + SEC // 2)
        await expect_forwarded(harness, client, WRITE)


async def test_time_of_command_received_during_read_pause_counts_from_pause() -> None:
    with SocketHarness() as harness:
        client = await harness.client()
        (connection,) = harness.driver.client_listener.clients
        connection.pause_reading()
        client.send(WRITE)
        await harness.wait_for_event(harness.client_transports[0])
        harness.advance_us(SEC + SEC // 2)
        connection.resume()
        assert b"C53300" in await harness.read_answer(client)
        assert not any(endpoint.queries for endpoint in harness.endpoints.values())


async def test_client_with_delayed_accept_is_read_before_idle_close() -> None:
    """Guards against closing a connection whose request arrived during the wait and must be answered."""
    with SocketHarness() as harness:
        client = harness.connect()
        client.send(STARTUP_MESSAGE + WRITE)
        harness.acceptor.waiting_since_us = harness.clock.time
        harness.advance_us(5 * SEC)
        await harness.wait_until(lambda: harness.client_transports)
        harness.driver.client_listener.close_inactive()
        assert b"C53300" in await harness.read_answer(client)
        assert not client.close_kind
