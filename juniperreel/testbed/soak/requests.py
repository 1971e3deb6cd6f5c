"""The requests of a soak's unusual clients: written, recorded, and their answers judged."""

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

# Many connections write and read each row: a replica that lags soon lacks writes that a read must show.
SHARED_ROWS_PER_GROUP = 4  # of a group
MAX_ANSWER_DELAY_US = 550_000  # an answer up to so late is only worth nothing
STARTUP_MESSAGE = messages.startup("worker", "catalog")
ANSWER_ROW = re.compile(rb"(?P<member>g\d+-m\d+)\|(?P<ids>[0-9a-f,]*)")

FindDriver = Callable[[], EdgeAddress | None]
WasKilled = Callable[[str, int], bool]  # whether a driver was killed since a time


@dataclass(frozen=True, slots=True)
class Session:
    """What one connection writes and reads: a row of a group, which it has in common with others."""

    name: str
    row: str
    group: int

    @classmethod
    def for_single_request(cls, request_id: str) -> Session:
        """Return the session of a request that has a row of its own."""
        return cls(request_id, request_id, group=0)


@dataclass(frozen=True, slots=True)
class ClientDisconnect:
    """A client closed its connection while a request of its was open."""

    request_id: str
    at_us: int


@dataclass(slots=True)
class ClientObservations:
    """What clients saw.

    `crossed`: requests that met the end of their connection unanswered, with their driver. `unusual`: those
    of no session, each with a row of its own. `conversations`: connections that are not judged yet.
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
        """A connection whose requests are judged when the block ends."""
        self.pending_connections += 1
        try:
            yield
        finally:
            self.pending_connections -= 1


class SoakRequests:
    """Makes requests of three classes, records them, and judges what comes back."""

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
        """`was_killed` excuses a driver; `deadline_ms` is what each request tells it."""
        self.observations = observations
        self.was_killed = was_killed
        self.bounded_read, self.session_read, self.write = classes
        self.clock = clock
        self.deadline_ms = deadline_ms
        self._groups = groups
        self._lag = lag
        self._sent_us: dict[str, int] = {}  # of requests that were recorded and have no answer yet
        self._record = record
        self._rng = rng

    def new_id(self) -> str:
        """Draw the id of a request."""
        return f"{self._rng.getrandbits(64):016x}"

    def new_session(self) -> Session:
        """Draw a session; it belongs to one connection."""
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
        """Return the message that asks for it; without a session it has a row of its own."""
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
        """Record that it is sent now."""
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
        """Record an answer; one that belongs to another request is a violation."""
        served = answer.startswith(b"T")
        now_us = self.clock.now_us()
        sent_us = self._sent_us.pop(request_id)
        self.add_awaited_answer(driver, request_id, sent_us, self.deadline_ms, answered=True)
        status = STATUS_OK if served else STATUS_UNKNOWN
        endpoint, ids = _parse_answer_row(answer) if served else ("", [])
        self._record(rec.ResponseReceived(now_us, request_id, 0, status, endpoint=endpoint, rows=ids))
        if served and request_class.write and request_id.encode() not in answer:
            self.observations.violations.append(
                f"the answer to {request_id} of {driver} is another request's"
            )

    def add_awaited_answer(
        self, driver: str, request_id: str, sent_us: int, deadline_ms: int, answered: bool
    ) -> None:
        """Note that a request was answered now, or that its client gives it up."""
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
        """Judge a request without an answer, whose connection `ended` or not."""
        if self.was_killed(driver, sent_us):
            now_us = self.clock.now_us()
            self._record(rec.ResponseReceived(now_us, request_id, 0, STATUS_UNKNOWN, local=True))
        elif ended:
            self.observations.unanswered_at_close[request_id] = driver
        else:
            self.observations.violations.append(f"{request_id} had no answer of {driver}, nor an end")


def _parse_answer_row(answer: bytes) -> tuple[str, list[str]]:
    """The member that answered, and the writes that it showed."""
    found = ANSWER_ROW.search(answer)
    if found is None:
        return "", []
    ids = found["ids"].decode()
    return found["member"].decode(), ids.split(",") if ids else []
