"""Both sides of the protocol by bytes alone; libpq is the witness in tests/platform/test_program.py."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.postgres import client, server
from juniperreel.postgres import messages as m
from juniperreel.postgres.messages import ProtocolError

HELLO = m.startup("worker", "catalog")
ROW = (
    m.message(b"T", b"\0\1body\0" + struct.pack("!IhIhih", 0, 0, 17, -1, -1, 1))
    + m.message(b"D", b"\0\1" + struct.pack("!I", 3) + b"abc")
    + m.message(b"C", b"SELECT 1\0")
)
FACTS = m.parameter("replication_role", "standby") + m.parameter("log_position", "1767225600123")


def welcomed() -> client.ClientConnection:
    talk = client.ClientConnection("worker", "catalog")
    assert talk.feed(server.WELCOME) is None
    assert talk.phase is client.Phase.IDLE
    talk.ask(b"SELECT 1")
    return talk


def test_a_query_right_behind_the_startup_message_is_taken() -> None:
    talk = server.ServerConnection()
    talk.feed(HELLO + m.query(b"one") + m.query(b"two"))
    assert talk.next() == server.Query(b"one")
    assert bytes(talk.out) == server.WELCOME
    assert talk.next() == server.Query(b"two")
    assert talk.next() is None and talk.held == 0


@given(st.integers(1, 40))
def test_commands_come_whole_however_they_are_cut(size: int) -> None:
    data = m.LENGTH.pack(8) + m.CODE.pack(m.SSL_REQUEST) + HELLO + m.query(b"a query") + b"X\0\0\0\4"
    talk, found = server.ServerConnection(), []
    for at in range(0, len(data), size):
        talk.feed(data[at : at + size])
        while (query := talk.next()) is not None:
            found.append(query.text)
    assert found == [b"a query"] and talk.phase is server.Phase.OVER
    assert bytes(talk.out) == b"N" + server.WELCOME


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",  # a negative length
        b"\0\0\0\7",
        b"\0\0\x4e\x20",  # longer than a startup message may be
        b"GET / HTTP/1.1\r\n",
        m.LENGTH.pack(8) + m.CODE.pack(2 << 16),
        m.LENGTH.pack(9) + m.CODE.pack(m.PROTOCOL_3) + b"\0",
        HELLO + b"!",
        HELLO + b"Q\0\0\0\3",
        HELLO + b"Q\x80\0\0\0",
        HELLO + b"Q" + m.LENGTH.pack(60 << 20),  # refused by its header alone
        HELLO + m.message(b"Q", b"no end"),
        HELLO + m.message(b"Q", b"two\0ends\0"),
        HELLO + m.message(b"P", b"\0select 1\0\0\0"),
    ],
)
def test_what_is_no_command_is_named(data: bytes) -> None:
    talk = server.ServerConnection()
    talk.feed(data)
    with pytest.raises(ProtocolError):
        while talk.next() is not None:
            pass
        raise AssertionError("taken, or waited for")


@given(st.binary(max_size=300))
def test_noise_is_waited_for_or_refused_and_never_more(data: bytes) -> None:
    talk = server.ServerConnection()
    talk.feed(HELLO + data)
    try:
        while talk.next() is not None:
            pass
    except ProtocolError:
        return
    assert talk.held <= len(data)


def test_a_reply_is_told_whole_with_what_comes_beside_it() -> None:
    talk = welcomed()
    data = ROW + FACTS + m.READY
    replies = [talk.feed(data[at : at + 1]) for at in range(len(data))]
    assert replies[:-1] == [None] * (len(data) - 1)
    reply = replies[-1]
    assert reply is not None and reply.rows == ROW and reply.value == b"abc" and reply.error is None
    assert reply.parameters["log_position"] == "1767225600123"
    assert talk.clean


def test_what_comes_behind_an_answer_makes_the_connection_unfit_not_the_answer() -> None:
    for extra in (b"x", ROW + m.READY):
        talk = welcomed()
        reply = talk.feed(ROW + m.READY + extra)
        assert reply is not None and reply.rows == ROW
        assert not talk.clean


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0\0\0\0",
        b"D" + m.LENGTH.pack(3 << 30),  # a value said to have 3 GB
        b"T" + m.LENGTH.pack(2),
        m.message(b"D", b"\0\1\0\0\0\0"),  # a row that nothing described
        ROW[: ROW.index(b"C\0\0\0")] + m.READY,  # no completion
        ROW + m.message(b"D", b"\0\1" + struct.pack("!I", 1) + b"z"),
        ROW.replace(struct.pack("!I", 3) + b"abc", struct.pack("!I", 2) + b"abc"),
        m.READY,
        m.message(b"S", b"no end"),
    ],
)
def test_spoilt_replies_are_named_and_nothing_of_them_is_told(data: bytes) -> None:
    talk = welcomed()
    with pytest.raises(ProtocolError):
        talk.feed(data)
    assert not talk.so_far.rows or talk.phase is client.Phase.BUSY


@given(st.binary(max_size=200), st.integers(0, 200))
def test_noise_inside_a_reply_never_gives_another_value(noise: bytes, at: int) -> None:
    talk = welcomed()
    data = ROW + FACTS + m.READY
    at = min(at, len(data))
    try:
        reply = talk.feed(data[:at] + noise + data[at:])
    except ProtocolError:
        return
    if reply is not None and reply.rows:
        assert reply.value is not None and len(reply.rows) >= len(ROW)


def test_an_error_counts_whether_or_not_the_connection_goes_on() -> None:
    talk = welcomed()
    reply = talk.feed(m.error("ERROR", "25006", "read only") + FACTS + m.READY)
    assert reply is not None and reply.error is not None and reply.error["C"] == "25006"
    assert reply.parameters and talk.clean
    talk = welcomed()
    reply = talk.feed(m.error("FATAL", "53300", "full"))
    assert reply is not None and talk.phase is client.Phase.OVER
    talk = welcomed()
    assert talk.feed(m.error("ERROR", "53300", "full")) is None
    assert talk.so_far.error is not None


def test_a_welcome_that_turns_away() -> None:
    talk = client.ClientConnection("worker", "catalog")
    with pytest.raises(ProtocolError):
        talk.feed(m.error("FATAL", "53300", "too many connections"))
    assert talk.so_far.error is not None and talk.so_far.error["C"] == "53300"


def test_answers_in_the_codes_of_the_operators() -> None:
    refused = server.refused("busy", 120)
    assert b"C53300\0" in refused and b"D120\0" in refused and refused.endswith(m.READY)
    assert b"\0D" not in server.refused("busy", 0)
    failed = server.failed("08007", "unknown")
    assert b"53300" not in failed and b"57P03" not in failed
