"""Control messages between the processes of a trial: JSON lines over one connection per process."""

from __future__ import annotations

import base64
from collections import deque

import msgspec
import trio

from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.testbed.errors import ConnectionEndedError

MAX_LINE_BYTES = 1 << 20
READ_BYTES = 65_536


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base class of all messages; the class name is the tag on the wire."""


class Hello(Message, frozen=True):
    """Process to trial: the named process has started and connected."""

    name: str


class HostUpdate(Message, frozen=True):
    """An update of a member that discovery is to publish, and the ports by which drivers reach the member.

    `serialized_host` is a `Host` of the host list in base64. `delay_us` is None to use discovery's default
    delay. `ports` is keyed by driver.
    """

    serialized_host: str
    delay_us: int | None
    ports: dict[str, int]

    @staticmethod
    def of(host: hosts_pb2.Host, delay_us: int | None, ports: dict[str, int]) -> HostUpdate:
        """Build the message for a host."""
        return HostUpdate(base64.b64encode(host.SerializeToString()).decode(), delay_us, ports)

    @property
    def host(self) -> hosts_pb2.Host:
        """The deserialized host."""
        return hosts_pb2.Host.FromString(base64.b64decode(self.serialized_host))


class StartDrivers(Message, frozen=True):
    """Trial to process: all members are running; start the drivers."""


class Ready(Message, frozen=True):
    """Process to trial: its members or its drivers are running."""


class StartDay(Message, frozen=True):
    """Trial to process: start and end of the script, on the machine's clock."""

    at_us: int
    until_us: int


class EndDay(Message, frozen=True):
    """Trial to process: stop, send the counts and exit."""


class ProcessCounts(Message, frozen=True):
    """Process to trial, as its last message: its counters.

    `max_lag_us` is the maximum lag of its event loop while the script ran; `cpu_s` is its CPU time including
    that of the drivers it started.
    """

    name: str
    probes: int = 0
    connections: int = 0
    peak_connections: int = 0
    discovery_calls: int = 0
    max_lag_us: int = 0
    cpu_s: float = 0.0


AnyMessage = Hello | HostUpdate | StartDrivers | Ready | StartDay | EndDay | ProcessCounts


class ControlConnection:
    """A bidirectional connection between the trial and one of its processes."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._incomplete = bytearray()
        self._lines: deque[bytes] = deque()
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(AnyMessage)
        self._sending = trio.Lock()

    async def send(self, message: Message) -> None:
        """Send one message. Raises ConnectionEndedError."""
        async with self._sending:
            try:
                await self._stream.send_all(self._encoder.encode(message) + b"\n")
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise ConnectionEndedError from error

    async def receive(self) -> AnyMessage:
        """Wait for the next message.

        Raises ConnectionEndedError, or msgspec.DecodeError for a line that is not a valid message.
        """
        while not self._lines:
            await self._receive_lines()
        return self._decoder.decode(self._lines.popleft())

    async def _receive_lines(self) -> None:
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionEndedError from error
        if not data or len(self._incomplete) > MAX_LINE_BYTES:
            raise ConnectionEndedError
        self._incomplete += data
        *complete, incomplete = bytes(self._incomplete).split(b"\n")
        self._lines.extend(complete)
        self._incomplete = bytearray(incomplete)
