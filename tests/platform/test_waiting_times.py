"""How long commands have waited unread: what comes later than a wait is not part of it, or it is rejected."""

from __future__ import annotations

from juniperreel.postgres import messages as m
from tests.platform.event_harness import HELLO, SEC, write_text
from tests.platform.socket_harness import RemoteEnd, SocketHarness

ID = "00000000000000a1"
WRITE = m.query(write_text(ID, span=1_000))


async def expect_forwarded(harness: SocketHarness, client: RemoteEnd, data: bytes) -> None:
    """Send a write, which has to reach the primary rather than be rejected as too late."""
    client.send(data)
    end = await harness.next_query("p")
    assert ID.encode() in end.got


async def test_what_a_client_sends_long_after_it_waited_to_be_accepted_is_not_late() -> None:
    with SocketHarness() as harness:
        client = harness.connect()
        harness.acceptor.waiting_since_us = harness.clock.time
        harness.advance_us(SEC // 2)
        await harness.until(lambda: harness.client_transports)
        harness.advance_us(SEC)
        await expect_forwarded(harness, client, HELLO + WRITE)


async def test_what_a_client_sends_long_after_a_pause_of_reading_is_not_late() -> None:
    with SocketHarness() as harness:
        client = await harness.client()
        (connection,) = harness.driver.client_listener.clients
        connection.pause_reading()
        connection.resume()
        harness.advance_us(SEC + SEC // 2)
        await expect_forwarded(harness, client, WRITE)


async def test_what_waited_through_a_pause_of_reading_has_its_time_from_there() -> None:
    with SocketHarness() as harness:
        client = await harness.client()
        (connection,) = harness.driver.client_listener.clients
        connection.pause_reading()
        client.send(WRITE)
        await harness.wait_for_event(harness.client_transports[0])
        harness.advance_us(SEC + SEC // 2)
        connection.resume()
        assert b"C53300" in await harness.read_answer(client)
        assert not any(member.queries for member in harness.members.values())


async def test_a_client_that_waited_long_to_be_accepted_is_read_before_it_is_closed() -> None:
    """Danger: its request was sent to a connection that was accepted, and has to be answered."""
    with SocketHarness() as harness:
        client = harness.connect()
        client.send(HELLO + WRITE)
        harness.acceptor.waiting_since_us = harness.clock.time
        harness.advance_us(5 * SEC)
        await harness.until(lambda: harness.client_transports)
        harness.driver.client_listener.close_inactive()
        assert b"C53300" in await harness.read_answer(client)
        assert not client.ended
