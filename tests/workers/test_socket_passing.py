"""Tests of passing connections to another process, and of full or closed sockets."""

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

TIMEOUT_S = 20


async def test_passed_connection_is_served_by_the_receiver(nursery: trio.Nursery) -> None:
    with trio.fail_after(TIMEOUT_S):
        parent_channel, worker_channel = (SocketPassing(pair_socket) for pair_socket in create_socket_pair())
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        nursery.start_soon(pass_connections, listener, b"grpc", lambda: parent_channel)
        client = await trio.open_tcp_stream("127.0.0.1", listener.port)
        name, connection = await worker_channel.receive()
        assert name == b"grpc"
        assert connection is not None
        network = PassedSocketNetwork()
        worker_listener = await network.listen("127.0.0.1", 7)
        worker_listener.deliver(connection)
        assert worker_listener.queued == 1
        stream = await worker_listener.accept()
        await client.send_all(b"request")
        assert await stream.receive_some(100) == b"request"
        await stream.send_all(b"response")
        assert await client.receive_some(100) == b"response"
        nursery.cancel_scope.cancel()


async def test_send_to_a_full_or_closed_socket_returns_false() -> None:
    with trio.fail_after(TIMEOUT_S):
        parent_channel, worker_channel = (SocketPassing(pair_socket) for pair_socket in create_socket_pair())
        count = 0
        while parent_channel.send(b"x" * 1000):
            count += 1
            assert count < 1_000_000
        assert count > 10
        assert (await worker_channel.receive())[0] == b"x" * 1000
        assert parent_channel.send(b"another message")
        worker_channel.close()
        assert not parent_channel.send(b"undeliverable")
        assert await parent_channel.receive() == (b"", None)


async def test_connection_without_a_worker_is_closed() -> None:
    with trio.fail_after(TIMEOUT_S):
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pass_connections, listener, b"grpc", lambda: None, 0.001)
            client = await trio.open_tcp_stream("127.0.0.1", listener.port)
            assert await client.receive_some(1) == b""
            nursery.cancel_scope.cancel()


async def test_accept_on_a_closed_listener_raises() -> None:
    worker_listener = await PassedSocketNetwork().listen("127.0.0.1", 7)
    await worker_listener.aclose()
    with trio.fail_after(TIMEOUT_S), pytest.raises(trio.ClosedResourceError):
        await worker_listener.accept()
