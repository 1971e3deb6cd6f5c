"""The memory that all clients together can make the driver use stays within the process's limit.

Guards against a driver that is killed for memory: its limits for each connection allowed hundreds of
megabytes over all connections. Observed with 12 clients that sent 300 writes of 64 KiB each: 100 MB of
statements, most of them of commands that were refused already and whose answers waited for an earlier one.
"""

from __future__ import annotations

import contextlib
import tracemalloc
from collections.abc import Iterator
from copy import deepcopy

import pytest

from juniperreel.net.transport import READ_BYTES
from juniperreel.platform.client_connection import ClientConnection
from juniperreel.platform.endpoint_connection import EndpointConnection
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from tests.platform.event_harness import (
    MS,
    SEC,
    SETTINGS,
    STARTUP_MESSAGE,
    EventHarness,
    FakeTransport,
    read_query,
    row_reply,
    write_query,
)

MEMORY_MB = 64
SOCKETS = 256
LIMITS = {"cores": 0.5, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
STARTED_PROGRAM_MB = 20  # measured: 18; the tests count only what is allocated after the start
AVAILABLE_BYTES = (MEMORY_MB - STARTED_PROGRAM_MB) << 20
SMALL_MEMORY_MB = 32  # the smallest limit of the platform
SMALL_AVAILABLE_BYTES = (SMALL_MEMORY_MB - STARTED_PROGRAM_MB) << 20
LARGEST_VALUE = 64 << 10
REFUSED = b"C53300"
SILENT_CLIENT_TIMEOUT_US = 3 * SEC
# A client's connection and its transport, without input that is counted: half of what the smallest limit
# leaves for each descriptor.
CONNECTION_BYTES = SMALL_AVAILABLE_BYTES // 1024 // 2


@pytest.fixture
def harness() -> EventHarness:
    return EventHarness(limits=LIMITS)


@contextlib.contextmanager
def traced_allocations() -> Iterator[Allocated]:
    tracemalloc.start()
    try:
        yield Allocated()
    finally:
        tracemalloc.stop()


@pytest.fixture
def allocated(harness: EventHarness) -> Iterator[Allocated]:
    assert harness  # created before, so that it does not count
    with traced_allocations() as allocations:
        yield allocations


class Allocated:
    """The memory allocated since the creation of this object. Exists only while allocations are traced."""

    def __init__(self) -> None:
        self._start = tracemalloc.get_traced_memory()[0]

    @property
    def bytes(self) -> int:
        return tracemalloc.get_traced_memory()[0] - self._start


def large_write(name: str, key: str) -> bytes:
    text = write_query(name, timeout_ms=2000, key=key)
    return m.query(text.replace(b"\\x00", b"\\x" + b"ab" * LARGEST_VALUE))


def send(harness: EventHarness, transport: FakeTransport, data: bytes) -> int:
    """Deliver data as the driver reads it, one part an iteration, until it stops reading; return how much."""
    sent = 0
    while sent < len(data) and not transport.reading_paused and not transport.closed:
        assert transport.protocol is not None
        limit = getattr(transport.protocol, "read_limit", READ_BYTES)
        transport.protocol.data_received(data[sent : sent + limit])
        sent += limit
        harness.process()
    return min(sent, len(data))


def connect(harness: EventHarness) -> FakeTransport:
    """Connect a client that sends no command yet."""
    transport = FakeTransport()
    harness.driver.client_listener.accept(transport)
    send(harness, transport, STARTUP_MESSAGE)
    transport.take()
    return transport


def endpoint_queries(harness: EventHarness) -> dict[FakeTransport, bytes]:
    """Complete the startup of all new endpoint connections; return their queries."""
    queries = {}
    for transport in harness.busy_transports():
        connection = transport.protocol
        assert isinstance(connection, EndpointConnection)
        if connection.protocol.phase.value == "startup":
            queries[transport] = harness.log_in(transport)
        elif transport.sent:
            queries[transport] = transport.take()
    return queries


def test_large_writes_pipelined_by_many_clients_stay_within_limit(
    harness: EventHarness, allocated: Allocated
) -> None:
    clients = [connect(harness) for _ in range(12)]
    for number in range(80):
        for place, client in enumerate(clients):
            send(harness, client, large_write(f"{place:08x}{number:08x}", f"row-{place}-{number}"))
        if number % 8 == 0:
            harness.process()
        assert allocated.bytes < AVAILABLE_BYTES
    usual = connect(harness)
    send(harness, usual, large_write("f" * 16, "row-usual"))
    harness.process()
    assert any(b"id=ffffffffffffffff" in query for query in endpoint_queries(harness).values())
    harness.advance_us(4 * SEC)
    answered = [client.take().count(m.READY) for client in clients]
    assert min(answered) >= 64
    assert usual.take().endswith(m.READY)


def test_every_connection_may_have_one_large_command_open(harness: EventHarness) -> None:
    count = SOCKETS // 3  # of the descriptors, the largest part that the platform uses for requests
    clients = [connect(harness) for _ in range(count)]
    for number, client in enumerate(clients):
        send(harness, client, large_write(f"{number:016x}", f"row-{number}"))
    assert len(harness.driver.requests.by_id) == count


def test_silent_clients_with_incomplete_commands_leave_room_for_others() -> None:
    harness = EventHarness(limits={**LIMITS, "memory_mb": SMALL_MEMORY_MB})
    silent = [connect(harness) for _ in range(harness.driver.budget.client_limit - 1)]
    with traced_allocations() as allocated:
        for number, client in enumerate(silent):
            send(harness, client, large_write(f"{number:016x}", f"row-{number}")[:-100])
            assert allocated.bytes < SMALL_AVAILABLE_BYTES
    usual = connect(harness)
    send(harness, usual, large_write("f" * 16, "row-usual"))
    harness.process()
    assert any(b"id=ffffffffffffffff" in query for query in endpoint_queries(harness).values())
    harness.advance_us(SILENT_CLIENT_TIMEOUT_US)
    assert all(b"C08P01" in client.take() for client in silent)


def test_commands_behind_the_open_ones_of_many_connections_stay_within_limit() -> None:
    harness = EventHarness(limits={**LIMITS, "sockets": 1024})
    clients = [connect(harness) for _ in range(300)]
    with traced_allocations() as allocated:
        for place, client in enumerate(clients):
            names = [f"{place:08x}{number:08x}" for number in range(64)]
            send(harness, client, b"".join(m.query(write_query(name, key=f"row-{place}")) for name in names))
            send(
                harness,
                client,
                large_write(f"{place:08x}aaaaaaaa", "row") + large_write(f"{place:08x}bbbbbbbb", "row"),
            )
            assert allocated.bytes < AVAILABLE_BYTES


def test_client_whose_command_is_read_slowly_for_want_of_memory_is_not_closed(harness: EventHarness) -> None:
    """Guards against a connection that is ended, with its commands, for what the driver had not read."""
    memory = harness.driver.memory
    memory.commands.add(memory.input.limit // 2 + 1)
    client = connect(harness)
    command = large_write("1" * 16, "row-1")
    assert isinstance(client.protocol, ClientConnection)
    part = client.protocol.read_limit
    assert part < READ_BYTES
    for start in range(0, len(command), part):
        client.has_unread = start + part < len(command)
        harness.feed(client, command[start : start + part])
        harness.advance_us(250 * MS)  # beside other clients
    assert not client.eof_written
    assert client.take().endswith(m.READY) or "1" * 16 in harness.driver.requests.by_id


def test_command_discarded_while_incomplete_is_refused_once_complete(harness: EventHarness) -> None:
    client = harness.client()
    command = large_write("1" * 16, "row-1")
    send(harness, client, command[:-100])
    assert isinstance(client.protocol, ClientConnection)
    client.protocol.discard_incomplete_message()
    assert client.take() == b""
    send(harness, client, command[-100:] + m.query(b""))
    harness.process()
    answers = client.take()
    assert REFUSED in answers
    assert answers.endswith(m.EMPTY_QUERY + m.READY)
    assert not harness.driver.requests.by_id


def test_large_answers_behind_slow_requests_stay_within_limit(
    harness: EventHarness, allocated: Allocated
) -> None:
    clients = [harness.client(write_query(f"{n:016x}", key=f"slow-{n}")) for n in range(30)]
    slow = endpoint_queries(harness)
    assert len(slow) == len(clients)
    for number in range(40):
        for place, client in enumerate(clients):
            send(harness, client, m.query(read_query(f"{place + 1:08x}{number:08x}", key=f"row-{place}")))
        harness.process()
        for transport in [found for found in endpoint_queries(harness) if found not in slow]:
            harness.feed(transport, row_reply(b"v" * LARGEST_VALUE))
        assert allocated.bytes < AVAILABLE_BYTES
    for transport in slow:
        harness.feed(transport, row_reply(role="primary"))
    harness.advance_us(2 * SEC)
    for client in clients:
        assert client.take().count(m.READY) == 41
    assert harness.driver.memory.withheld_answers


def test_replies_that_do_not_end_stay_within_limit_and_leave_room_for_others() -> None:
    """Guards against memory that endpoints fill: incomplete replies of many attempts were counted nowhere."""
    harness = EventHarness(limits={**LIMITS, "memory_mb": SMALL_MEMORY_MB, "sockets": 1024})
    for number in range(SMALL_AVAILABLE_BYTES // LARGEST_VALUE + 20):
        harness.client(write_query(f"{number:016x}", key=f"row-{number}"))
    stuck = endpoint_queries(harness)
    assert len(stuck) * LARGEST_VALUE > SMALL_AVAILABLE_BYTES
    with traced_allocations() as allocated:
        for transport in stuck:
            harness.feed(transport, row_reply(b"v" * LARGEST_VALUE, role="primary")[:-20])
            assert allocated.bytes < SMALL_AVAILABLE_BYTES
        assert harness.driver.endpoint_pools.replies.discarded
        usual = harness.client(write_query("f" * 16, key="row-usual"))
        queries = endpoint_queries(harness)
        transport = next(found for found, query in queries.items() if b"f" * 16 in query)
        reply = row_reply(b"v" * LARGEST_VALUE, role="primary")
        for start in range(0, len(reply), READ_BYTES // 4):
            harness.feed(transport, reply[start : start + READ_BYTES // 4])
        assert b"v" * LARGEST_VALUE in usual.take()
    harness.advance_us(4 * SEC)
    assert harness.driver.memory.replies.used == 0


@pytest.mark.parametrize("memory_mb, sockets", [(32, 256), (32, 1024), (64, 256), (192, 1024)])
def test_shares_and_connections_fit_the_limit(memory_mb: int, sockets: int) -> None:
    """Guards against memory: with many descriptors their connections took what the shares were promised."""
    harness = EventHarness(limits={**LIMITS, "memory_mb": memory_mb, "sockets": sockets})
    memory = harness.driver.memory
    shares = memory.input.limit + memory.answers.limit + memory.replies.limit
    connections = sockets * CONNECTION_BYTES
    assert (STARTED_PROGRAM_MB << 20) + connections + shares < memory_mb << 20
    clients = [connect(harness) for _ in range(harness.driver.budget.client_limit // 2)]
    with traced_allocations() as allocated:
        clients += [connect(harness) for _ in range(harness.driver.budget.client_limit // 2)]
        assert allocated.bytes < len(clients) // 2 * CONNECTION_BYTES


def test_startup_messages_that_do_not_end_stay_within_limit() -> None:
    """Guards against memory held by hundreds of clients that send the head of a long startup message."""
    harness = EventHarness(limits={**LIMITS, "memory_mb": SMALL_MEMORY_MB, "sockets": 1024})
    size = server.STARTUP_LIMIT
    startup = m.UINT32.pack(size) + m.UINT32.pack(m.PROTOCOL_3) + b"a\0" * ((size - 100) // 2)
    memory = harness.driver.memory
    with traced_allocations() as allocated:
        clients = [FakeTransport() for _ in range(harness.driver.budget.client_limit)]
        for client in clients:
            harness.driver.client_listener.accept(client)
            send(harness, client, startup)
            assert allocated.bytes < memory.input.limit + len(clients) * CONNECTION_BYTES
    assert harness.driver.client_listener.input_buffers.discarded
    assert b"C53300" in clients[0].take()
    assert not clients[-1].take()
    harness.advance_us(SILENT_CLIENT_TIMEOUT_US)
    assert memory.input.used == 0


def test_tables_of_names_that_clients_choose_leave_the_clients_their_share() -> None:
    """Guards against memory: under ever new ids and sessions the tables grew to 10 MB and more."""
    harness = EventHarness(limits={**LIMITS, "memory_mb": SMALL_MEMORY_MB})
    memory = harness.driver.memory
    left_bytes = SMALL_AVAILABLE_BYTES - memory.input.limit - memory.answers.limit - memory.replies.limit
    state = harness.driver.router.state
    with traced_allocations() as allocated:
        for number in range(30_000):
            name = f"{number:0>128}"  # the longest
            harness.driver.requests.answered_ids.add(f"{number:016x}", harness.time)
            state.sessions.record((0, name), harness.time + number)
            state.sessions.evict_one(harness.time)
        assert allocated.bytes < left_bytes


@pytest.mark.parametrize(
    "read_effect, answers_to_read",
    [("repeatable", REFUSED), ("once", b"C08007")],
    ids=["repeatable", "once"],
)
def test_withheld_answers_invite_repetition_of_idempotent_requests_only(
    read_effect: str, answers_to_read: bytes
) -> None:
    """Guards against a second execution: the request was executed before its answer was withheld."""
    settings = deepcopy(SETTINGS)
    settings["services"][0]["effect"] = read_effect
    harness = EventHarness(limits=LIMITS, settings=settings)
    harness.driver.memory.answers.limit = 0
    client = harness.client(
        write_query("1" * 16, key="slow-1"), write_query("2" * 16, key="row-2"), read_query("3" * 16)
    )
    reply = row_reply(b"v" * 1024, role="primary")
    queries = endpoint_queries(harness)
    assert len(queries) == 3
    for transport, query in sorted(queries.items(), key=lambda item: b"slow-1" in item[1]):
        harness.feed(transport, reply if b"INSERT" in query else row_reply(b"v" * 1024))
    answers = client.take().split(m.READY)
    assert answers[0].startswith(row_reply()[:10])  # the first needs no memory, as it can be sent at once
    assert b"C08007" in answers[1]
    assert answers_to_read in answers[2]


def test_small_answers_are_never_withheld(harness: EventHarness) -> None:
    harness.driver.memory.answers.limit = 0
    client = harness.client(write_query("1" * 16, key="slow-1"), read_query("2" * 16))
    queries = endpoint_queries(harness)
    for transport, _ in sorted(queries.items(), key=lambda item: b"slow-1" in item[1]):
        harness.feed(transport, row_reply(role="primary"))
    assert client.take().count(b"SELECT 1") == 2


def test_clients_that_do_not_read_are_given_at_most_one_answer_beyond_the_share(
    harness: EventHarness,
) -> None:
    client = harness.client(read_query("1" * 16), read_query("2" * 16, key="row-2"))
    client.unsent_bytes = harness.driver.memory.answers.limit
    assert isinstance(client.protocol, ClientConnection)
    harness.driver.client_listener.answer_buffers.update(client.protocol)
    for transport in endpoint_queries(harness):
        harness.feed(transport, row_reply(b"v" * LARGEST_VALUE))
    harness.process()
    assert client.take().count(REFUSED) == 2
    assert client.reading_paused


def test_client_paused_because_others_do_not_read_is_resumed(harness: EventHarness) -> None:
    answers = harness.driver.memory.answers
    client = harness.client(read_query("1" * 16))
    (transport,) = endpoint_queries(harness)
    client.unsent_bytes = 100
    answers.add(answers.limit + 1)  # held for clients that do not read
    harness.feed(client, m.query(read_query("2" * 16)))
    assert client.reading_paused
    client.unsent_bytes = 0
    answers.add(-answers.limit - 1)
    harness.advance_us(300 * MS)
    assert not client.reading_paused
    assert "2" * 16 in harness.driver.requests.by_id
    assert transport.sent == b""


def test_memory_of_finished_commands_is_returned(harness: EventHarness) -> None:
    memory = harness.driver.memory
    left, answered = connect(harness), connect(harness)
    send(harness, left, large_write("1" * 16, "row-1") + large_write("2" * 16, "row-1") + b"Q")
    send(harness, answered, m.query(write_query("3" * 16, key="row-3")) + m.query(b"nonsense"))
    harness.process()
    assert memory.commands.used > 4 * LARGEST_VALUE
    harness.disconnect(left)
    harness.advance_us(3 * SEC)
    assert answered.take().count(m.READY) == 2
    harness.disconnect(answered)
    harness.advance_us(100 * MS)
    assert (memory.input.used, memory.commands.used, memory.answers.used) == (0, 0, 0)
