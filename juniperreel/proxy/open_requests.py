"""Open requests, their attempts, and the host events that the request driver processes."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from juniperreel.proxy.attempts import AttemptProgress, AttemptResponse, EndpointReport
from juniperreel.proxy.endpoint_list import ListedEndpoint
from juniperreel.proxy.positions import RequiredPosition
from juniperreel.proxy.requests import Answer, ClientRequest, Failed, Rejected, Served
from juniperreel.routing.types import ClientDisconnected, Consistency, Outcome, RequestClass, UpdateKind

# Outcomes that indicate an endpoint at its capacity limit.
CONGESTION_OUTCOMES = (Outcome.REJECTED, Outcome.TIMEOUT, Outcome.CANCELLED)


class OpenRequest:
    """A request from its arrival to the end of its last attempt; it gets exactly one answer."""

    __slots__ = (
        "answer",
        "answered",
        "attempt_count",
        "in_flight",
        "last_outcome",
        "request",
        "request_class",
        "routed_us",
        "served_us",
    )

    def __init__(self, request: ClientRequest, request_class: RequestClass) -> None:
        self.request = request
        self.request_class = request_class
        self.answer: Answer | None = None
        self.answered = trio.Event()
        self.attempt_count = 0
        self.in_flight: dict[int, Attempt] = {}
        self.routed_us = 0  # time of its event in a batch for the router
        self.served_us: int | None = None  # duration of the attempt that served it
        self.last_outcome: Outcome | None = None  # of the last attempt that did not serve it

    @property
    def id(self) -> str:
        """The request's id, unique across restarts of the edge."""
        return self.request.id

    @property
    def is_write(self) -> bool:
        """Whether only a primary may serve it."""
        return self.request_class.consistency is Consistency.WRITE

    def set_answer(self, answer: Answer) -> None:
        """Set the answer, and wake the task that waits for it."""
        self.answer = answer
        self.answered.set()

    def service_time_us(self) -> int | None:
        """Return the duration of the attempt that served it; None if it was not served."""
        return self.served_us if isinstance(self.answer, Served) else None

    def was_lost_to_congestion(self) -> bool:
        """Whether it was not served and its last attempt ended with an outcome that indicates congestion."""
        return isinstance(self.answer, Rejected | Failed) and self.last_outcome in CONGESTION_OUTCOMES

    def rejection_reason(self, now_us: int) -> str:
        """Return a reason for the router's rejection, for operators.

        The router gives no reason; it is inferred from the request's attempts and the time of routing.
        """
        if self.last_outcome is not None:
            return f"attempts failed, the last by {self.last_outcome.value}"
        if self.attempt_count:
            return "no answer came in time"
        if now_us == self.routed_us:
            return "shed: answers take too long, or no time is left"
        return "no member could take it in time: none is up, fresh enough or warm"


class Attempt:
    """An attempt in flight."""

    __slots__ = (
        "cancel_scope",
        "cancelled",
        "endpoint",
        "number",
        "open_request",
        "progress",
        "required",
        "started_us",
    )

    def __init__(
        self, open_request: OpenRequest, endpoint: str, required: RequiredPosition, now_us: int
    ) -> None:
        """Register as the request's next attempt in flight."""
        self.open_request = open_request
        self.number = open_request.attempt_count
        self.endpoint = endpoint
        self.required = required
        self.started_us = now_us
        self.progress = AttemptProgress()
        self.cancel_scope = trio.CancelScope()
        self.cancelled = False
        open_request.attempt_count += 1
        open_request.in_flight[self.number] = self

    def cancel(self) -> None:
        """Cancel the attempt; its end is still reported as an event."""
        self.cancelled = True
        self.cancel_scope.cancel()


@dataclass(slots=True)
class AttemptCompleted:
    """The end of an attempt: with a response, an error, or neither if the edge ended it.

    Each attempt ends exactly once.
    """

    attempt: Attempt
    outcome: Outcome
    ended_us: int
    response: AttemptResponse | None = None
    error: Exception | None = None

    @property
    def duration_us(self) -> int:
        """The time from the router's decision to the end of the attempt."""
        return self.ended_us - self.attempt.started_us

    def discard_response(self) -> None:
        """Release the rows and the transaction of the response, if any."""
        if self.response is not None:
            self.response.discard()


@dataclass(slots=True)
class HealthCheckCompleted:
    """The end of a health check; each one ends exactly once."""

    endpoint: str
    outcome: Outcome
    duration_us: int
    report: EndpointReport | None = None


@dataclass(slots=True)
class EndpointListUpdated:
    """A message from the source of the endpoint list, or a failed call to it."""

    kind: UpdateKind
    endpoints: list[ListedEndpoint]


HostEvent = OpenRequest | AttemptCompleted | HealthCheckCompleted | EndpointListUpdated | ClientDisconnected
