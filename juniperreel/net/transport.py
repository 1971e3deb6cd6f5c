"""Many sockets owned by one task: readiness turned into calls, without a task for each connection.

A trio task that carries a connection costs several checkpoints and cancel scopes for each message; where a
driver has part of a core and hundreds of connections, that is most of its work. Here one task waits for an
epoll that holds all sockets, which trio itself can wait for. Must never know what the bytes mean.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from typing import Protocol

import trio

from juniperreel.net.clock import Clock
from juniperreel.net.network import BACKLOG, EXHAUSTED, EXHAUSTED_PAUSE_S, family

CHUNK = 65_536  # read at once
ROUND = 256  # events of one poll
YIELD_US = 5_000  # other tasks have their turn at least so often
BLOCKED_US = 500  # a poll that took longer had nothing ready when it began
EXHAUSTED_US = int(EXHAUSTED_PAUSE_S * 1_000_000)
READ = select.EPOLLIN | select.EPOLLRDHUP


class Ready(Protocol):
    def ready(self, mask: int) -> None: ...


class Poller:
    """All sockets of one task. `wait`, then `dispatch`."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._epoll = select.epoll()
        self._owners: dict[int, Ready] = {}
        self._events: list[tuple[int, int, Ready | None]] = []
        self._waiting: trio.CancelScope | None = None
        self._yielded_us = self._polled_us = clock.now_us()
        self.since_us = self._polled_us  # since when what was found ready may have been so

    def close(self) -> None:
        self._epoll.close()

    def add(self, fileno: int, mask: int, owner: Ready) -> None:
        self._epoll.register(fileno, mask)
        self._owners[fileno] = owner

    def change(self, fileno: int, mask: int) -> None:
        self._epoll.modify(fileno, mask)

    def remove(self, fileno: int) -> None:
        if self._owners.pop(fileno, None) is not None:
            self._epoll.unregister(fileno)

    async def wait(self, until_us: int | None) -> None:
        """Until a socket is ready or the time has come."""
        began = self.clock.now_us()
        self._poll()
        if not self._events and (until_us is None or until_us > began):
            with trio.CancelScope() as self._waiting:
                if until_us is not None:
                    self._waiting.deadline = self.clock.trio_time(until_us)
                await trio.lowlevel.wait_readable(self._epoll.fileno())
            self._waiting = None
            self._yielded_us = self.clock.now_us()
            self._poll()
        elif began - self._yielded_us > YIELD_US:
            await trio.lowlevel.checkpoint()
            self._yielded_us = self.clock.now_us()
        now = self.clock.now_us()
        self.since_us = now if now - began > BLOCKED_US else self._polled_us
        self._polled_us = now

    def _poll(self) -> None:
        self._events = [(fd, mask, self._owners.get(fd)) for fd, mask in self._epoll.poll(0, ROUND)]

    def wake(self) -> None:
        """Ends the wait: another task has changed what is due."""
        if self._waiting is not None:
            self._waiting.cancel()

    def dispatch(self) -> None:
        events, self._events = self._events, []
        for fileno, mask, owner in events:
            # Danger: a call before it may have closed this one, and a new socket have its number: what was
            # found of the old one, say its end, is none of the new one's.
            if owner is not None and self._owners.get(fileno) is owner:
                owner.ready(mask)


class Peer(Protocol):
    """Whoever owns a wire. `gone_at_end`: whoever ends its sending has gone, and what it sent before is of no
    use to anybody; else what came before the end is read first."""

    gone_at_end: bool

    def connected(self) -> None: ...

    def received(self, data: bytes) -> None: ...

    def ended(self, why: str) -> None:
        """The other side closed or broke the connection; the wire is closed."""
        ...


class Wire:
    """One connection. What can't be written at once is kept; `pending` tells how much."""

    def __init__(self, poller: Poller, sock: socket.socket, connecting: bool = False) -> None:
        self._poller, self._sock = poller, sock
        self.peer: Peer | None = None
        self._out = bytearray()
        self._connecting = connecting
        self._paused = False
        self._finishing = self._shut = False
        self.closed = False
        self._mask = select.EPOLLOUT if connecting else READ
        poller.add(sock.fileno(), self._mask, self)

    @property
    def pending(self) -> int:
        return len(self._out)

    def _watch(self) -> None:
        mask = (0 if self._paused else select.EPOLLIN) | select.EPOLLRDHUP
        if self._out:
            mask |= select.EPOLLOUT
        if mask != self._mask and not self.closed:
            self._mask = mask
            self._poller.change(self._sock.fileno(), mask)

    def pause(self) -> None:
        """Read no more for now; that the other side ends is still told."""
        self._paused = True
        self._watch()

    def resume(self) -> None:
        self._paused = False
        self._watch()

    def write(self, data: bytes | bytearray) -> None:
        """Never waits. A connection that turns out broken is told by `ended` from the poll."""
        if self.closed or self._finishing:
            return
        if not self._out:
            try:
                sent = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                sent = 0  # the poll finds it broken
            if sent == len(data):
                return
            data = data[sent:]
        self._out += data
        self._watch()

    def quiet(self) -> bool:
        """Whether nothing waits to be read, not even the end."""
        if self.closed:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._poller.remove(self._sock.fileno())
            self._sock.close()

    def finish(self) -> None:
        """End in order: what is pending leaves, then our sending ends, and what still comes is read and
        dropped until the other side ends too, which `ended` tells. Danger: closing with bytes unread resets
        the connection, and what was written last is lost on the way. Whoever calls this bounds the wait."""
        if not self.closed and not self._finishing:
            self._finishing = True
            self._paused = False
            self._end_sending()

    def _end_sending(self) -> None:
        if self._finishing and not self._shut and not self._out:
            self._shut = True
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()  # it is broken already
                return
        self._watch()

    def ready(self, mask: int) -> None:
        peer = self.peer
        if peer is None:
            self.close()
            return
        if self._connecting:
            self._connecting = False
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.close()
                peer.ended(errno.errorcode.get(code, str(code)))
                return
            self._mask = 0
            self._watch()
            peer.connected()
            return
        if mask & select.EPOLLOUT and self._out:
            try:
                sent = self._sock.send(self._out)
                del self._out[:sent]
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as error:
                self._end(peer, error.strerror or "broken")
                return
            self._end_sending()
        over = mask & (select.EPOLLERR | select.EPOLLHUP)
        # Danger: a request read together with its sender's end would be sent on for nobody.
        left = mask & select.EPOLLRDHUP and (self._paused or peer.gone_at_end)
        if left or (over and (self._paused or self._finishing)):
            self._end(peer, "closed")
            return
        if mask & ~select.EPOLLOUT and not self._paused and not self.closed:
            self._read(peer)

    def _read(self, peer: Peer) -> None:
        try:
            data = self._sock.recv(CHUNK)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._end(peer, error.strerror or "broken")
            return
        if not data:
            self._end(peer, "closed")
        elif not self._finishing:
            peer.received(data)

    def _end(self, peer: Peer, why: str) -> None:
        self.close()
        peer.ended(why)


class Door:
    """A listening socket: hands each new connection to `welcome` as a wire."""

    BURST = 64  # taken at one poll

    def __init__(self, poller: Poller, host: str, port: int, welcome: Callable[[Wire], None]) -> None:
        self._poller, self._welcome = poller, welcome
        self._sock = socket.socket(family(host), socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind((host, port))
            self._sock.listen(BACKLOG)
            self._sock.setblocking(False)
        except BaseException:
            self._sock.close()
            raise
        self.port: int = self._sock.getsockname()[1]
        self.open = True
        self.exhausted_us = 0  # since when descriptors have run out; nothing is taken until `retry`
        poller.add(self._sock.fileno(), select.EPOLLIN, self)

    def ready(self, mask: int) -> None:
        self._accept(self.BURST)

    def _accept(self, most: int) -> None:
        for _ in range(most):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in EXHAUSTED:
                    # Danger: the kernel keeps the connection pending, and the poll would spin on it.
                    self.exhausted_us = self._poller.clock.now_us()
                    self._poller.change(self._sock.fileno(), 0)
                    return
                continue  # the failure of one connection that never came about
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._welcome(Wire(self._poller, sock))

    def retry(self, now_us: int) -> None:
        if self.exhausted_us and self.open and now_us - self.exhausted_us > EXHAUSTED_US:
            self.exhausted_us = 0
            self._poller.change(self._sock.fileno(), select.EPOLLIN)

    def close(self) -> None:
        """Takes what the kernel has accepted already, then no more."""
        if self.open:
            self._accept(BACKLOG)
            self.open = False
            self._poller.remove(self._sock.fileno())
            self._sock.close()


def dial(poller: Poller, host: str, port: int) -> Wire:
    """Begins to connect; `connected` or `ended` tells. Raises OSError where not even a socket can be had."""
    sock = socket.socket(family(host), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, errno.errorcode.get(code, str(code)))
        return Wire(poller, sock, connecting=True)
    except BaseException:
        sock.close()
        raise
