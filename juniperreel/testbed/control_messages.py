"""What the processes of a large trial tell each other: lines of JSON over one connection each."""

from __future__ import annotations

import base64

import msgspec
import trio

from juniperreel.proto.hosts.v1 import hosts_pb2

LINE = 1 << 20  # bytes of one line, at most


class Word(msgspec.Struct, frozen=True, tag=True):
    pass


class Hello(Word, frozen=True):
    """A process of the trial has started."""

    name: str


class Host(Word, frozen=True):
    """What the list is to tell of a member, and the ports by which drivers reach it. `delay_us` is None where
    the list's own delay holds."""

    line: str
    delay_us: int | None
    doors: dict[str, int]

    @staticmethod
    def of(host: hosts_pb2.Host, delay_us: int | None, doors: dict[str, int]) -> Host:
        return Host(base64.b64encode(host.SerializeToString()).decode(), delay_us, doors)

    @property
    def host(self) -> hosts_pb2.Host:
        return hosts_pb2.Host.FromString(base64.b64decode(self.line))


class Launch(Word, frozen=True):
    """All members are told: start the drivers."""


class Ready(Word, frozen=True):
    """The part stands."""


class Begin(Word, frozen=True):
    """The day, by the machine's clock."""

    at_us: int
    until_us: int


class End(Word, frozen=True):
    """Write down what is left, and go."""


class Count(Word, frozen=True):
    """Of one process of the trial. `late_us`: by which its loop was late at most; `cpu_s` with the drivers it
    started."""

    name: str
    probes: int = 0
    connections: int = 0
    most_held: int = 0
    calls: int = 0
    late_us: int = 0
    cpu_s: float = 0.0


AnyWord = Hello | Host | Launch | Ready | Begin | End | Count


class Gone(Exception):
    """The other end has left."""


class Talk:
    """One connection of the trial, both ways."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._rest = bytearray()
        self._lines: list[bytes] = []
        self._encoder, self._decoder = msgspec.json.Encoder(), msgspec.json.Decoder(AnyWord)
        self._sending = trio.Lock()

    async def say(self, word: Word) -> None:
        async with self._sending:
            try:
                await self._stream.send_all(self._encoder.encode(word) + b"\n")
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                raise Gone from None

    async def hear(self) -> AnyWord:
        """Raises Gone at the end, msgspec.DecodeError for what is no word."""
        while not self._lines:
            try:
                data = await self._stream.receive_some(65_536)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                raise Gone from None
            if not data or len(self._rest) > LINE:
                raise Gone
            self._rest += data
            *self._lines, rest = bytes(self._rest).split(b"\n")
            self._lines.reverse()
            self._rest = bytearray(rest)
        return self._decoder.decode(self._lines.pop())
