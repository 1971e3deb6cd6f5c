"""The records: one JSON line each, written by whoever plays the world outside the edges.

Times are whole microseconds since the Unix epoch on the recording process's clock. `rid` is the client's
name of a request, the same in all its tries; it travels inside the statement, so that members see it
whatever the edge makes of the rest.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec


class Record(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """`at` is when it happened."""

    at: int


class Class(Record, frozen=True):
    """A class as the clients know it. `lag_us` is -1 unless its reads are bounded."""

    name: str
    effect: str
    memory_us: int
    write: bool
    session: bool
    lag_us: int
    aim_us: int
    worth: float
    late_worth: float


class Limits(Record, frozen=True):
    """The figures of the rules."""

    drain_grace_us: int
    cold_from: float
    cold_us: int
    fall_multiple: float
    overload_us: int
    max_attempts: int


class Asked(Record, frozen=True):
    """A client wrote a request to an edge; it gives up at `deadline`."""

    rid: str
    number: int  # of the try, from 0
    edge: str
    cls: str
    session: str
    tenant: str
    group: int
    row: str  # whose rows it reads or writes
    deadline: int


class Told(Record, frozen=True):
    """The client has the try's final answer. `status` is gRPC's; `local` where the client made it up."""

    rid: str
    number: int
    status: int
    local: bool = False
    member: str = ""
    primary: bool = False
    attempts: int = 0
    wait_us: int = 0
    never: bool = False  # told not to repeat
    rows: list[str] = []
    more: bool = False  # there are older rows beyond those told


class Offered(Record, frozen=True):
    """So many requests were due in all; those that nobody was free to ask are missing from what was asked."""

    count: int


class Arrived(Record, frozen=True):
    """A member has read an attempt. `edge` is who sent it, `request` and `attempt` as the edge names them."""

    member: str
    edge: str
    request: str
    attempt: int
    rid: str
    cls: str
    write: bool
    work_us: int


class Within(Record, frozen=True):
    """A member has read a later statement of a transaction that a request began."""

    member: str
    edge: str
    request: str
    statement: int  # from 1


class Abandoned(Record, frozen=True):
    """The edge has ended the connection on which an attempt was running; what the member goes on to do with
    it is of no more use to anybody."""

    member: str
    request: str
    attempt: int


class Ran(Record, frozen=True):
    """A member has run a statement that carries a serial number among its values: with which text, values and
    variables of its connection."""

    member: str
    thread: int
    serial: str
    text: str
    values: list[str]
    variables: dict[str, str]


class Meant(Record, frozen=True):
    """What a client asked under that number, and what its session had set; `served` if it had its answer."""

    serial: str
    text: str
    values: list[str]
    variables: dict[str, str]
    served: bool
    error: str = ""


class Left(Record, frozen=True):
    """The member is done with an attempt: answered, turned away, broken off, or told to stop."""

    member: str
    request: str
    attempt: int
    how: str
    executed: bool


class Committed(Record, frozen=True):
    group: int
    epoch: int
    position: int
    member: str
    rid: str
    row: str


class Promoted(Record, frozen=True):
    """`start` is the last position that the new epoch took over."""

    group: int
    epoch: int
    start: int
    member: str


class Listed(Record, frozen=True):
    """The host list wrote this of a host to an edge's stream."""

    edge: str
    host: str
    readiness: str


class Started(Record, frozen=True):
    """A member runs from now on; cold ones warm up. `capacity` is its cores times their speed when warm."""

    member: str
    cold: bool
    capacity: float


class Stopped(Record, frozen=True):
    """A member's process ended; `why` is fell where too much was sent to it while cold."""

    member: str
    why: str


class EdgeUp(Record, frozen=True):
    edge: str


class EdgeDown(Record, frozen=True):
    """The edge was killed, or asked to stop."""

    edge: str


class EdgeStalled(Record, frozen=True):
    """The edge stood still from `at` to `until`."""

    edge: str
    until: int


class Fault(Record, frozen=True):
    text: str
    on: bool


Any = (
    Class
    | Limits
    | Asked
    | Told
    | Offered
    | Arrived
    | Within
    | Abandoned
    | Ran
    | Meant
    | Left
    | Committed
    | Promoted
    | Listed
    | Started
    | Stopped
    | EdgeUp
    | EdgeDown
    | EdgeStalled
    | Fault
)
Sink = Callable[[Record], None]


class Recorder:
    """Keeps records in memory and, where given, in a file as they come."""

    def __init__(self, file: BinaryIO | None = None) -> None:
        self.records: list[Record] = []
        self._file = file
        self._encoder = msgspec.json.Encoder()

    def __call__(self, record: Record) -> None:
        self.records.append(record)
        if self._file is not None:
            self._file.write(self._encoder.encode(record) + b"\n")


class BadRecording(ValueError):
    """A line of a recording that is not a record."""


def read(path: Path) -> Iterator[Record]:
    """The records of a file. Raises BadRecording with the line's number."""
    decoder = msgspec.json.Decoder(Any)
    with path.open("rb") as lines:
        for number, line in enumerate(lines, 1):
            try:
                yield decoder.decode(line)
            except msgspec.DecodeError as error:
                raise BadRecording(f"{path}:{number}: {error}") from None
