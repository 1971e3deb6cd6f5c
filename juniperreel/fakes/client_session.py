"""What the fake clients of the edges send: the mix of their load, their sessions and requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from juniperreel.fakes.mysql_client import MysqlClient
from juniperreel.net import Clock
from juniperreel.rpc.status import Code
from juniperreel.verification.records import RecordSink, RequestClass, RequestSent, ResponseReceived

MAX_ROWS = 40
WRITE_STATEMENT = "insert into runs (runner, id) values (?, ?) /* rid {} */"
READ_STATEMENT = f"select id from runs where runner = ? order by number desc limit {MAX_ROWS} /* rid {{}} */"
REJECTIONS = (Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED)


class EdgeAddress(NamedTuple):
    """An edge and the port on which it accepts clients."""

    name: str
    port: int


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A request class, its part of the load and how long its clients wait at most."""

    request_class: RequestClass
    part: float
    deadline_us: int


@dataclass(frozen=True, slots=True)
class MysqlTraffic:
    """The edges' MySQL ports in their order, the part of sessions there, and its statements' classes."""

    ports: list[int]
    part: float
    user: str
    password: bytes
    tenant: str
    read_class: str
    write_class: str
    write_part: float = 0.3
    transaction_part: float = 0.0  # of its writes


@dataclass(slots=True)
class ClientSession:
    """One client session, which sends one request at a time."""

    name: str
    row: str
    group: int
    tenant: str
    edge: int  # index of the edge that it uses
    causal_token: bytes = b""
    busy: bool = False
    mysql: MysqlClient | None = None
    last_write_s: float = -1e9


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request, the same in all its attempts."""

    request_id: str
    traffic: TrafficClass
    row: str
    group: int

    @property
    def request_class(self) -> RequestClass:
        """The class that the request belongs to."""
        return self.traffic.request_class

    @property
    def statement(self) -> str:
        """The statement, with placeholders for its values."""
        template = WRITE_STATEMENT if self.request_class.write else READ_STATEMENT
        return template.format(self.request_id)

    @property
    def values(self) -> tuple[str, ...]:
        """The values of the statement's placeholders."""
        return (self.row, self.request_id) if self.request_class.write else (self.row,)


@dataclass(slots=True)
class AttemptResult:
    """How an attempt of a client ended. Without `retry_delay_s` there is to be no other."""

    status: Code = Code.OK
    local: bool = False  # the client made the status up
    endpoint: str = ""
    primary: bool = False
    attempts: int = 0
    retry_after_us: int = 0
    do_not_retry: bool = False
    rows: list[str] = field(default_factory=list)
    retry_delay_s: float | None = None

    @property
    def outcome(self) -> str:
        """The result as the demo counts it."""
        if self.status is Code.OK:
            return "served"
        return "refused" if self.status in REJECTIONS else "failed"


# Called with the request class, the outcome and the microseconds that the attempt took.
ResponseCallback = Callable[[str, str, int], None]


class AttemptReporter:
    """Records attempts of clients, and passes their outcomes on."""

    def __init__(self, clock: Clock, record: RecordSink) -> None:
        self.on_response: ResponseCallback | None = None
        self._clock = clock
        self._record = record

    def record_sent(
        self, session: ClientSession, request: ClientRequest, number: int, edge: str, timeout_us: int
    ) -> int:
        """Record that an attempt is sent now; returns the time."""
        now = self._clock.now_us()
        self._record(
            RequestSent(
                now,
                request.request_id,
                number,
                edge,
                request.request_class.name,
                session.name,
                session.tenant,
                request.group,
                request.row,
                now + timeout_us,
            )
        )
        return now

    def record_response(
        self, request: ClientRequest, number: int, sent_at_us: int, result: AttemptResult
    ) -> None:
        """Record the end of an attempt that was sent at a time."""
        now = self._clock.now_us()
        self._record(
            ResponseReceived(
                now,
                request.request_id,
                number,
                int(result.status),
                result.local,
                result.endpoint,
                result.primary,
                result.attempts,
                result.retry_after_us,
                result.do_not_retry,
                result.rows,
                len(result.rows) == MAX_ROWS,
            )
        )
        if self.on_response is not None:
            self.on_response(request.request_class.name, result.outcome, now - sent_at_us)
