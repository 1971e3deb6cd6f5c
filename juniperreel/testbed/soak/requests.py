"""Requests of the soak's special clients: encodes and records them, and checks their answers."""

from __future__ import annotations

import random
import re
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

from juniperreel.fakes.client_session import EdgeAddress
from juniperreel.fakes.platform_clients import STATUS_OK, STATUS_UNKNOWN, TENANT, statement
from juniperreel.net import Clock
from juniperreel.postgres import messages
from juniperreel.testbed.soak.loop_lag import LoopLag
from juniperreel.testbed.soak.timeliness import AwaitedAnswer
from juniperreel.verification import records as rec

# Few, so that many connections share each row: a lagging replica soon lacks writes that reads require.
SHARED_ROWS_PER_GROUP = 4
MAX_ANSWER_DELAY_US = 550_000  # an answer late by up to this has no value, but violates no rule
STARTUP_MESSAGE = messages.startup("worker", "catalog")
ANSWER_ROW = re.compile(rb"(?P<member>g\d+-m\d+)\|(?P<ids>[0-9a-f,]*)")

FindDriver = Callable[[], EdgeAddress | None]
WasKilled = Callable[[str, int], bool]  # (driver, time in us): whether it was killed since then


@dataclass(frozen=True, slots=True)
class Session:
    """The session of one connection: it reads and writes a row of a group, shared with other sessions."""

    name: str
    row: str
    group: int

    @classmethod
    def for_single_request(cls, request_id: str) -> Session:
        """Return the session of a single request with its own row."""
        return cls(request_id, request_id, group=0)


@dataclass(frozen=True, slots=True)
class ClientDisconnect:
    """A client closed its connection while one of its requests was open."""

    request_id: str
    at_us: int


@dataclass(slots=True)
class ClientObservations:
    """What clients observed.

    `unanswered_at_close`: requests whose connection was closed before an answer, with their driver.
    `sessionless`: requests without a session, each with its own row. `pending_connections`: number of
    connections that have not been checked yet.
    """

    unanswered_at_close: dict[str, str] = field(default_factory=dict)
    disconnects: list[ClientDisconnect] = field(default_factory=list)
    sessionless: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    awaited: list[AwaitedAnswer] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    pending_connections: int = 0

    @contextmanager
    def track_connection(self) -> Iterator[None]:
        """Count a connection as pending; its requests have been checked when the block exits."""
        self.pending_connections += 1
        try:
            yield
        finally:
            self.pending_connections -= 1


class SoakRequests:
    """Creates requests of three classes, records them, and checks their answers."""

    def __init__(
        self,
        observations: ClientObservations,
        was_killed: WasKilled,
        classes: Sequence[rec.RequestClass],
        clock: Clock,
        record: rec.RecordSink,
        deadline_ms: int,
        groups: int,
        lag: LoopLag,
        rng: random.Random,
    ) -> None:
        """`was_killed` excuses missing answers of a driver; each request is sent with `deadline_ms`."""
        self.observations = observations
        self.was_killed = was_killed
        self.bounded_read, self.session_read, self.write = classes
        self.clock = clock
        self.deadline_ms = deadline_ms
        self._groups = groups
        self._lag = lag
        self._sent_us: dict[str, int] = {}  # of recorded requests without an answer
        self._record = record
        self._rng = rng

    def new_id(self) -> str:
        """Generate a random request id."""
        return f"{self._rng.getrandbits(64):016x}"

    def new_session(self) -> Session:
        """Create a session on a random shared row, for one connection."""
        group = self._rng.randrange(self._groups)
        row = f"shared{group}.{self._rng.randrange(SHARED_ROWS_PER_GROUP)}"
        return Session(self.new_id(), row, group)

    def query(
        self,
        request_class: rec.RequestClass,
        request_id: str,
        session: Session | None = None,
        deadline_ms: int | None = None,
    ) -> bytes:
        """Return the query message of a request; without a session, the request has its own row."""
        session = session or Session.for_single_request(request_id)
        deadline_ms = self.deadline_ms if deadline_ms is None else deadline_ms
        text = statement(request_class, request_id, session.row, session.group, deadline_ms)
        return messages.query(text.encode())

    def record_sent(
        self,
        now_us: int,
        driver: str,
        request_class: rec.RequestClass,
        request_id: str,
        session: Session | None = None,
    ) -> None:
        """Record that a request is sent at `now_us`."""
        if session is None:
            self.observations.sessionless.add(request_id)
            session = Session.for_single_request(request_id)
        self._sent_us[request_id] = now_us
        deadline_us = now_us + self.deadline_ms * 1000 + MAX_ANSWER_DELAY_US
        self._record(
            rec.RequestSent(
                now_us,
                request_id,
                0,
                driver,
                request_class.name,
                session.name,
                TENANT,
                session.group,
                session.row,
                deadline_us,
            )
        )

    def check_answer(
        self, driver: str, request_class: rec.RequestClass, request_id: str, answer: bytes
    ) -> None:
        """Record an answer; an answer that belongs to another request is a violation."""
        served = answer.startswith(b"T")
        now_us = self.clock.now_us()
        sent_us = self._sent_us.pop(request_id)
        self.add_awaited_answer(driver, request_id, sent_us, self.deadline_ms, answered=True)
        status = STATUS_OK if served else STATUS_UNKNOWN
        endpoint, ids = _parse_answer_row(answer) if served else ("", [])
        self._record(rec.ResponseReceived(now_us, request_id, 0, status, endpoint=endpoint, rows=ids))
        if served and request_class.write and request_id.encode() not in answer:
            self.observations.violations.append(
                f"{driver} answered {request_id} with the answer to another request"
            )

    def add_awaited_answer(
        self, driver: str, request_id: str, sent_us: int, deadline_ms: int, answered: bool
    ) -> None:
        """Record that a request was answered now, or that its client gave up."""
        self.observations.awaited.append(
            AwaitedAnswer(
                request_id,
                driver,
                sent_us + deadline_ms * 1000,
                self.clock.now_us(),
                answered,
                self._lag.tolerance_us(sent_us),
            )
        )

    def check_unanswered(self, driver: str, request_id: str, ended: bool, sent_us: int) -> None:
        """Check a request without an answer; `ended` tells whether its connection was closed."""
        if self.was_killed(driver, sent_us):
            now_us = self.clock.now_us()
            self._record(rec.ResponseReceived(now_us, request_id, 0, STATUS_UNKNOWN, local=True))
        elif ended:
            self.observations.unanswered_at_close[request_id] = driver
        else:
            self.observations.violations.append(f"{request_id} had neither an answer nor a close of {driver}")


def _parse_answer_row(answer: bytes) -> tuple[str, list[str]]:
    """Return the member that answered, and the ids of the writes in its row."""
    found = ANSWER_ROW.search(answer)
    if found is None:
        return "", []
    ids = found["ids"].decode()
    return found["member"].decode(), ids.split(",") if ids else []
