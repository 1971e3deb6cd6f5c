"""Reserved ports, for servers that restart on the same port."""

from __future__ import annotations

import socket

import pytest
import trio

from juniperreel.net import ConnectRefusedError, ReservedPort, TcpNetwork, hung_up


async def test_server_can_listen_on_its_reserved_port_repeatedly() -> None:
    network, reserved = TcpNetwork(), ReservedPort()
    for _ in range(3):
        with pytest.raises(ConnectRefusedError):
            await network.connect("127.0.0.1", reserved.port, 5_000_000)
        listener = await network.listen("127.0.0.1", reserved.port)
        stream = await network.connect("127.0.0.1", reserved.port, 5_000_000)
        server_end = await listener.accept()
        assert listener.port == reserved.port
        assert not hung_up(server_end)
        await stream.aclose()
        assert hung_up(server_end)
        await server_end.aclose()
        await listener.aclose()
    reserved.close()


async def test_reserved_ports_are_not_used_as_ephemeral_ports() -> None:
    """Any free port may become the local port of an outgoing connection, which would block a restart."""
    reserved = [ReservedPort() for _ in range(50)]
    reserved_numbers = {reservation.port for reservation in reserved}
    network = TcpNetwork()
    listener = await network.listen("127.0.0.1", 0)
    with trio.fail_after(60):
        for _ in range(300):
            stream = await network.connect("127.0.0.1", listener.port, 5_000_000)
            assert isinstance(stream, trio.SocketStream)
            assert stream.socket.getsockname()[1] not in reserved_numbers
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            await stream.aclose()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", reserved[0].port))
    await listener.aclose()
    for port in reserved:
        port.close()
