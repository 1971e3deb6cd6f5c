"""Queries beyond what is kept are counted, and returned as discarded in their place."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.postgres import messages, server
from juniperreel.postgres.messages import ProtocolError
from tests.postgres.test_connections import STARTUP

TERMINATE = b"X\0\0\0\4"


def take_all(connection: server.ServerConnection) -> list[server.Query]:
    queries = []
    while (query := connection.next_query()) is not None:
        queries.append(query)
    return queries


def connection_with(data: bytes) -> server.ServerConnection:
    """Return a connection whose startup is complete and that holds `data`."""
    connection = server.ServerConnection()
    connection.receive_data(STARTUP)
    assert connection.next_query() is None
    connection.receive_data(data)
    return connection


@given(
    kept=st.lists(st.binary(max_size=20).map(lambda text: text.replace(b"\0", b"")), max_size=4),
    excess=st.lists(st.integers(0, 300), max_size=6),
    split=st.integers(0, 400),
    piece=st.integers(1, 50),
)
def test_queries_are_returned_in_order_the_excess_without_text(
    kept: list[bytes], excess: list[int], split: int, piece: int
) -> None:
    first = b"".join(map(messages.query, kept))
    rest = b"".join(messages.query(b"x" * size) for size in excess)
    split = min(split, len(rest))
    connection = connection_with(first + rest[:split])
    buffered_whole = len(kept) + sum(
        sum(6 + size for size in excess[: n + 1]) <= split for n in range(len(excess))
    )
    connection.drop_excess()
    for at in range(split, len(rest), piece):
        connection.receive_data(rest[at : at + piece])
    assert connection.buffered == len(first) + len(rest)
    queries = take_all(connection)
    assert [query.is_discarded for query in queries] == [
        n >= buffered_whole for n in range(len(kept) + len(excess))
    ]
    assert [query.text for query in queries[: len(kept)]] == kept
    assert connection.buffered == 0
    assert not connection.drops_excess
    connection.receive_data(messages.query(b"later"))
    assert take_all(connection) == [server.Query(b"later")]


@given(st.integers(0, 205))
def test_query_that_is_incomplete_when_the_excess_ends_is_discarded(received: int) -> None:
    connection = connection_with(b"")
    connection.drop_excess()
    query = messages.query(b"x" * 200)
    connection.receive_data(query + query[:received])
    assert take_all(connection) == [server.Query(b"", is_discarded=True)]
    assert connection.held < messages.HEADER_SIZE
    connection.receive_data(query[received:] + messages.query(b"later"))
    last = take_all(connection)
    assert last[-1] == server.Query(b"later")
    # A query of whose header a part was missing is kept like any other.
    assert last[0].is_discarded == (received >= messages.HEADER_SIZE)


def test_other_messages_among_the_excess_are_handled_in_their_turn() -> None:
    for data, ends in (
        (TERMINATE, True),
        (b"P\0\0\0\4", False),
        (b"P\0\0\0\x14" + b"x" * 16, False),
        (b"Q\0\0\0\3", False),
        (b"\0" * 9, False),
    ):
        connection = connection_with(messages.query(b"kept"))
        connection.drop_excess()
        connection.receive_data(messages.query(b"excess") + data + messages.query(b"behind it"))
        assert connection.next_query() == server.Query(b"kept")
        assert connection.next_query() == server.Query(b"", is_discarded=True)
        if ends:
            assert connection.next_query() is None
            assert connection.phase is server.Phase.CLOSED
        else:
            with pytest.raises(ProtocolError):
                connection.next_query()


def test_excess_takes_no_memory() -> None:
    connection = connection_with(b"")
    connection.drop_excess()
    for _ in range(100):
        connection.receive_data(messages.query(b"x" * 60_000) * 3)
        assert connection.held == 0
    assert sum(query.is_discarded for query in take_all(connection)) == 300
