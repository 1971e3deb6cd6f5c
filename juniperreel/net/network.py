"""TCP listening and connecting, behind an interface that a simulated network can implement.

Streams are `trio.abc.Stream`s; operations on a broken one raise `trio.BrokenResourceError`. This module is
independent of the application protocol.
"""

from __future__ import annotations

import errno
import fcntl
import socket
import termios
from array import array
from typing import Protocol

import trio

from juniperreel.net.accept_pause import AcceptBackoff
from juniperreel.net.clock import US

DESCRIPTOR_EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
LISTENER_CLOSED_ERRNOS = frozenset({errno.EBADF, errno.EINVAL})
BACKLOG = 1024
TCP_ESTABLISHED = 1  # enum in linux/tcp_states.h


class ConnectError(Exception):
    """No connection was established; nothing was sent."""


class ConnectRefusedError(ConnectError):
    """The connection was refused: no process listens on the port."""


class ConnectTimedOutError(ConnectError):
    """The connection attempt timed out, or the host is unreachable."""


class Listener(Protocol):
    """A source of accepted connections on one port."""

    port: int

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection. Raises trio.ClosedResourceError once the listener is closed."""
        ...

    async def aclose(self) -> None:
        """Stop listening."""
        ...


class Network(Protocol):
    """Opens listeners and connections."""

    async def listen(self, host: str, port: int) -> Listener:
        """Listen on an address; port 0 picks a free one. Raises OSError if it is not available."""
        ...

    async def connect(self, host: str, port: int, timeout_us: int) -> trio.abc.Stream:
        """Connect within `timeout_us`. Raises ConnectRefusedError or ConnectTimedOutError."""
        ...


class TcpListener:
    """A listening TCP socket. `accept` retries with a backoff while descriptors are exhausted."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        """Take ownership of a listening socket."""
        self._sock = sock
        self._backoff = AcceptBackoff()
        self.port: int = sock.getsockname()[1]

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection. Raises trio.ClosedResourceError once the listener is closed."""
        while True:
            sock = await self.accept_socket()
            try:
                return trio.SocketStream(sock)
            except OSError:
                sock.close()

    async def accept_socket(self) -> trio.socket.SocketType:
        """Return the next connection as a raw socket, to be passed to another process."""
        while True:
            try:
                sock, _ = await self._sock.accept()
            except OSError as error:
                if error.errno in DESCRIPTOR_EXHAUSTION_ERRNOS:
                    # The connection stays in the accept queue: without a delay the loop would spin.
                    self._backoff.record_failure()
                    await trio.sleep(self._backoff.delay_us / US)
                elif error.errno in LISTENER_CLOSED_ERRNOS:
                    raise trio.ClosedResourceError from error
                # Other errors concern a single connection that was aborted before it was accepted.
            else:
                self._backoff.reset()
                return sock

    def close(self) -> None:
        """Stop listening; pending `accept` calls raise trio.ClosedResourceError."""
        self._sock.close()

    async def aclose(self) -> None:
        """Stop listening, like `close`."""
        self._sock.close()
        await trio.lowlevel.checkpoint()


class ReservedPort:
    """A port kept out of ephemeral allocation, for a server that restarts on the same port.

    The socket is bound but does not listen. Other sockets can listen on the port (SO_REUSEADDR); while none
    does, connections are refused.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        """Bind a free port. Raises OSError if none is available."""
        self._sock = socket.socket(address_family(host), socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind((host, 0))
        except BaseException:
            self._sock.close()
            raise
        self.port: int = self._sock.getsockname()[1]

    def close(self) -> None:
        """Release the port."""
        self._sock.close()


class TcpNetwork:
    """TCP over numeric IPv4 and IPv6 addresses."""

    async def listen(self, host: str, port: int) -> TcpListener:
        """Listen on an address; port 0 picks a free one. Raises OSError if it is not available."""
        sock = trio.socket.socket(address_family(host), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            await sock.bind((host, port))
            sock.listen(BACKLOG)
        except BaseException:
            sock.close()
            raise
        return TcpListener(sock)

    async def connect(self, host: str, port: int, timeout_us: int) -> trio.abc.Stream:
        """Connect within `timeout_us`. Raises ConnectRefusedError or ConnectTimedOutError."""
        try:
            with trio.fail_after(max(timeout_us, 0) / US):
                return await self._open_stream(host, port)
        except ConnectionRefusedError as error:
            raise ConnectRefusedError(f"{host}:{port} refuses connections") from error
        except (OSError, trio.TooSlowError) as error:
            raise ConnectTimedOutError(f"{host}:{port} does not answer: {_reason(error)}") from error

    @staticmethod
    async def _open_stream(host: str, port: int) -> trio.SocketStream:
        sock = trio.socket.socket(address_family(host), socket.SOCK_STREAM)
        try:
            await sock.connect((host, port))
            return trio.SocketStream(sock)
        except BaseException:
            sock.close()
            raise


def _reason(error: Exception) -> str:
    """Return the text of a failed connect; trio's time-out has none."""
    return str(error) or "timed out"


def address_family(host: str) -> int:
    """Return the socket address family of a numeric address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def hung_up(stream: trio.abc.Stream) -> bool:
    """Return whether the peer has closed its side, even if received bytes are still unread."""
    if not isinstance(stream, trio.SocketStream):
        return False
    try:
        state: int = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return True  # already closed locally
    return state != TCP_ESTABLISHED


def has_unread_bytes(stream: trio.abc.Stream) -> bool:
    """Return whether the socket's receive buffer holds unread bytes."""
    if not isinstance(stream, trio.SocketStream):
        return False
    count = array("i", [0])
    try:
        fcntl.ioctl(stream.socket.fileno(), termios.FIONREAD, count)
    except (OSError, ValueError):
        return False  # already closed locally
    return count[0] > 0
