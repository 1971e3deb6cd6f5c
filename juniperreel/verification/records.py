"""Records of socket traffic: JSON Lines, written by the processes that surround the edges.

Times are whole microseconds since the Unix epoch on the recording process's clock. Two identifiers name a
request. `request_id` is assigned by the client and is the same in all of its attempts. It is part of the
statement's text, so that endpoints see it however the edge encodes the rest. `edge_request_id` is assigned by
the edge.

Recordings are kept for years: the `tag` of a record and the `name` of a field are the stored names and must
never change, even where the Python names do.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec
from msgspec import field

from juniperreel.verification.errors import RecordingFormatError

# Values of `RequestClass.idempotency`.
IDEMPOTENT = "repeatable"
KEYED = "keyed"
NON_IDEMPOTENT = "once"

# Value of `EndpointListed.readiness` for an endpoint that takes new requests.
READY = "up"

# Value of `EndpointStopped.cause` for an endpoint that was overloaded while it warmed up.
OVERLOADED = "fell"


class Record(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all records; `at` is the time of the event."""

    at: int


class RequestClass(Record, frozen=True, tag="Class"):
    """A request class as configured at the clients. `max_staleness_us` is -1 for reads without a bound."""

    name: str
    idempotency: str = field(name="effect")
    deduplication_window_us: int = field(name="memory_us")
    write: bool
    session: bool
    max_staleness_us: int = field(name="lag_us")
    latency_objective_us: int = field(name="aim_us")
    priority_weight: float = field(name="worth")
    late_priority_weight: float = field(name="late_worth")


class Limits(Record, frozen=True, tag="Limits"):
    """The limits that the rules are checked against."""

    drain_grace_us: int
    initial_capacity: float = field(name="cold_from")  # fraction of the full one when slow start begins
    slow_start_us: int = field(name="cold_us")
    overload_multiple: float = field(name="fall_multiple")
    overload_window_us: int = field(name="overload_us")
    max_attempts: int


class RequestSent(Record, frozen=True, tag="Asked"):
    """A client sent a request to an edge; it stops waiting at `deadline`."""

    request_id: str = field(name="rid")
    client_attempt: int = field(name="number")  # from 0
    edge: str
    class_name: str = field(name="cls")
    session: str
    tenant: str
    group: int
    row: str  # key of the rows that it reads or writes
    deadline: int


class ResponseReceived(Record, frozen=True, tag="Told"):
    """A client attempt ended with its final response.

    `status` is a gRPC status code. `local` marks a status that the client generated itself, on a timeout or a
    broken connection.
    """

    request_id: str = field(name="rid")
    client_attempt: int = field(name="number")
    status: int
    local: bool = False
    endpoint: str = field(name="member", default="")
    primary: bool = False
    attempts: int = 0
    retry_after_us: int = field(name="wait_us", default=0)
    do_not_retry: bool = field(name="never", default=False)
    rows: list[str] = field(default_factory=list)
    has_older_rows: bool = field(name="more", default=False)  # beyond those in `rows`


class LoadOffered(Record, frozen=True, tag="Offered"):
    """The total number of requests due, including those for which no client session was free."""

    count: int


class AttemptReceived(Record, frozen=True, tag="Arrived"):
    """An endpoint read an attempt that `edge` sent."""

    endpoint: str = field(name="member")
    edge: str
    edge_request_id: str = field(name="request")
    attempt: int
    request_id: str = field(name="rid")
    class_name: str = field(name="cls")
    write: bool
    work_us: int


class StatementReceived(Record, frozen=True, tag="Within"):
    """An endpoint read a statement of a transaction after the one that began it."""

    endpoint: str = field(name="member")
    edge: str
    edge_request_id: str = field(name="request")
    statement: int  # from 1


class AttemptAbandoned(Record, frozen=True, tag="Abandoned"):
    """The edge closed the connection on which an attempt was running.

    The endpoint may continue to execute it, but its result is discarded.
    """

    endpoint: str = field(name="member")
    edge_request_id: str = field(name="request")
    attempt: int


class StatementExecuted(Record, frozen=True, tag="Ran"):
    """An endpoint executed a statement with a serial number among its values.

    `variables` are the session variables of its connection at that time.
    """

    endpoint: str = field(name="member")
    connection_id: int = field(name="thread")
    serial: str
    text: str
    values: list[str]
    variables: dict[str, str]


class StatementIntended(Record, frozen=True, tag="Meant"):
    """The statement that a client sent with a serial number, and its session variables.

    `served` is true if the response was a success; `error` is the code of an error response.
    """

    serial: str
    text: str
    values: list[str]
    variables: dict[str, str]
    served: bool
    error: str = ""


class AttemptFinished(Record, frozen=True, tag="Left"):
    """An attempt ended at its endpoint: answered, rejected, disconnected or cancelled."""

    endpoint: str = field(name="member")
    edge_request_id: str = field(name="request")
    attempt: int
    outcome: str = field(name="how")
    executed: bool


class Committed(Record, frozen=True, tag="Committed"):
    """A write was appended to its group's log."""

    group: int
    epoch: int
    position: int
    endpoint: str = field(name="member")
    request_id: str = field(name="rid")
    row: str


class Promoted(Record, frozen=True, tag="Promoted"):
    """An endpoint became primary; `start` is the last position of earlier epochs that the new epoch keeps."""

    group: int
    epoch: int
    start: int
    endpoint: str = field(name="member")


class EndpointListed(Record, frozen=True, tag="Listed"):
    """The endpoint list server sent the readiness of an endpoint to an edge."""

    edge: str
    endpoint: str = field(name="host")
    readiness: str


class EndpointStarted(Record, frozen=True, tag="Started"):
    """An endpoint started. `capacity` is the number of its cores times their speed after slow start."""

    endpoint: str = field(name="member")
    warming_up: bool = field(name="cold")
    capacity: float


class EndpointStopped(Record, frozen=True, tag="Stopped"):
    """An endpoint's process ended."""

    endpoint: str = field(name="member")
    cause: str = field(name="why")


class EdgeUp(Record, frozen=True, tag="EdgeUp"):
    """The edge accepts connections."""

    edge: str


class EdgeDown(Record, frozen=True, tag="EdgeDown"):
    """The edge was killed or received a stop signal."""

    edge: str


class EdgeStalled(Record, frozen=True, tag="EdgeStalled"):
    """The edge's process was suspended from `at` to `until`."""

    edge: str
    until: int


class Fault(Record, frozen=True, tag="Fault"):
    """A fault of the scenario was injected or, if not `active`, cleared."""

    text: str
    active: bool = field(name="on")


AnyRecord = (
    RequestClass
    | Limits
    | RequestSent
    | ResponseReceived
    | LoadOffered
    | AttemptReceived
    | StatementReceived
    | AttemptAbandoned
    | StatementExecuted
    | StatementIntended
    | AttemptFinished
    | Committed
    | Promoted
    | EndpointListed
    | EndpointStarted
    | EndpointStopped
    | EdgeUp
    | EdgeDown
    | EdgeStalled
    | Fault
)
RecordSink = Callable[[Record], None]


class Recorder:
    """Collects records in memory and, if a file is given, appends each one to it."""

    def __init__(self, file: BinaryIO | None = None) -> None:
        self.records: list[Record] = []
        self._file = file
        self._encoder = msgspec.json.Encoder()

    def __call__(self, record: Record) -> None:
        """Store one record."""
        self.records.append(record)
        if self._file is not None:
            self._file.write(self._encoder.encode(record) + b"\n")


def read_recording(path: Path) -> Iterator[Record]:
    """Yield the records of a file. Raises RecordingFormatError at the first line that cannot be decoded."""
    decoder = msgspec.json.Decoder(AnyRecord)
    with path.open("rb") as lines:
        for number, line in enumerate(lines, 1):
            try:
                yield decoder.decode(line)
            except msgspec.DecodeError as error:
                raise RecordingFormatError(path, number, str(error)) from error
