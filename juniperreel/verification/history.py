"""The records of one run, indexed for the checkers of the rules."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from juniperreel.verification.errors import IncompleteRecordingError
from juniperreel.verification.records import (
    AttemptAbandoned,
    AttemptFinished,
    AttemptReceived,
    Committed,
    EdgeDown,
    EdgeStalled,
    EdgeUp,
    EndpointListed,
    EndpointStarted,
    EndpointStopped,
    Limits,
    Promoted,
    Record,
    RequestClass,
    RequestSent,
    ResponseReceived,
    StatementReceived,
)

# Tolerance when an event on one socket is compared with its consequence on another: events that different
# processes record on different sockets cannot be ordered more precisely.
CROSS_SOCKET_TOLERANCE_US = 60_000

NEVER_US = 1 << 62


class ClientAttempt(NamedTuple):
    """Identifies an attempt of a client."""

    request_id: str
    number: int


class EdgeAttempt(NamedTuple):
    """Identifies an attempt of an edge at an endpoint."""

    edge_request_id: str
    number: int
    endpoint: str

    @staticmethod
    def of(record: AttemptReceived | AttemptFinished | AttemptAbandoned) -> EdgeAttempt:
        """The attempt that a record is about."""
        return EdgeAttempt(record.edge_request_id, record.attempt, record.endpoint)


class EdgeListing(NamedTuple):
    """Identifies the readiness updates about one endpoint that one edge received."""

    edge: str
    endpoint: str


class Outage(NamedTuple):
    """An interval in which an edge was down or suspended, in microseconds."""

    start: int
    end: int


@dataclass(slots=True)
class History:
    """The records of one run, indexed."""

    classes: dict[str, RequestClass] = field(default_factory=dict)
    limits: Limits | None = None
    requests: dict[ClientAttempt, RequestSent] = field(default_factory=dict)
    responses: dict[ClientAttempt, list[ResponseReceived]] = field(default_factory=lambda: defaultdict(list))
    client_attempts: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))  # by request_id
    attempts: dict[str, list[AttemptReceived]] = field(default_factory=lambda: defaultdict(list))  # likewise
    statements: list[StatementReceived] = field(default_factory=list)
    abandoned_at: dict[EdgeAttempt, int] = field(default_factory=dict)
    finished: dict[EdgeAttempt, AttemptFinished] = field(default_factory=dict)
    commits: dict[str, list[Committed]] = field(default_factory=lambda: defaultdict(list))  # by request_id
    promotions: dict[int, list[Promoted]] = field(default_factory=lambda: defaultdict(list))  # by group
    listings: dict[EdgeListing, list[EndpointListed]] = field(default_factory=lambda: defaultdict(list))
    starts: dict[str, list[EndpointStarted]] = field(default_factory=lambda: defaultdict(list))  # by endpoint
    stops: dict[str, list[EndpointStopped]] = field(default_factory=lambda: defaultdict(list))  # by endpoint
    outages: dict[str, list[Outage]] = field(default_factory=lambda: defaultdict(list))  # by edge
    end: int = 0

    @staticmethod
    def of(records: Iterable[Record]) -> History:
        """Index records. The records of each process must be in the order in which it wrote them."""
        history = History()
        for record in records:
            history.end = max(history.end, record.at)
            history._add_client_record(record)
            history._add_endpoint_record(record)
            history._add_edge_record(record)
        return history

    def require_complete(self) -> None:
        """Raises IncompleteRecordingError if the class of a request or the limits of attempts are missing."""
        for attempt, request in self.requests.items():
            if request.class_name not in self.classes:
                raise IncompleteRecordingError(f"class {request.class_name}", f"request {attempt.request_id}")
        if self.attempts and self.limits is None:
            raise IncompleteRecordingError("limits", "the check of attempts")

    def _add_client_record(self, record: Record) -> None:
        match record:
            case RequestClass():
                self.classes[record.name] = record
            case Limits():
                self.limits = record
            case RequestSent():
                self.requests[ClientAttempt(record.request_id, record.client_attempt)] = record
                self.client_attempts[record.request_id].append(record.client_attempt)
            case ResponseReceived():
                self.responses[ClientAttempt(record.request_id, record.client_attempt)].append(record)

    def _add_endpoint_record(self, record: Record) -> None:
        match record:
            case AttemptReceived():
                self.attempts[record.request_id].append(record)
            case AttemptAbandoned():
                self.abandoned_at[EdgeAttempt.of(record)] = record.at
            case StatementReceived():
                self.statements.append(record)
            case AttemptFinished():
                self.finished[EdgeAttempt.of(record)] = record
            case Committed():
                self.commits[record.request_id].append(record)
            case Promoted():
                self.promotions[record.group].append(record)
            case EndpointStarted():
                self.starts[record.endpoint].append(record)
            case EndpointStopped():
                self.stops[record.endpoint].append(record)

    def _add_edge_record(self, record: Record) -> None:
        match record:
            case EndpointListed():
                self.listings[EdgeListing(record.edge, record.endpoint)].append(record)
            case EdgeDown():
                self.outages[record.edge].append(Outage(record.at, NEVER_US))
            case EdgeUp():
                outages = self.outages[record.edge]
                if outages:
                    outages[-1] = Outage(outages[-1].start, record.at)
            case EdgeStalled():
                self.outages[record.edge].append(Outage(record.at, record.until))

    def edge_was_down(self, edge: str, start: int, end: int) -> bool:
        """Whether the edge was down or suspended at any time between `start` and `end`."""
        return any(
            outage.start <= end and outage.end + CROSS_SOCKET_TOLERANCE_US >= start
            for outage in self.outages[edge]
        )

    def survives(self, commit: Committed) -> bool:
        """Whether the commit is still in the group's log after all later failovers."""
        later_starts = [p.start for p in self.promotions[commit.group] if p.epoch > commit.epoch]
        return all(commit.position <= start for start in later_starts)

    def first_response(self, attempt: ClientAttempt) -> ResponseReceived | None:
        """The first response to a client attempt, or None."""
        responses = self.responses.get(attempt)
        return responses[0] if responses else None


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule, with the record that proves it."""

    rule: int
    text: str
    record: Record
