"""Both sides of the protocol at byte level; tests/platform/test_program.py tests them against libpq."""

from __future__ import annotations

import struct
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.postgres import client, messages, server
from juniperreel.postgres.messages import ProtocolError

STARTUP = messages.startup("worker", "catalog")
ROW = (
    messages.message(b"T", b"\0\1body\0" + struct.pack("!IhIhih", 0, 0, 17, -1, -1, 1))
    + messages.message(b"D", b"\0\1" + struct.pack("!I", 3) + b"abc")
    + messages.message(b"C", b"SELECT 1\0")
)
STATUS = messages.parameter("replication_role", "standby") + messages.parameter(
    "log_position", "1767225600123"
)


def busy_connection() -> client.ClientConnection:
    connection = client.ClientConnection("worker", "catalog")
    assert connection.receive_data(server.STARTUP_RESPONSE) is None
    assert connection.phase is client.Phase.IDLE
    connection.send_query(b"SELECT 1")
    return connection


def take_queries(connection: server.ServerConnection) -> list[bytes]:
    """Return the texts of all queries received completely."""
    texts = []
    while (query := connection.next_query()) is not None:
        texts.append(query.text)
    return texts


def test_queries_pipelined_with_the_startup_message_are_returned() -> None:
    connection = server.ServerConnection()
    connection.receive_data(STARTUP + messages.query(b"one") + messages.query(b"two"))
    assert connection.next_query() == server.Query(b"one")
    assert bytes(connection.outgoing) == server.STARTUP_RESPONSE
    assert connection.next_query() == server.Query(b"two")
    assert connection.next_query() is None
    assert connection.buffered == 0


@given(st.integers(1, 40))
def test_commands_split_at_any_boundary_are_parsed(size: int) -> None:
    data = (
        messages.UINT32.pack(8)
        + messages.UINT32.pack(messages.SSL_REQUEST)
        + STARTUP
        + messages.query(b"a query")
        + b"X\0\0\0\4"
    )
    connection = server.ServerConnection()
    texts = []
    for at in range(0, len(data), size):
        connection.receive_data(data[at : at + size])
        texts += take_queries(connection)
    assert texts == [b"a query"]
    assert connection.phase is server.Phase.CLOSED
    assert bytes(connection.outgoing) == b"N" + server.STARTUP_RESPONSE


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",  # a negative length
        b"\0\0\0\7",
        b"\0\0\x4e\x20",  # over the limit of startup messages
        b"GET / HTTP/1.1\r\n",
        messages.UINT32.pack(8) + messages.UINT32.pack(2 << 16),
        messages.UINT32.pack(9) + messages.UINT32.pack(messages.PROTOCOL_3) + b"\0",
        STARTUP + b"!",
        STARTUP + b"Q\0\0\0\3",
        STARTUP + b"Q\x80\0\0\0",
        STARTUP + b"Q" + messages.UINT32.pack(60 << 20),  # rejected on its header alone
        STARTUP + messages.message(b"Q", b"no end"),
        STARTUP + messages.message(b"Q", b"two\0ends\0"),
        STARTUP + messages.message(b"P", b"\0select 1\0\0\0"),
    ],
)
def test_invalid_command_raises_protocol_error(data: bytes) -> None:
    connection = server.ServerConnection()
    connection.receive_data(data)
    with pytest.raises(ProtocolError):
        take_queries(connection)


@given(st.binary(max_size=300))
def test_random_bytes_are_buffered_or_rejected(data: bytes) -> None:
    connection = server.ServerConnection()
    connection.receive_data(STARTUP + data)
    try:
        take_queries(connection)
    except ProtocolError:
        return
    assert connection.buffered <= len(data)


def test_reply_received_byte_by_byte_is_returned_once_complete() -> None:
    connection = busy_connection()
    data = ROW + STATUS + messages.READY
    replies = [connection.receive_data(data[at : at + 1]) for at in range(len(data))]
    assert replies[:-1] == [None] * (len(data) - 1)
    reply = replies[-1]
    assert reply is not None
    assert reply.rows == ROW
    assert reply.value == b"abc"
    assert reply.error is None
    assert reply.parameters["log_position"] == "1767225600123"
    assert connection.is_reusable


def test_connection_with_bytes_after_a_reply_is_not_reusable() -> None:
    for extra in (b"x", ROW + messages.READY):
        connection = busy_connection()
        reply = connection.receive_data(ROW + messages.READY + extra)
        assert reply is not None
        assert reply.rows == ROW
        assert not connection.is_reusable


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0\0\0\0",
        b"D" + messages.UINT32.pack(3 << 30),  # announces a value of 3 GB
        b"T" + messages.UINT32.pack(2),
        messages.message(b"D", b"\0\1\0\0\0\0"),  # DataRow without RowDescription
        ROW[: ROW.index(b"C\0\0\0")] + messages.READY,  # no CommandComplete
        ROW + messages.message(b"D", b"\0\1" + struct.pack("!I", 1) + b"z"),
        ROW.replace(struct.pack("!I", 3) + b"abc", struct.pack("!I", 2) + b"abc"),
        messages.READY,
        messages.message(b"S", b"no end"),
    ],
)
def test_malformed_reply_raises_protocol_error_and_returns_nothing(data: bytes) -> None:
    connection = busy_connection()
    with pytest.raises(ProtocolError):
        connection.receive_data(data)
    assert not connection.partial_reply.rows or connection.phase is client.Phase.BUSY


@given(st.binary(max_size=200), st.integers(0, 200))
def test_random_bytes_inside_a_reply_do_not_truncate_it(noise: bytes, at: int) -> None:
    connection = busy_connection()
    data = ROW + STATUS + messages.READY
    at = min(at, len(data))
    try:
        reply = connection.receive_data(data[:at] + noise + data[at:])
    except ProtocolError:
        return
    if reply is not None and reply.rows:
        assert reply.value is not None
        assert len(reply.rows) >= len(ROW)


def test_connection_keeps_no_reply_after_returning_it() -> None:
    """Guards against memory held by idle connections: each kept three copies of its last value."""
    connection = busy_connection()
    reply = connection.receive_data(ROW + messages.READY)
    assert reply is not None
    assert reply.rows == ROW
    assert connection.is_reusable
    assert connection.partial_reply.rows == b""
    assert connection.partial_reply.value is None


def test_incomplete_reply_is_held_once() -> None:
    """Guards against memory held by replies that do not end: each was kept in up to three copies."""
    value_size = 60_000
    value = b"v" * value_size
    row = messages.message(b"D", b"\0\1" + struct.pack("!I", value_size) + value)
    reply = ROW[: ROW.index(b"D\0")] + row + ROW[ROW.index(b"C\0") :]
    for missing in (1, len(messages.READY) + 3, 100):
        connection = busy_connection()
        tracemalloc.start()
        try:
            assert connection.receive_data((reply + messages.READY)[:-missing]) is None
            assert tracemalloc.get_traced_memory()[0] < 1.25 * value_size
        finally:
            tracemalloc.stop()
        assert value_size - missing <= connection.held < value_size + 1_000
        complete = connection.receive_data((reply + messages.READY)[-missing:])
        assert complete is not None
        assert complete.rows == reply
        assert complete.value == value
        assert connection.held == 0


def test_parameters_of_a_reply_are_limited_in_size() -> None:
    """Guards against memory: only their number was limited, each might have 64 KiB."""
    connection = busy_connection()
    connection.receive_data(messages.parameter("pressure", "x" * 10_000))
    with pytest.raises(ProtocolError):
        connection.receive_data(messages.parameter("pressure", "x" * 10_000))


def test_error_is_available_for_reusable_closed_and_incomplete_replies() -> None:
    connection = busy_connection()
    reply = connection.receive_data(messages.error("ERROR", "25006", "read only") + STATUS + messages.READY)
    assert reply is not None
    assert reply.error is not None
    assert reply.error["C"] == "25006"
    assert reply.parameters
    assert connection.is_reusable
    connection = busy_connection()
    reply = connection.receive_data(messages.error("FATAL", "53300", "full"))
    assert reply is not None
    assert connection.phase is client.Phase.CLOSED
    connection = busy_connection()
    assert connection.receive_data(messages.error("ERROR", "53300", "full")) is None
    assert connection.partial_reply.error is not None


def test_startup_rejected_by_the_server_raises_protocol_error() -> None:
    connection = client.ClientConnection("worker", "catalog")
    with pytest.raises(ProtocolError):
        connection.receive_data(messages.error("FATAL", "53300", "too many connections"))
    assert connection.partial_reply.error is not None
    assert connection.partial_reply.error["C"] == "53300"


def test_responses_use_the_sqlstates_of_the_operators_platform() -> None:
    rejected = server.rejected("busy", 120)
    assert b"C53300\0" in rejected
    assert b"D120\0" in rejected
    assert rejected.endswith(messages.READY)
    assert b"\0D" not in server.rejected("busy", 0)
    failed = server.failed("08007", "unknown")
    assert b"53300" not in failed
    assert b"57P03" not in failed


@given(st.binary(max_size=60), st.integers(1, 30), st.booleans())
def test_connection_is_idle_only_if_nothing_surrounds_the_empty_query_response(
    noise: bytes, size: int, precedes: bool
) -> None:
    connection = busy_connection()
    assert connection.receive_data(ROW + messages.READY) is not None
    assert connection.send_sync() == messages.query(b"")
    response = server.empty_query_response()
    data = noise + response if precedes else response + noise
    try:
        for at in range(0, len(data), size):
            assert connection.receive_data(data[at : at + size]) is None
    except ProtocolError:
        assert noise
        return
    assert connection.is_reusable == (not noise)


def test_empty_query_is_sent_only_behind_a_reply() -> None:
    with pytest.raises(RuntimeError):
        busy_connection().send_sync()
