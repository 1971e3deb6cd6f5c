"""One driver on real loopback sockets and a manual clock: for tests that force the order of two events."""

from __future__ import annotations

import contextlib
import io
import select
import socket
from collections.abc import Callable
from typing import Any

import trio

from juniperreel.net import Clock
from juniperreel.net.acceptor import Acceptor
from juniperreel.net.poller import Poller
from juniperreel.net.transport import Transport, connect
from juniperreel.platform.config import parse_config
from juniperreel.platform.driver import PlatformDriver
from juniperreel.platform.endpoint_list import read_endpoint_list
from juniperreel.platform.log import Log
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from juniperreel.routing.types import UpdateKind
from tests.platform.event_harness import HELLO, FakeDiscovery, config_bytes, entry, row

TIMEOUT_S = 2  # far more than anything here takes
POLL_TIMEOUT_S = 0.02


class ManualClock(Clock):
    """A clock that only the test advances."""

    def __init__(self) -> None:
        super().__init__(0)
        self.time = 1_767_225_600_000_000

    def now_us(self) -> int:
        return self.time


class RemoteEnd:
    """The other end of one connection. `ended` is None, "fin" or "reset"."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.got = bytearray()
        self.ended: str | None = None

    def send(self, data: bytes) -> None:
        """All of it: what tests send fits the kernel's buffers."""
        assert self.sock.send(data) == len(data)

    def read(self, most: int = 1 << 20) -> bytes:
        """What has come so far, with what came before."""
        while most > 0 and self.ended is None and self.sock.fileno() >= 0:
            try:
                data = self.sock.recv(min(most, 65_536))
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.ended = "reset"
                break
            if not data:
                self.ended = "fin"
            self.got += data
            most -= len(data)
        return bytes(self.got)

    def take(self) -> bytes:
        data, self.got = self.read(), bytearray()
        return data

    def close(self) -> None:
        self.sock.close()


class FakeEndpoint:
    """A member's listening socket. Nothing is answered but by the test."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.port: int = self.sock.getsockname()[1]
        self.ends: list[RemoteEnd] = []

    def accept(self) -> list[RemoteEnd]:
        with contextlib.suppress(BlockingIOError):
            while True:
                self.ends.append(RemoteEnd(self.sock.accept()[0]))
        return self.ends

    @property
    def queries(self) -> bytes:
        return b"".join(end.read() for end in self.accept())


class SocketHarness:
    """A primary `p` and a replica `a`; use as a context manager."""

    def __init__(self, **changes: Any) -> None:
        self.members = {"p": FakeEndpoint(), "a": FakeEndpoint()}
        hosts = [
            entry("p", self.members["p"].port, replication="primary"),
            entry("a", self.members["a"].port, replication="standby"),
        ]
        self.clock = ManualClock()
        self.poller = Poller(self.clock)
        self.client_transports: list[Transport] = []
        self.out = io.StringIO()
        config = parse_config(config_bytes(known={"seq": 3, "whole": True, "hosts": hosts}, **changes))
        self.driver = PlatformDriver(
            config,
            self.clock.now_us,
            lambda host, port: connect(self.poller, host, port),
            FakeDiscovery(),
            Log(self.out),
        )
        self.driver.on_endpoint_update(
            UpdateKind.CACHED, read_endpoint_list(config.cached_endpoint_list, ["east"], ["k"])
        )
        self.acceptor = Acceptor(self.poller, "127.0.0.1", 0, self._accept)
        self.process()

    def __enter__(self) -> SocketHarness:
        return self

    def __exit__(self, *_: object) -> None:
        for member in self.members.values():
            member.sock.close()
            for end in member.ends:
                end.close()
        self.poller.close()

    def _accept(self, transport: Transport) -> None:
        self.client_transports.append(transport)
        self.driver.client_listener.accept(transport, self.acceptor.waiting_since_us)

    def process(self) -> None:
        """Give the driver its turn without polling."""
        self.driver.input_ready_since_us = self.clock.time
        self.driver.process_pending()

    async def poll_once(self) -> None:
        """Poll once and give the driver its turn; return soon where nothing is ready."""
        with trio.move_on_after(POLL_TIMEOUT_S):
            await self.poller.wait(None)
        self.driver.input_ready_since_us = self.clock.time
        self.poller.dispatch()
        self.driver.process_pending()

    async def until(self, what: Callable[[], Any]) -> None:
        with trio.fail_after(TIMEOUT_S):
            while not what():
                await self.poll_once()

    async def wait_for_event(self, transport: Transport, mask: int = select.POLLIN) -> None:
        """Return once the kernel holds what was sent to the driver, or its end, unread."""
        poll = select.poll()
        poll.register(transport._socket, mask)
        with trio.fail_after(TIMEOUT_S):
            while not any(found & mask for _, found in poll.poll(0)):
                await trio.sleep(0.001)

    def advance_us(self, span: int) -> None:
        """Advance the clock with all that falls due; what arrives on sockets meanwhile waits."""
        end = self.clock.time + span
        while (due := self.driver.next_due_us()) is not None and due <= end:
            self.clock.time = max(self.clock.time, due)
            self.process()
        self.clock.time = end
        self.process()

    def connect(self, buffer: int = 0) -> RemoteEnd:
        """Connect a client; a small receive `buffer` leaves answers in the driver's buffer."""
        sock = socket.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.connect(("127.0.0.1", self.acceptor.port))
        return RemoteEnd(sock)

    async def client(self, *texts: bytes, buffer: int = 0) -> RemoteEnd:
        """Connect a client, and send `texts` once it is welcomed."""
        end = self.connect(buffer)
        end.send(HELLO)
        await self.until(lambda: end.read().endswith(m.READY))
        end.take()
        for text in texts:
            end.send(m.query(text))
        return end

    async def next_query(self, name: str) -> RemoteEnd:
        """Return the endpoint's end of the connection on which the next query arrives; welcome new ones."""
        member = self.members[name]
        logged_in: set[RemoteEnd] = set()

        def come() -> bool:
            for end in member.accept():
                if end not in logged_in and end.read().startswith(HELLO[:8]):
                    logged_in.add(end)
                    end.take()
                    end.send(server.STARTUP_RESPONSE)
            return any(end.read().startswith(b"Q") for end in member.ends)

        await self.until(come)
        return next(end for end in member.ends if end.got.startswith(b"Q"))

    async def read_answer(self, client: RemoteEnd, most: int = 1 << 20) -> bytes:
        """Return all that the client received, up to the answer to its last command. `most`: read at once."""
        await self.until(lambda: client.read(most).endswith(m.READY))
        return bytes(client.got)

    async def wait_for_end(self, end: RemoteEnd) -> str | None:
        """Return how the driver ended the connection."""
        await self.until(lambda: end.read() is None or end.ended)
        return end.ended

    async def wait_until_idle(self, name: str) -> None:
        """Return once a connection to the endpoint is idle."""
        await self.until(lambda: self.driver.endpoint_pools.pools[name].idle)

    async def learn_positions(self, lag_us: int = 0) -> None:
        """Let the driver learn roles and positions of both endpoints; their connections are idle then."""
        for name in self.members:
            self.driver.start_health_check(name)
            end = await self.next_query(name)
            end.take()
            position = (self.clock.time - (lag_us if name == "a" else 0)) / 1_000_000
            end.send(row(b"x0=%.6f,x1=%d,queue=0" % (position, name == "p")))
            await self.wait_until_idle(name)
