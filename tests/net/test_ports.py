"""Ports that are kept for whoever comes back to them."""

from __future__ import annotations

import socket

import pytest
import trio

from juniperreel.net import ConnectRefusedError, ReservedPort, TcpNetwork, hung_up


async def test_a_held_port_is_its_owners_whenever_it_comes_back() -> None:
    network, held = TcpNetwork(), ReservedPort()
    for _ in range(3):
        with pytest.raises(ConnectRefusedError):
            await network.connect("127.0.0.1", held.port, 5_000_000)
        listener = await network.listen("127.0.0.1", held.port)
        stream = await network.connect("127.0.0.1", held.port, 5_000_000)
        ours = await listener.accept()
        assert listener.port == held.port
        assert not hung_up(ours)
        await stream.aclose()
        assert hung_up(ours)
        await ours.aclose()
        await listener.aclose()
    held.close()


async def test_nobody_is_given_a_held_port_for_their_own_end() -> None:
    """Every free port of the system is taken by some connection's end at last; this one never is."""
    held = [ReservedPort() for _ in range(50)]
    kept = {h.port for h in held}
    network = TcpNetwork()
    listener = await network.listen("127.0.0.1", 0)
    with trio.fail_after(60):
        for _ in range(300):
            stream = await network.connect("127.0.0.1", listener.port, 5_000_000)
            assert isinstance(stream, trio.SocketStream)
            assert stream.socket.getsockname()[1] not in kept
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            await stream.aclose()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", held[0].port))
    await listener.aclose()
    for port in held:
        port.close()
