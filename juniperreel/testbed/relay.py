"""TCP relays that emulate network faults; each directed link between two processes of a trial has its own.

A cut is silent, as on a real network: bytes written stay in transit and arrive when the cut heals, unless
the sender has closed the connection by then; new connections are established (the kernel accepts them) but
carry no data. Each direction is cut, delayed and throttled separately. The data is not interpreted.
"""

from __future__ import annotations

import random
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

import trio

from juniperreel.net import ConnectError, Network, hung_up
from juniperreel.net.clock import US

CHUNK_BYTES = 65_536
MAX_CHUNKS_IN_TRANSIT = 64  # a direction that holds as many stops reading
CONNECT_TIMEOUT_US = 5_000_000
LINGER_ZERO = struct.pack("ii", 1, 0)  # close discards unsent data and resets the connection


# Opens the far end of a relayed connection, or raises ConnectError. The argument returns whether the near
# end has closed its connection to the relay: the kernel's current state, regardless of what has been read.
Dial = Callable[[Callable[[], bool]], Awaitable[trio.abc.Stream]]


def connect_to_port(network: Network, port: int) -> Dial:
    """Return a dial function for a local port that ignores the state of the near end."""
    return partial(_connect, network, port)


async def _connect(network: Network, port: int, _near_end_closed: Callable[[], bool]) -> trio.abc.Stream:
    return await network.connect("127.0.0.1", port, CONNECT_TIMEOUT_US)


@dataclass(slots=True)
class LinkDirection:
    """One direction of a link: its active faults and byte count. A rate of 0 means unlimited."""

    is_cut: bool = False
    delay_us: int = 0
    jitter_us: int = 0
    bytes_per_second: int = 0
    carried_bytes: int = 0
    healed: trio.Event = field(default_factory=trio.Event)

    async def wait_until_healed(self) -> None:
        """Wait until the direction is not cut."""
        while self.is_cut:
            await self.healed.wait()

    def cut(self) -> None:
        """Hold all bytes in transit from now on."""
        self.is_cut = True

    def heal(self) -> None:
        """Release the bytes in transit and let new ones pass."""
        self.is_cut = False
        self.healed.set()
        self.healed = trio.Event()


class DelayedChunk(NamedTuple):
    """Bytes in transit, with the trio time at which they may arrive."""

    due: float
    data: bytes


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """One connection through a relay; `far` is None until it is open."""

    near: trio.abc.Stream
    far: trio.abc.Stream | None = None


class Relay:
    """Listens on its own port and forwards each connection to a stream opened by `dial`.

    `forward` is the direction from the near end, which connected, to the far end; `reverse` is the direction
    of the answers. While `refusing` is set, new connections are reset.
    """

    def __init__(self, network: Network, dial: Dial, seed: int) -> None:
        self.dial = dial
        self.forward = LinkDirection()
        self.reverse = LinkDirection()
        self.refusing = False
        self.port = 0
        self._network = network
        self._rng = random.Random(seed)
        self._connections: set[RelayedConnection] = set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen, on `port` if it is set, and forward connections until cancelled."""
        listener = await self._network.listen("127.0.0.1", self.port)
        self.port = listener.port
        try:
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    stream = await listener.accept()
                    if self.refusing:
                        reset_connection(stream)
                        continue
                    nursery.start_soon(self._carry, stream)
        finally:
            with trio.CancelScope(shield=True):
                await listener.aclose()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def cut(self, *, forward: bool = True, reverse: bool = True) -> None:
        """Cut the given directions and leave the other unchanged."""
        if forward:
            self.forward.cut()
        if reverse:
            self.reverse.cut()

    def heal(self) -> None:
        """Heal both directions; delays remain."""
        self.forward.heal()
        self.reverse.heal()

    def reset(self) -> None:
        """Reset all connections at both ends."""
        for connection in list(self._connections):
            reset_connection(connection.near)
            if connection.far is not None:
                reset_connection(connection.far)

    async def _carry(self, near: trio.abc.Stream) -> None:
        connection = RelayedConnection(near)
        self._connections.add(connection)
        try:
            await self.forward.wait_until_healed()
            connection.far = await self.dial(partial(hung_up, near))
            await self._copy_both_directions(near, connection.far)
        except ConnectError:
            reset_connection(near)
        finally:
            self._connections.discard(connection)
            if connection.far is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(near)
                    await trio.aclose_forcefully(connection.far)

    async def _copy_both_directions(self, near: trio.abc.Stream, far: trio.abc.Stream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far, self.forward, nursery.cancel_scope)
            nursery.start_soon(self._copy, far, near, self.reverse, nursery.cancel_scope)

    async def _copy(
        self,
        source: trio.abc.Stream,
        sink: trio.abc.Stream,
        direction: LinkDirection,
        both_directions: trio.CancelScope,
    ) -> None:
        """Copy one direction to its end and deliver all its data, then close the connection."""
        send, receive = trio.open_memory_channel[DelayedChunk](MAX_CHUNKS_IN_TRANSIT)
        source_ended = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, source, direction, send, source_ended)
            async with receive:
                await self._write(receive, sink, direction, source_ended)
            # A close does not pass through a cut either.
            await direction.wait_until_healed()
            both_directions.cancel()

    async def _write(
        self,
        receive: trio.MemoryReceiveChannel[DelayedChunk],
        sink: trio.abc.Stream,
        direction: LinkDirection,
        source_ended: trio.Event,
    ) -> None:
        earliest = 0.0
        async for chunk in receive:
            earliest = max(earliest, chunk.due)
            await trio.sleep_until(earliest)
            was_cut = direction.is_cut
            await direction.wait_until_healed()
            if was_cut and direction is self.forward and source_ended.is_set():
                # The sender gave up during the cut; delivered now, the data would seem sent after the heal.
                return
            direction.carried_bytes += len(chunk.data)
            try:
                await sink.send_all(chunk.data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if direction.bytes_per_second:
                earliest = trio.current_time() + len(chunk.data) / direction.bytes_per_second

    async def _read(
        self,
        source: trio.abc.Stream,
        direction: LinkDirection,
        send: trio.MemorySendChannel[DelayedChunk],
        source_ended: trio.Event,
    ) -> None:
        async with send:
            while True:
                try:
                    data = bytes(await source.receive_some(CHUNK_BYTES))
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    source_ended.set()
                    return
                delay_us = self._draw_delay_us(direction)
                await send.send(DelayedChunk(trio.current_time() + delay_us / US, data))

    def _draw_delay_us(self, direction: LinkDirection) -> float:
        if not direction.jitter_us:
            return direction.delay_us
        return direction.delay_us + self._rng.uniform(0, direction.jitter_us)


def reset_connection(stream: trio.abc.Stream) -> None:
    """Reset a connection, so that the peer's next call on it fails; has no effect if already closed."""
    if isinstance(stream, trio.SocketStream):
        with suppress(OSError):  # may be closed already
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        stream.socket.close()
