"""Connections that pass from one end to the other, and ends that are full or gone."""

from __future__ import annotations

import trio

from juniperreel.net import TcpNetwork
from juniperreel.net.socket_passing import (
    PassedSocketNetwork,
    SocketPassing,
    create_socket_pair,
    pass_connections,
)

SECONDS = 20


async def test_a_connection_is_served_by_the_other_end(nursery: trio.Nursery) -> None:
    with trio.fail_after(SECONDS):
        ours, theirs = (SocketPassing(end) for end in create_socket_pair())
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        nursery.start_soon(pass_connections, listener, b"grpc", lambda: ours)
        client = await trio.open_tcp_stream("127.0.0.1", listener.port)
        name, connection = await theirs.receive()
        assert name == b"grpc" and connection is not None
        network = PassedSocketNetwork()
        handed = await network.listen("127.0.0.1", 7)
        handed.deliver(connection)
        assert handed.queued == 1
        stream = await handed.accept()
        await client.send_all(b"there")
        assert await stream.receive_some(100) == b"there"
        await stream.send_all(b"and back")
        assert await client.receive_some(100) == b"and back"
        nursery.cancel_scope.cancel()


async def test_an_end_that_takes_no_more_or_is_gone_says_no() -> None:
    with trio.fail_after(SECONDS):
        ours, theirs = (SocketPassing(end) for end in create_socket_pair())
        count = 0
        while ours.send(b"x" * 1000):
            count += 1
            assert count < 1_000_000
        assert count > 10
        assert (await theirs.receive())[0] == b"x" * 1000
        assert ours.send(b"again")
        theirs.close()
        assert not ours.send(b"to nobody")
        assert await ours.receive() == (b"", None)


async def test_what_is_handed_to_nobody_is_closed() -> None:
    with trio.fail_after(SECONDS):
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pass_connections, listener, b"grpc", lambda: None, 0.001)
            client = await trio.open_tcp_stream("127.0.0.1", listener.port)
            assert await client.receive_some(1) == b""
            nursery.cancel_scope.cancel()


async def test_a_closed_listener_ends_those_that_accept(nursery: trio.Nursery) -> None:
    handed = await PassedSocketNetwork().listen("127.0.0.1", 7)
    await handed.aclose()
    try:
        with trio.fail_after(SECONDS):
            await handed.accept()
    except trio.ClosedResourceError:
        return
    raise AssertionError("it went on")
