"""One relay for each directed link between two processes of a trial, with what networks do to links.

A cut is silent, as on a real network: what was written stays on the way and arrives when the cut heals,
unless its sender has closed the connection by then; new connections come up (the kernel accepts them) and
nothing is heard on them. Each direction is cut, delayed and slowed on its own. It never looks into the bytes.
"""

from __future__ import annotations

import random
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial

import trio

from juniperreel.net import ConnectError, Network, hung_up
from juniperreel.net.clock import US

CHUNK = 65_536
ON_THE_WAY = 64  # chunks that a direction holds before it stops reading
CONNECT_US = 5_000_000
RESET = struct.pack("ii", 1, 0)  # linger for no time: what is not sent is dropped, and the peer is told


# Opens the far end, or raises ConnectError. It is handed a question: whether whoever connected here has ended
# that connection, by what the kernel says now and not by what has been read.
Dial = Callable[[Callable[[], bool]], Awaitable[trio.abc.Stream]]


def to_port(network: Network, port: int) -> Dial:
    async def dial(given_up: Callable[[], bool]) -> trio.abc.Stream:
        return await network.connect("127.0.0.1", port, CONNECT_US)

    return dial


@dataclass(slots=True)
class Way:
    """One direction. Spans are microseconds, `rate` bytes a second (0: no limit)."""

    cut: bool = False
    delay_us: int = 0
    jitter_us: int = 0
    rate: int = 0
    carried: int = 0  # bytes, ever
    healed: trio.Event = field(default_factory=trio.Event)

    async def open(self) -> None:
        while self.cut:
            await self.healed.wait()

    def set_cut(self, on: bool) -> None:
        self.cut = on
        if not on:
            self.healed.set()
            self.healed = trio.Event()


class Relay:
    """Listens on a port of its own and carries what comes there to where `dial` leads. `there` is the way of
    whoever connects, `back` the answers'."""

    def __init__(self, network: Network, dial: Dial, seed: int) -> None:
        self._network, self.dial = network, dial
        self._rng = random.Random(seed)
        self.there, self.back = Way(), Way()
        self.refusing = False
        self.port = 0
        self.opened = 0  # connections, ever
        self._pairs: set[tuple[trio.abc.Stream, trio.abc.Stream | None]] = set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listener = await self._network.listen("127.0.0.1", self.port)
        self.port = listener.port
        try:
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    stream = await listener.accept()
                    self.opened += 1
                    if self.refusing:
                        reset(stream)
                        continue
                    nursery.start_soon(self._carry, stream)
        finally:
            with trio.CancelScope(shield=True):
                await listener.aclose()

    @property
    def connections(self) -> int:
        return len(self._pairs)

    def cut(self, there: bool = True, back: bool = True) -> None:
        if there:
            self.there.set_cut(True)
        if back:
            self.back.set_cut(True)

    def heal(self) -> None:
        self.there.set_cut(False)
        self.back.set_cut(False)

    def reset(self) -> None:
        """Breaks all its connections at once, both ends told."""
        for pair in list(self._pairs):
            for stream in pair:
                if stream is not None:
                    reset(stream)

    async def _carry(self, near: trio.abc.Stream) -> None:
        pair: tuple[trio.abc.Stream, trio.abc.Stream | None] = (near, None)
        self._pairs.add(pair)
        try:
            await self.there.open()
            far = await self.dial(partial(hung_up, near))
        except ConnectError:
            reset(near)
            return
        finally:
            self._pairs.discard(pair)
        pair = (near, far)
        self._pairs.add(pair)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._way, near, far, self.there, nursery.cancel_scope)
                nursery.start_soon(self._way, far, near, self.back, nursery.cancel_scope)
        finally:
            self._pairs.discard(pair)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(near)
                await trio.aclose_forcefully(far)

    async def _way(
        self, source: trio.abc.Stream, sink: trio.abc.Stream, way: Way, both: trio.CancelScope
    ) -> None:
        """An end that closes takes the link's other end with it once all before it has arrived."""
        send, receive = trio.open_memory_channel[tuple[float, bytes]](ON_THE_WAY)
        ended = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, source, way, send, ended)
            last = 0.0
            async with receive:
                async for due, data in receive:
                    last = max(last, due)
                    await trio.sleep_until(last)
                    held = way.cut
                    await way.open()
                    if held and way is self.there and ended.is_set():
                        break  # danger: what its sender gave up meanwhile would look like sent after the heal
                    way.carried += len(data)
                    try:
                        await sink.send_all(data)
                    except (trio.BrokenResourceError, trio.ClosedResourceError):
                        break
                    if way.rate:
                        last = trio.current_time() + len(data) / way.rate
            await way.open()  # that it ended is not heard through a cut either
            both.cancel()

    async def _read(
        self,
        source: trio.abc.Stream,
        way: Way,
        send: trio.MemorySendChannel[tuple[float, bytes]],
        ended: trio.Event,
    ) -> None:
        async with send:
            while True:
                try:
                    data = bytes(await source.receive_some(CHUNK))
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    ended.set()
                    return
                wait = way.delay_us + (self._rng.uniform(0, way.jitter_us) if way.jitter_us else 0)
                await send.send((trio.current_time() + wait / US, data))


def reset(stream: trio.abc.Stream) -> None:
    """Ends a connection so that the peer's next call on it fails."""
    if isinstance(stream, trio.SocketStream):
        with suppress(OSError):  # it may be closed already
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        stream.socket.close()


class Links:
    """All relays of a trial, by who connects and to whom."""

    def __init__(self, network: Network, nursery: trio.Nursery, seed: int) -> None:
        self._network, self._nursery = network, nursery
        self._rng = random.Random(seed)
        self.relays: dict[tuple[str, str], Relay] = {}

    async def between(self, source: str, target: str, dial: Dial) -> Relay:
        """The relay from one to the other, made at first asking."""
        found = self.relays.get((source, target))
        if found is None:
            found = Relay(self._network, dial, self._rng.getrandbits(32))
            self.relays[source, target] = found
            await self._nursery.start(found.run)
        found.dial = dial
        return found

    def among(self, sources: Iterable[str], targets: Iterable[str]) -> list[Relay]:
        froms, tos = set(sources), set(targets)
        return [r for (a, b), r in self.relays.items() if a in froms and b in tos]

    def cut(self, sources: Iterable[str], targets: Iterable[str], hear: bool = False) -> None:
        """The sources no longer reach the targets, silently; with `hear` they still hear them."""
        for relay in self.among(sources, targets):
            relay.cut(back=not hear)

    def heal(self, sources: Iterable[str], targets: Iterable[str]) -> None:
        for relay in self.among(sources, targets):
            relay.heal()
