"""Connections on a `Poller`: a transport moves the bytes, its protocol is told of them.

The division and the verbs are asyncio's. Nothing here knows what the bytes mean.
"""

from __future__ import annotations

import errno
import select
import socket
import typing

from juniperreel.net.network import address_family
from juniperreel.net.poller import Poller

READ_BYTES = 65_536  # by one call of recv at most
MEMORY_EXHAUSTION_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})  # for a moment, and not of the connection
READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP
HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Protocol(typing.Protocol):
    """The owner of a transport, which calls it when something happened on the connection.

    `eof_is_disconnect`: a peer that ends its sending is gone, and what it sent before is of no use to
    anybody. Otherwise what came before the end of the stream is read first.
    """

    eof_is_disconnect: bool

    def connection_made(self) -> None:
        """A connection that was opened by `connect` is established."""
        ...

    def data_received(self, data: bytes) -> None:
        """Bytes have arrived."""
        ...

    def connection_lost(self, reason: str, /) -> None:
        """The peer closed or broke the connection, or it was never established; the transport is closed."""
        ...


class Transport:
    """One connection, with a buffer for what the kernel does not take at once.

    Owns its socket. `connection_lost` is called only for an end that the peer or the network caused, never
    for a call of `close`.
    """

    def __init__(self, poller: Poller, connection: socket.socket, connecting: bool = False) -> None:
        """Take over a non-blocking socket; `connecting` says that it is not established yet."""
        self._poller = poller
        self._socket = connection
        self.protocol: Protocol | None = None
        self._write_buffer = bytearray()
        self._connecting = connecting
        self._reading_paused = False
        self._eof_requested = False
        self._eof_sent = False
        self.closed = False
        self._mask = select.EPOLLOUT if connecting else READ_EVENTS
        poller.add(connection.fileno(), self._mask, self)

    @property
    def write_buffer_size(self) -> int:
        """Bytes that were written and that the kernel has not taken yet."""
        return len(self._write_buffer)

    def _update_events(self) -> None:
        mask = (0 if self._reading_paused else select.EPOLLIN) | select.EPOLLRDHUP
        if self._write_buffer:
            mask |= select.EPOLLOUT
        if mask != self._mask and not self.closed:
            self._mask = mask
            self._poller.change(self._socket.fileno(), mask)

    def pause_reading(self) -> None:
        """Read no more for now. The peer's end of the connection is still reported."""
        self._reading_paused = True
        self._update_events()

    def resume_reading(self) -> None:
        """Read again after `pause_reading`."""
        self._reading_paused = False
        self._update_events()

    def write(self, data: bytes | bytearray) -> None:
        """Send now what the kernel takes and buffer the rest; never waits.

        A connection that turns out to be broken is reported by the poller, through `connection_lost`. Dropped
        once the transport is closed or `write_eof` was called.
        """
        if self.closed or self._eof_requested:
            return
        if not self._write_buffer:
            try:
                sent = self._socket.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                sent = 0  # the poller will report the broken connection
            if sent == len(data):
                return
            data = data[sent:]
        self._write_buffer += data
        self._update_events()

    def has_nothing_to_read(self) -> bool:
        """Return whether the connection is open and neither bytes nor the end of the stream wait unread."""
        if self.closed:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def peer_has_left(self) -> bool:
        """Return whether the peer has ended its side or broken the connection, as the kernel knows it now.

        The poller reports that later: with its next poll, and behind what the poll found before it.
        """
        if self.closed:
            return True
        try:
            first_byte = self._socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return not first_byte or self._hangs_up_behind_unread_bytes()

    def _hangs_up_behind_unread_bytes(self) -> bool:
        poll = select.poll()
        poll.register(self._socket, HANG_UP_EVENTS)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close at once; what is buffered is lost."""
        if not self.closed:
            self.closed = True
            self._poller.remove(self._socket.fileno())
            self._socket.close()

    def abort(self, reason: str) -> None:
        """Close at once, and tell the protocol as if the connection was lost."""
        if self.closed:
            return
        if self.protocol is None:
            self.close()
        else:
            self._disconnect(self.protocol, reason)

    def write_eof(self) -> None:
        """End the connection in order: send what is buffered, then the end of the stream.

        What still arrives stays unread: a request that crosses the end was not read, and its sender sends it
        elsewhere. The peer's own end is reported by `connection_lost`. To close sooner, with bytes unread,
        would reset the connection, and the network would discard the last bytes written. The caller bounds
        the wait.
        """
        if not self.closed and not self._eof_requested:
            self._eof_requested = True
            self._reading_paused = True
            self._send_eof_when_flushed()

    def _send_eof_when_flushed(self) -> None:
        if self._eof_requested and not self._eof_sent and not self._write_buffer:
            self._eof_sent = True
            try:
                self._socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()  # it is broken already
                return
        self._update_events()

    def handle_event(self, mask: int) -> None:
        """React to the epoll events in `mask`."""
        protocol = self.protocol
        if protocol is None:
            self.close()
            return
        if self._connecting:
            self._finish_connecting(protocol)
            return
        if mask & select.EPOLLOUT and self._write_buffer and not self._flush(protocol):
            return
        broken = mask & (select.EPOLLERR | select.EPOLLHUP)
        # A request read together with its sender's end of the stream would be forwarded although nobody waits
        # for its answer.
        disconnected = mask & select.EPOLLRDHUP and (self._reading_paused or protocol.eof_is_disconnect)
        if disconnected or (broken and (self._reading_paused or self._eof_requested)):
            self._disconnect(protocol, "closed")
            return
        if mask & ~select.EPOLLOUT and not self._reading_paused and not self.closed:
            self._read(protocol)

    def _finish_connecting(self, protocol: Protocol) -> None:
        self._connecting = False
        error_code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            self._disconnect(protocol, errno.errorcode.get(error_code, str(error_code)))
            return
        self._mask = 0
        self._update_events()
        protocol.connection_made()

    def _flush(self, protocol: Protocol) -> bool:
        """Send what is buffered; return False where the connection is lost."""
        try:
            sent = self._socket.send(self._write_buffer)
            del self._write_buffer[:sent]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            if error.errno in MEMORY_EXHAUSTION_ERRNOS:
                return True  # the poller reports the socket as writable again
            self._disconnect(protocol, error.strerror or "broken")
            return False
        self._send_eof_when_flushed()
        return True

    def _read(self, protocol: Protocol) -> None:
        """Pass on what is there, `READ_BYTES` at most; then report an end that was found behind it."""
        data, end_reason = self._receive()
        if data and not self._eof_requested and not (end_reason and protocol.eof_is_disconnect):
            protocol.data_received(data)
        if end_reason and not self.closed:
            self._disconnect(protocol, end_reason)

    def _receive(self) -> tuple[bytes, str]:
        """Return the bytes, and why the connection has ended; an empty reason where it has not.

        A single read may be short. What it left would be read a turn later, and be taken for younger.
        """
        data = b""
        while len(data) < READ_BYTES:
            try:
                received = self._socket.recv(READ_BYTES - len(data))
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                if error.errno in MEMORY_EXHAUSTION_ERRNOS:
                    break
                return data, error.strerror or "broken"
            if not received:
                return data, "closed"
            data += received
        return data, ""

    def _disconnect(self, protocol: Protocol, reason: str) -> None:
        self.close()
        protocol.connection_lost(reason)


def connect(poller: Poller, host: str, port: int) -> Transport:
    """Begin to connect; the protocol's `connection_made` or `connection_lost` reports the result.

    Raises OSError where not even a socket can be had.
    """
    connection = socket.socket(address_family(host), socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error_code = connection.connect_ex((host, port))
        if error_code in (0, errno.EINPROGRESS):
            return Transport(poller, connection, connecting=True)
    except BaseException:
        connection.close()
        raise
    connection.close()
    raise OSError(error_code, errno.errorcode.get(error_code, str(error_code)))
