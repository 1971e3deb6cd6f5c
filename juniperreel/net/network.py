"""Listening and connecting, behind an interface that a simulated network can stand in for.

A stream is trio's own `trio.abc.Stream`: `send_all`, `receive_some`, `aclose`; a broken one raises
`trio.BrokenResourceError`. Must never know what the bytes mean.
"""

from __future__ import annotations

import errno
import socket
from typing import Protocol

import trio

from juniperreel.net.clock import US

EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
EXHAUSTED_PAUSE_S = 0.1  # how long no connection is taken while descriptors have run out
BACKLOG = 1024
ESTABLISHED = 1  # of the kernel's TCP states


class ConnectError(Exception):
    """No connection came about; nothing was sent."""


class Refused(ConnectError):
    """The peer's host said no: nobody listens there."""


class Silent(ConnectError):
    """No answer within the time allowed, or no way there."""


class Listener(Protocol):
    port: int

    async def accept(self) -> trio.abc.Stream: ...

    async def aclose(self) -> None: ...


class Network(Protocol):
    async def listen(self, host: str, port: int) -> Listener: ...

    async def connect(self, host: str, port: int, timeout_us: int) -> trio.abc.Stream:
        """Raises Refused or Silent; takes at most `timeout_us`."""
        ...


class TcpListener:
    """A listening TCP socket; accepting survives the running out of descriptors."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._sock = sock
        self.port: int = sock.getsockname()[1]

    async def accept(self) -> trio.abc.Stream:
        while True:
            sock = await self.accept_socket()
            try:
                return trio.SocketStream(sock)
            except OSError:
                sock.close()

    async def accept_socket(self) -> trio.socket.SocketType:
        while True:
            try:
                sock, _ = await self._sock.accept()
                return sock
            except OSError as error:
                if error.errno in EXHAUSTED:
                    # Danger: without a pause the loop spins while the kernel keeps the connection pending.
                    await trio.sleep(EXHAUSTED_PAUSE_S)
                elif error.errno in (errno.EBADF, errno.EINVAL):
                    raise trio.ClosedResourceError from error
                # Anything else is the failure of one connection that never came about.

    def close(self) -> None:
        """At once; whoever accepts meanwhile is told."""
        self._sock.close()

    async def aclose(self) -> None:
        self._sock.close()
        await trio.lowlevel.checkpoint()


class HeldPort:
    """A port that the system gives to nobody else, for whoever goes away and comes back to it: bound, and not
    listened on, here. Others can listen on it meanwhile; connections are refused while nobody does."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        """Raises OSError where none is left."""
        self._sock = socket.socket(family(host), socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind((host, 0))
        except BaseException:
            self._sock.close()
            raise
        self.port: int = self._sock.getsockname()[1]

    def close(self) -> None:
        self._sock.close()


class TcpNetwork:
    """TCP, on whatever numeric address the settings name."""

    async def listen(self, host: str, port: int) -> TcpListener:
        sock = trio.socket.socket(family(host), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            await sock.bind((host, port))
            sock.listen(BACKLOG)
        except BaseException:
            sock.close()
            raise
        return TcpListener(sock)

    async def connect(self, host: str, port: int, timeout_us: int) -> trio.abc.Stream:
        sock = None
        try:
            with trio.fail_after(max(timeout_us, 0) / US):
                sock = trio.socket.socket(family(host), socket.SOCK_STREAM)
                await sock.connect((host, port))
                return trio.SocketStream(sock)
        except ConnectionRefusedError as error:
            self._drop(sock)
            raise Refused(f"{host}:{port} refuses connections") from error
        except (OSError, trio.TooSlowError) as error:
            self._drop(sock)
            raise Silent(f"{host}:{port} does not answer: {error or 'time is up'}") from error
        except BaseException:
            self._drop(sock)
            raise

    @staticmethod
    def _drop(sock: trio.socket.SocketType | None) -> None:
        if sock is not None:
            sock.close()


def family(host: str) -> int:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def hung_up(stream: trio.abc.Stream) -> bool:
    """Whether the peer has ended its side, though there may still be something to read before that."""
    if not isinstance(stream, trio.SocketStream):
        return False
    try:
        state: int = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return True  # closed here already
    return state != ESTABLISHED
