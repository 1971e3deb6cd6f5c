"""One driver on real loopback sockets, turned by hand on a hand-moved clock: for tests that force the order
in which two events cross."""

from __future__ import annotations

import contextlib
import io
import select
import socket
from collections.abc import Callable
from typing import Any

import trio

from juniperreel.net import Clock
from juniperreel.net.poll import Door, Poller, Wire, dial
from juniperreel.platform.config import parse
from juniperreel.platform.driver import PlatformDriver
from juniperreel.platform.endpoints import read
from juniperreel.platform.log import Log
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from juniperreel.routing.types import (
    UpdateKind,
)
from tests.platform.peers import HELLO, config_bytes, entry, row

PATIENCE_S = 30  # far more than anything here takes
LOOK_S = 0.02


class HandClock(Clock):
    def __init__(self) -> None:
        super().__init__(0)
        self.time = 1_767_225_600_000_000

    def now_us(self) -> int:
        return self.time


class End:
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


class MemberEnd:
    """A member's listening socket. Nothing is answered but by the test."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.port: int = self.sock.getsockname()[1]
        self.ends: list[End] = []

    def accept(self) -> list[End]:
        with contextlib.suppress(BlockingIOError):
            while True:
                self.ends.append(End(self.sock.accept()[0]))
        return self.ends

    @property
    def queries(self) -> bytes:
        return b"".join(end.read() for end in self.accept())


class Stage:
    """A primary `p` and a replica `a`; use as a context manager."""

    def __init__(self, **changes: Any) -> None:
        self.members = {"p": MemberEnd(), "a": MemberEnd()}
        hosts = [
            entry("p", self.members["p"].port, replication="primary"),
            entry("a", self.members["a"].port, replication="standby"),
        ]
        self.clock = HandClock()
        self.poller = Poller(self.clock)
        self.wires: list[Wire] = []  # of clients
        self.out = io.StringIO()
        config = parse(config_bytes(known={"seq": 3, "whole": True, "hosts": hosts}, **changes))
        self.driver = PlatformDriver(
            config,
            self.clock.now_us,
            lambda host, port: dial(self.poller, host, port),
            lambda on: None,
            Log(self.out),
        )
        self.driver.told(UpdateKind.CACHED, read(config.known, ["east"], ["k"]))
        self.door = Door(self.poller, "127.0.0.1", 0, self._welcome)
        self.turn()

    def __enter__(self) -> Stage:
        return self

    def __exit__(self, *_: object) -> None:
        for member in self.members.values():
            member.sock.close()
            for end in member.ends:
                end.close()
        self.poller.close()

    def _welcome(self, wire: Wire) -> None:
        self.wires.append(wire)
        self.driver.front.welcome(wire)

    def turn(self) -> None:
        self.driver.arrived_us = self.clock.time
        self.driver.turn()

    async def step(self) -> None:
        """One round of the poll, if anything is there or comes soon."""
        with trio.move_on_after(LOOK_S):
            await self.poller.wait(None)
        self.driver.arrived_us = self.clock.time
        self.poller.dispatch()
        self.driver.turn()

    async def until(self, what: Callable[[], Any]) -> None:
        with trio.fail_after(PATIENCE_S):
            while not what():
                await self.step()

    async def there(self, wire: Wire, mask: int = select.POLLIN) -> None:
        """What was sent to the driver, or that the other side has ended, is in the kernel, unread."""
        poll = select.poll()
        poll.register(wire._sock, mask)
        with trio.fail_after(PATIENCE_S):
            while not any(found & mask for _, found in poll.poll(0)):
                await trio.sleep(0.001)

    def pass_us(self, span: int) -> None:
        """Time passes with all that falls due; what comes on sockets meanwhile waits."""
        end = self.clock.time + span
        while (due := self.driver.due()) is not None and due <= end:
            self.clock.time = max(self.clock.time, due)
            self.turn()
        self.clock.time = end
        self.turn()

    def connect(self, buffer: int = 0) -> End:
        """`buffer`: of what the client has not read; small ones leave answers pending."""
        sock = socket.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.connect(("127.0.0.1", self.door.port))
        return End(sock)

    async def client(self, *texts: bytes, buffer: int = 0) -> End:
        """Connected and welcomed; `texts` are sent behind that."""
        end = self.connect(buffer)
        end.send(HELLO)
        await self.until(lambda: end.read().endswith(m.READY))
        end.take()
        for text in texts:
            end.send(m.query(text))
        return end

    async def query(self, name: str) -> End:
        """The member's end of the connection on which the next query comes; new ones are welcomed."""
        member = self.members[name]
        welcomed: set[End] = set()

        def come() -> bool:
            for end in member.accept():
                if end not in welcomed and end.read().startswith(HELLO[:8]):
                    welcomed.add(end)
                    end.take()
                    end.send(server.STARTUP_RESPONSE)
            return any(end.read().startswith(b"Q") for end in member.ends)

        await self.until(come)
        return next(end for end in member.ends if end.got.startswith(b"Q"))

    async def answered(self, client: End, most: int = 1 << 20) -> bytes:
        """All that the client had, its last command's answer included. `most`: read at once."""
        await self.until(lambda: client.read(most).endswith(m.READY))
        return bytes(client.got)

    async def finished(self, end: End) -> str | None:
        """How the driver ended the connection."""
        await self.until(lambda: end.read() is None or end.ended)
        return end.ended

    async def rests(self, name: str) -> None:
        """A connection to the member is at rest."""
        await self.until(lambda: self.driver.links.pools[name].idle)

    async def probed(self, lag_us: int = 0) -> None:
        """Roles and positions of both members are known, their connections at rest."""
        for name in self.members:
            self.driver.start_health_check(name)
            end = await self.query(name)
            end.take()
            position = (self.clock.time - (lag_us if name == "a" else 0)) / 1_000_000
            end.send(row(b"x0=%.6f,x1=%d,queue=0" % (position, name == "p")))
            await self.rests(name)
