"""TCP connections on a `Poller`: a transport moves bytes, its protocol handles them.

The division of roles and the method names follow asyncio. This module is independent of the application
protocol.
"""

from __future__ import annotations

import errno
import select
import socket
import typing

from juniperreel.net.network import address_family
from juniperreel.net.poller import Poller

READ_BYTES = 65_536  # default limit per read event
MEMORY_EXHAUSTION_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})  # transient; the connection is intact
READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP
HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Protocol(typing.Protocol):
    """Receives the events of a transport.

    If `eof_is_disconnect`, end of stream means that the peer is gone, and unread data before it is discarded.
    Otherwise data before the end of the stream is delivered first.
    """

    eof_is_disconnect: bool

    @property
    def read_limit(self) -> int:
        """Largest number of bytes to deliver in one read event."""
        ...

    def connection_made(self) -> None:
        """Called when a connection opened by `connect` is established."""
        ...

    def data_received(self, data: bytes) -> None:
        """Called with received bytes."""
        ...

    def connection_lost(self, reason: str, /) -> None:
        """Called when the connection was closed or broken, or could not be established.

        The transport is already closed.
        """
        ...


class Transport:
    """One connection, with a write buffer for bytes that the kernel does not accept at once.

    Owns its socket. `connection_lost` is called when the peer or the network ended the connection and after
    `abort`, never after `close`.
    """

    def __init__(self, poller: Poller, connection: socket.socket, connecting: bool = False) -> None:
        """Take ownership of a non-blocking socket; `connecting` if connect() is still in progress."""
        self._poller = poller
        self._socket = connection
        self.protocol: Protocol | None = None
        self._write_buffer = bytearray()
        self._connecting = connecting
        self.reading_paused = False
        self._eof_requested = False
        self._eof_sent = False
        self.closed = False
        self._mask = select.EPOLLOUT if connecting else READ_EVENTS
        poller.add(connection.fileno(), self._mask, self)

    @property
    def write_buffer_size(self) -> int:
        """Number of bytes written but not yet accepted by the kernel."""
        return len(self._write_buffer)

    def _update_events(self) -> None:
        mask = (0 if self.reading_paused else select.EPOLLIN) | select.EPOLLRDHUP
        if self._write_buffer:
            mask |= select.EPOLLOUT
        if mask != self._mask and not self.closed:
            self._mask = mask
            self._poller.change(self._socket.fileno(), mask)

    def pause_reading(self) -> None:
        """Pause reading. A disconnect of the peer is still reported."""
        self.reading_paused = True
        self._update_events()

    def resume_reading(self) -> None:
        """Resume reading after `pause_reading`."""
        self.reading_paused = False
        self._update_events()

    def write(self, data: bytes | bytearray) -> None:
        """Send what the kernel accepts now and buffer the rest; never blocks.

        A broken connection is reported later, by the poller through `connection_lost`. Data is dropped once
        the transport is closed or `write_eof` was called.
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
        """Return whether the connection is open and neither data nor end of stream is pending."""
        if self.closed:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def peer_has_disconnected(self) -> bool:
        """Return whether the kernel has already seen the peer close or break the connection.

        The poller reports this only with its next poll, after the events of the current one.
        """
        if self.closed:
            return True
        try:
            first_byte = self._socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return not first_byte or self._has_hang_up_event()

    def _has_hang_up_event(self) -> bool:
        poll = select.poll()
        poll.register(self._socket, HANG_UP_EVENTS)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close immediately, discarding the write buffer.

        The protocol is released: the two refer to each other, so both would stay in memory, with all that
        they hold, until the garbage collector looks for reference cycles.
        """
        if not self.closed:
            self.closed = True
            self._poller.remove(self._socket.fileno())
            self._socket.close()
            self.protocol = None
            self._write_buffer = bytearray()

    def abort(self, reason: str) -> None:
        """Close immediately and call `connection_lost` on the protocol."""
        if self.closed:
            return
        if self.protocol is None:
            self.close()
        else:
            self._disconnect(self.protocol, reason)

    def write_eof(self) -> None:
        """Shut down the write side once the buffer is flushed.

        Data that still arrives stays unread: a request that crosses the shutdown is not processed, and its
        client retries it elsewhere. The peer's close is reported by `connection_lost`. Closing earlier, with
        unread data, would reset the connection, which discards the last bytes written. The caller must limit
        the wait.
        """
        if not self.closed and not self._eof_requested:
            self._eof_requested = True
            self.reading_paused = True
            self._send_eof_when_flushed()

    def _send_eof_when_flushed(self) -> None:
        if self._eof_requested and not self._eof_sent and not self._write_buffer:
            self._eof_sent = True
            try:
                self._socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()  # already broken
                return
        self._update_events()

    def handle_event(self, mask: int) -> None:
        """Handle the epoll events in `mask`."""
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
        # A request read together with the end of its stream would be forwarded although its client is gone.
        disconnected = mask & select.EPOLLRDHUP and (self.reading_paused or protocol.eof_is_disconnect)
        if disconnected or (broken and (self.reading_paused or self._eof_requested)):
            self._disconnect(protocol, "closed")
            return
        if mask & ~select.EPOLLOUT and not self.reading_paused and not self.closed:
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
        """Send buffered bytes; return False if the connection is lost."""
        try:
            sent = self._socket.send(self._write_buffer)
            del self._write_buffer[:sent]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            if error.errno in MEMORY_EXHAUSTION_ERRNOS:
                return True  # EPOLLOUT is reported again
            self._disconnect(protocol, error.strerror or "broken")
            return False
        self._send_eof_when_flushed()
        return True

    def _read(self, protocol: Protocol) -> None:
        """Deliver pending data, up to the protocol's limit, then report a disconnect found after it."""
        data, end_reason = self._receive(protocol.read_limit)
        if data and not self._eof_requested and not (end_reason and protocol.eof_is_disconnect):
            protocol.data_received(data)
        if end_reason and not self.closed:
            self._disconnect(protocol, end_reason)

    def _receive(self, limit: int) -> tuple[bytes, str]:
        """Return pending data and the reason of a disconnect, empty if the connection is open.

        A single recv() may be short. The rest would be read one loop iteration later and dated too late.
        """
        data = b""
        while len(data) < limit:
            try:
                received = self._socket.recv(limit - len(data))
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
    """Start connecting; the protocol's `connection_made` or `connection_lost` reports the result.

    Raises OSError if no socket can be created or connect() fails at once.
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
