"""A closed connection releases all that it holds when it closes, not when the garbage collector runs.

Guards against a driver that is killed for memory by connections that are closed: each kept up to 200 KB until
the collector of reference cycles had a full run, which counts objects and not bytes. All tests run with the
collector off, on sockets.
"""

from __future__ import annotations

import gc
import struct
import weakref
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, NamedTuple

import pytest

from tests.platform.event_harness import SEC, STARTUP_MESSAGE, row_reply, write_query
from tests.platform.socket_harness import PeerConnection, SocketHarness

CONNECTIONS = 6  # closed in each way
LARGE = b"x" * 60_000
HUGE_LENGTH_COMMAND = b"Q" + struct.pack("!I", 60_000_000) + LARGE
HALF_COMMAND = b"Q" + struct.pack("!I", 100_000) + LARGE
Scenario = Callable[[SocketHarness], Awaitable[None]]


@pytest.fixture(autouse=True)
def garbage_collector_off() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


class Watch:
    """The client and endpoint connections of a driver, and their transports, as long as they exist."""

    def __init__(self, harness: SocketHarness) -> None:
        self._harness = harness
        self.existing: weakref.WeakSet[Any] = weakref.WeakSet()
        self.seen = 0

    def observe(self) -> None:
        """Add the connections that are open now."""
        driver = self._harness.driver
        for client in driver.client_listener.clients:
            self._add(client, client._transport)
        for pool in driver.endpoint_pools.pools.values():
            for connection in pool.connections:
                self._add(connection, connection.transport)

    def _add(self, *objects: Any) -> None:
        for found in objects:
            self.seen += found not in self.existing
            self.existing.add(found)


async def connected_clients(harness: SocketHarness, *texts: bytes) -> list[PeerConnection]:
    return [await harness.client(*texts) for _ in range(CONNECTIONS)]


async def read_fatal_error(harness: SocketHarness, client: PeerConnection) -> None:
    await harness.wait_until(lambda: b"FATAL" in client.read())


async def unreadable_length(harness: SocketHarness) -> None:
    for client in await connected_clients(harness):
        client.send(HUGE_LENGTH_COMMAND)
        await read_fatal_error(harness, client)
        client.close()


async def half_a_command_and_a_close(harness: SocketHarness) -> None:
    for client in await connected_clients(harness):
        client.send(HALF_COMMAND)
        await harness.poll_once()
        client.close()


async def half_a_command_that_times_out(harness: SocketHarness) -> None:
    clients = await connected_clients(harness)
    for client in clients:
        client.send(HALF_COMMAND)
    await harness.poll_once()
    harness.advance_us(4 * SEC)
    for client in clients:
        client.close()


async def nothing_asked(harness: SocketHarness) -> None:
    await connected_clients(harness)
    harness.advance_us(4 * SEC)


async def half_a_startup_message(harness: SocketHarness) -> None:
    for _ in range(CONNECTIONS):
        harness.connect().send(STARTUP_MESSAGE[:-1])
    await harness.wait_until(lambda: len(harness.driver.client_listener.clients) == CONNECTIONS)
    harness.advance_us(4 * SEC)


async def commands_that_wait_for_each_other_and_a_close(harness: SocketHarness) -> None:
    for number in range(CONNECTIONS):
        client = await harness.client(*(write_query(f"{number:08x}{n:08x}") for n in range(4)))
        await harness.wait_until(lambda: harness.driver.requests.by_id)
        client.close()
        await harness.wait_until(lambda: not harness.driver.client_listener.clients)
    harness.advance_us(4 * SEC)


async def evicted_for_other_clients(harness: SocketHarness) -> None:
    harness.driver.budget.client_limit = CONNECTIONS
    for _ in range(2 * CONNECTIONS):
        await harness.client()
    harness.advance_us(4 * SEC)


CLIENT_SCENARIOS = [
    unreadable_length,
    half_a_command_and_a_close,
    half_a_command_that_times_out,
    nothing_asked,
    half_a_startup_message,
    commands_that_wait_for_each_other_and_a_close,
    evicted_for_other_clients,
]


async def assert_nothing_is_left(harness: SocketHarness, watch: Watch) -> None:
    harness.client_transports.clear()
    await harness.poll_once()
    memory = harness.driver.memory
    assert watch.seen > 0
    assert [type(found).__name__ for found in watch.existing] == []
    assert (memory.input.used, memory.commands.used, memory.answers.used) == (0, 0, 0)


def watched(harness: SocketHarness) -> Watch:
    """Watch every connection that is open after any iteration of the driver."""
    watch = Watch(harness)
    process_pending = harness.driver.process_pending

    def process_and_observe() -> None:
        watch.observe()
        process_pending()
        watch.observe()

    harness.driver.process_pending = process_and_observe  # type: ignore[method-assign]
    return watch


@pytest.mark.parametrize("scenario", CLIENT_SCENARIOS, ids=lambda scenario: scenario.__name__)
async def test_closed_client_connection_holds_no_memory(scenario: Scenario) -> None:
    """Guards against memory that grows with each closed client until a full run of the collector."""
    with SocketHarness() as harness:
        watch = watched(harness)
        await scenario(harness)
        await harness.wait_until(lambda: not harness.driver.client_listener.clients)
        assert watch.seen >= 2 * CONNECTIONS
        await assert_nothing_is_left(harness, watch)


class OpenWrite(NamedTuple):
    """The peers of a write that waits for its reply."""

    client: PeerConnection
    endpoint: PeerConnection


async def start_write(harness: SocketHarness, number: int) -> OpenWrite:
    client = await harness.client(write_query(f"{number:016x}", key=f"row-{number}"))
    end = await harness.next_query("p")
    end.take()
    return OpenWrite(client, end)


async def start_writes(harness: SocketHarness) -> list[OpenWrite]:
    """Start writes side by side, each on a connection of its own."""
    return [await start_write(harness, number) for number in range(CONNECTIONS)]


async def reply_that_never_ends(harness: SocketHarness) -> None:
    for write in await start_writes(harness):
        write.endpoint.send(row_reply(LARGE)[:-20])
    await harness.poll_once()
    await harness.poll_once()


async def spoilt_reply(harness: SocketHarness) -> None:
    for write in await start_writes(harness):
        write.endpoint.send(row_reply(LARGE, complete=False) + b"\0noise")
    await harness.poll_once()


async def reset_within_a_reply(harness: SocketHarness) -> None:
    for write in await start_writes(harness):
        write.endpoint.send(row_reply(LARGE, complete=False))
        await harness.poll_once()
        write.endpoint.close()
    await harness.poll_once()


async def noise_behind_a_reply(harness: SocketHarness) -> None:
    harness.endpoints["p"].answers_empty_queries = False
    for write in await start_writes(harness):
        write.endpoint.send(row_reply(b"v", role="primary"))
        await harness.poll_once()
        write.endpoint.send(row_reply(LARGE, complete=False))
    await harness.poll_once()


async def idle_connection_that_the_endpoint_closes(harness: SocketHarness) -> None:
    writes = await start_writes(harness)
    for write in writes:
        write.endpoint.send(row_reply(LARGE, role="primary"))
        await harness.wait_until_idle("p")
    for write in writes:
        write.endpoint.close()


async def endpoint_that_never_welcomes(harness: SocketHarness) -> None:
    clients = [
        await harness.client(write_query(f"{number:016x}", key=f"row-{number}"))
        for number in range(CONNECTIONS)
    ]
    await harness.poll_once()
    harness.advance_us(4 * SEC)
    for client in clients:
        client.close()


async def client_that_leaves_during_a_reply(harness: SocketHarness) -> None:
    for write in await start_writes(harness):
        write.endpoint.send(row_reply(LARGE)[:-20])
        await harness.poll_once()
        write.client.close()
        await harness.poll_once()


ENDPOINT_SCENARIOS = [
    reply_that_never_ends,
    spoilt_reply,
    reset_within_a_reply,
    noise_behind_a_reply,
    idle_connection_that_the_endpoint_closes,
    endpoint_that_never_welcomes,
    client_that_leaves_during_a_reply,
]


@pytest.mark.parametrize("scenario", ENDPOINT_SCENARIOS, ids=lambda scenario: scenario.__name__)
async def test_closed_endpoint_connection_holds_no_memory(scenario: Scenario) -> None:
    """Guards against memory that grows with each reply that does not end, until a run of the collector."""
    with SocketHarness() as harness:
        watch = watched(harness)
        await scenario(harness)
        await harness.poll_once()
        harness.advance_us(10 * SEC)  # beyond all deadlines, and idle times of clients and endpoints
        await harness.wait_until(lambda: not harness.driver.client_listener.clients)
        assert not any(pool.connections for pool in harness.driver.endpoint_pools.pools.values())
        assert watch.seen >= 4 * CONNECTIONS
        await assert_nothing_is_left(harness, watch)


async def test_timers_of_an_ended_attempt_keep_no_connection() -> None:
    """Guards against replies held by the time-out of an attempt that has ended, until the deadline."""
    with SocketHarness() as harness:
        watch = watched(harness)
        write = await start_write(harness, 1)
        harness.advance_us(harness.driver.config.connect_timeout_us)
        write.endpoint.send(row_reply(LARGE)[:-20])
        await harness.poll_once()
        write.client.close()
        await harness.wait_until(lambda: not harness.driver.client_listener.clients)
        await harness.wait_until(lambda: not harness.driver.endpoint_pools.pools["p"].connections)
        await assert_nothing_is_left(harness, watch)


async def test_closing_connection_keeps_no_input() -> None:
    """Guards against input held for a client that was told to go and does not close its side."""
    with SocketHarness() as harness:
        client = await harness.client()
        client.send(HUGE_LENGTH_COMMAND)
        await read_fatal_error(harness, client)
        (connection,) = harness.driver.client_listener.clients
        assert connection.closing_since_us
        assert connection._protocol.held == 0
        assert harness.driver.memory.input.used == 0
