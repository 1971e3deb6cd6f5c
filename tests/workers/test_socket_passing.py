"""Connections that pass from one end to the other, and ends that are full or gone."""

from __future__ import annotations

import pytest
import trio

from juniperreel.net import TcpNetwork
from juniperreel.net.socket_passing import (
    PassedSocketNetwork,
    SocketPassing,
    create_socket_pair,
    pass_connections,
)

SECONDS = 20


async def test_passed_connection_is_served_by_the_other_process(nursery: trio.Nursery) -> None:
    with trio.fail_after(SECONDS):
        ours, theirs = (SocketPassing(end) for end in create_socket_pair())
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        nursery.start_soon(pass_connections, listener, b"grpc", lambda: ours)
        client = await trio.open_tcp_stream("127.0.0.1", listener.port)
        name, connection = await theirs.receive()
        assert name == b"grpc"
        assert connection is not None
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


async def test_send_to_a_full_or_closed_end_returns_false() -> None:
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


async def test_connection_without_a_worker_is_closed() -> None:
    with trio.fail_after(SECONDS):
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pass_connections, listener, b"grpc", lambda: None, 0.001)
            client = await trio.open_tcp_stream("127.0.0.1", listener.port)
            assert await client.receive_some(1) == b""
            nursery.cancel_scope.cancel()


async def test_accept_on_a_closed_listener_raises() -> None:
    handed = await PassedSocketNetwork().listen("127.0.0.1", 7)
    await handed.aclose()
    with trio.fail_after(SECONDS), pytest.raises(trio.ClosedResourceError):
        await handed.accept()
