"""A driver on loopback sockets with a manual clock, for tests that force the order of events."""

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
from tests.platform.event_harness import (
    EMPTY_QUERY,
    STARTUP_MESSAGE,
    FakeDiscovery,
    config_bytes,
    list_entry,
    row_reply,
)

TIMEOUT_S = 2  # far longer than any step takes
POLL_TIMEOUT_S = 0.02


class ManualClock(Clock):
    """A clock advanced only by the test."""

    def __init__(self) -> None:
        super().__init__(0)
        self.time = 1_767_225_600_000_000

    def now_us(self) -> int:
        return self.time


class PeerConnection:
    """The peer of one connection. `close_kind` is None, "fin" or "reset"."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.received = bytearray()
        self.close_kind: str | None = None

    def send(self, data: bytes) -> None:
        """Send all of `data`, which must fit into the kernel's buffers."""
        assert self.sock.send(data) == len(data)

    def read(self, max_bytes: int = 1 << 20) -> bytes:
        """Read what is available; return everything received so far."""
        while max_bytes > 0 and self.close_kind is None and self.sock.fileno() >= 0:
            try:
                data = self.sock.recv(min(max_bytes, 65_536))
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.close_kind = "reset"
                break
            if not data:
                self.close_kind = "fin"
            self.received += data
            max_bytes -= len(data)
        return bytes(self.received)

    def take(self) -> bytes:
        data, self.received = self.read(), bytearray()
        return data

    def close(self) -> None:
        self.sock.close()


class FakeEndpoint:
    """An endpoint's listening socket. Answers empty queries at once; all else is answered by the test."""

    def __init__(self) -> None:
        self.answers_empty_queries = True
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.port: int = self.sock.getsockname()[1]
        self.connections: list[PeerConnection] = []

    def accept(self) -> list[PeerConnection]:
        with contextlib.suppress(BlockingIOError):
            while True:
                self.connections.append(PeerConnection(self.sock.accept()[0]))
        return self.connections

    @property
    def queries(self) -> bytes:
        return b"".join(end.read() for end in self.accept())

    def answer_empty_queries(self) -> None:
        for end in self.connections:
            if self.answers_empty_queries and end.read().endswith(EMPTY_QUERY):
                del end.received[-len(EMPTY_QUERY) :]
                end.send(server.empty_query_response())


class SocketHarness:
    """A primary `p` and a replica `a`; use as a context manager."""

    def __init__(self, **overrides: Any) -> None:
        self.endpoints = {"p": FakeEndpoint(), "a": FakeEndpoint()}
        hosts = [
            list_entry("p", self.endpoints["p"].port, replication="primary"),
            list_entry("a", self.endpoints["a"].port, replication="standby"),
        ]
        self.clock = ManualClock()
        self.poller = Poller(self.clock)
        self.client_transports: list[Transport] = []
        self.log_output = io.StringIO()
        config = parse_config(config_bytes(known={"seq": 3, "whole": True, "hosts": hosts}, **overrides))
        self.driver = PlatformDriver(
            config,
            self.clock.now_us,
            lambda host, port: connect(self.poller, host, port),
            FakeDiscovery(),
            Log(self.log_output),
        )
        self.driver.on_endpoint_update(
            UpdateKind.CACHED, read_endpoint_list(config.cached_endpoint_list, ["east"], ["k"])
        )
        self.acceptor = Acceptor(self.poller, "127.0.0.1", 0, self._accept)
        self.process()

    def __enter__(self) -> SocketHarness:
        return self

    def __exit__(self, *_: object) -> None:
        for endpoint in self.endpoints.values():
            endpoint.sock.close()
            for end in endpoint.connections:
                end.close()
        self.poller.close()

    def _accept(self, transport: Transport) -> None:
        self.client_transports.append(transport)
        self.driver.client_listener.accept(transport, self.acceptor.waiting_since_us)

    def process(self) -> None:
        """Run one iteration of the driver without polling."""
        self.driver.input_ready_since_us = self.clock.time
        self.driver.process_pending()

    async def poll_once(self) -> None:
        """Poll once, with a short timeout, and run one iteration of the driver."""
        with trio.move_on_after(POLL_TIMEOUT_S):
            await self.poller.wait(None)
        self.driver.input_ready_since_us = self.clock.time
        self.poller.dispatch()
        self.driver.process_pending()
        for endpoint in self.endpoints.values():
            endpoint.answer_empty_queries()

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        with trio.fail_after(TIMEOUT_S):
            while not condition():
                await self.poll_once()

    async def wait_for_event(self, transport: Transport, mask: int = select.POLLIN) -> None:
        """Wait until the kernel holds unread data or an end of stream for the driver."""
        poll = select.poll()
        poll.register(transport._socket, mask)
        with trio.fail_after(TIMEOUT_S):
            while not any(found & mask for _, found in poll.poll(0)):
                await trio.sleep(0.001)

    def advance_us(self, duration_us: int) -> None:
        """Advance the clock, running due timers without polling the sockets."""
        end = self.clock.time + duration_us
        while (due := self.driver.next_due_us()) is not None and due <= end:
            self.clock.time = max(self.clock.time, due)
            self.process()
        self.clock.time = end
        self.process()

    def connect(self, buffer: int = 0) -> PeerConnection:
        """Connect a client; with a small receive `buffer`, answers stay in the driver's buffer."""
        sock = socket.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.connect(("127.0.0.1", self.acceptor.port))
        return PeerConnection(sock)

    async def client(self, *texts: bytes, buffer: int = 0) -> PeerConnection:
        """Connect a client, complete its startup, and send `texts`."""
        end = self.connect(buffer)
        end.send(STARTUP_MESSAGE)
        await self.wait_until(lambda: end.read().endswith(m.READY))
        end.take()
        for text in texts:
            end.send(m.query(text))
        return end

    async def next_query(self, name: str) -> PeerConnection:
        """Return the endpoint connection that receives the next query; complete the startup of new ones."""
        endpoint = self.endpoints[name]
        logged_in: set[PeerConnection] = set()

        def has_arrived() -> bool:
            for end in endpoint.accept():
                if end not in logged_in and end.read().startswith(STARTUP_MESSAGE[:8]):
                    logged_in.add(end)
                    end.take()
                    end.send(server.STARTUP_RESPONSE)
            return any(end.read().startswith(b"Q") for end in endpoint.connections)

        await self.wait_until(has_arrived)
        return next(end for end in endpoint.connections if end.received.startswith(b"Q"))

    async def read_answer(self, client: PeerConnection, max_bytes: int = 1 << 20) -> bytes:
        """Return everything the client received up to a complete answer, reading `max_bytes` at a time."""
        await self.wait_until(lambda: client.read(max_bytes).endswith(m.READY))
        return bytes(client.received)

    async def wait_for_end(self, end: PeerConnection) -> str | None:
        """Wait until the driver closes the connection; return how."""
        await self.wait_until(lambda: end.read() is None or end.close_kind)
        return end.close_kind

    async def wait_until_idle(self, name: str) -> None:
        """Wait until a connection to the endpoint is idle."""
        await self.wait_until(lambda: self.driver.endpoint_pools.pools[name].idle)

    async def learn_positions(self, lag_us: int = 0) -> None:
        """Let the driver learn both endpoints' roles and positions, leaving an idle connection to each."""
        for name in self.endpoints:
            self.driver.start_health_check(name)
            end = await self.next_query(name)
            end.take()
            position = (self.clock.time - (lag_us if name == "a" else 0)) / 1_000_000
            end.send(row_reply(b"x0=%.6f,x1=%d,queue=0" % (position, name == "p")))
            await self.wait_until_idle(name)
