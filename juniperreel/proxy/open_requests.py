"""Requests between their arrival and the end of their last attempt, and the events that concern them."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from juniperreel.proxy.attempts import AttemptResponse, EndpointReport
from juniperreel.proxy.endpoint_list import ListedEndpoint
from juniperreel.proxy.positions import RequiredPosition
from juniperreel.proxy.requests import Answer, ClientRequest, Failed, Rejected, Served
from juniperreel.routing.types import ClientDisconnected, Consistency, Outcome, RequestClass, UpdateKind

# Outcomes that suggest an endpoint at the limit of its capacity.
CONGESTION_OUTCOMES = (Outcome.REJECTED, Outcome.TIMEOUT, Outcome.CANCELLED)


class OpenRequest:
    """A request in flight, with its attempts. Its first answer is the final one."""

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
        self.routed_us = 0  # when it was handed to the router
        self.served_us: int | None = None  # duration of the attempt that served it
        self.last_outcome: Outcome | None = None  # of its last attempt that ended without serving it

    @property
    def id(self) -> str:
        """The request's id, unique among all that this edge has ever taken."""
        return self.request.id

    @property
    def is_write(self) -> bool:
        """Whether only a primary may serve it."""
        return self.request_class.consistency is Consistency.WRITE

    def set_answer(self, answer: Answer) -> None:
        """Hand the answer to whoever waits for it."""
        self.answer = answer
        self.answered.set()

    def service_time_us(self) -> int | None:
        """Duration of the attempt that served it; None where it was answered otherwise."""
        return self.served_us if isinstance(self.answer, Served) else None

    def was_lost_to_congestion(self) -> bool:
        """Whether it ended unserved, its last attempt at an endpoint that was at its limit."""
        return isinstance(self.answer, Rejected | Failed) and self.last_outcome in CONGESTION_OUTCOMES

    def rejection_reason(self, now_us: int) -> str:
        """Why the router rejected it, for operators.

        The router gives no reason; what the driver saw of the request tells.
        """
        if self.last_outcome is not None:
            return f"attempts failed, the last by {self.last_outcome.value}"
        if self.attempt_count:
            return "no answer came in time"
        if now_us == self.routed_us:
            return "shed: answers take too long, or no time is left"
        return "no member could take it in time: none is up, fresh enough or warm"


class Attempt:
    """One attempt in flight. `sent` is set from when the endpoint may have seen it."""

    __slots__ = (
        "cancel_scope",
        "cancelled",
        "endpoint",
        "number",
        "open_request",
        "required",
        "sent",
        "started_us",
    )

    def __init__(
        self, open_request: OpenRequest, endpoint: str, required: RequiredPosition, now_us: int
    ) -> None:
        """Add the request's next attempt to those in flight."""
        self.open_request = open_request
        self.number = open_request.attempt_count
        self.endpoint = endpoint
        self.required = required
        self.started_us = now_us
        self.sent = trio.Event()
        self.cancel_scope = trio.CancelScope()
        self.cancelled = False
        open_request.attempt_count += 1
        open_request.in_flight[self.number] = self

    def cancel(self) -> None:
        """Cancel it; its end is still reported."""
        self.cancelled = True
        self.cancel_scope.cancel()


@dataclass(slots=True)
class AttemptCompleted:
    """The one end of an attempt: with a response, an error, or neither where this side ended it."""

    attempt: Attempt
    outcome: Outcome
    ended_us: int
    response: AttemptResponse | None = None
    error: Exception | None = None

    @property
    def duration_us(self) -> int:
        """From the router's decision to the end."""
        return self.ended_us - self.attempt.started_us

    def discard_response(self) -> None:
        """Release what the response, if there is one, holds of its endpoint."""
        if self.response is not None:
            self.response.discard()


@dataclass(slots=True)
class HealthCheckCompleted:
    """The one end of a health check."""

    endpoint: str
    outcome: Outcome
    duration_us: int
    report: EndpointReport | None = None


@dataclass(slots=True)
class EndpointListUpdated:
    """A message of the endpoint list's source, or a failed call to it."""

    kind: UpdateKind
    endpoints: list[ListedEndpoint]


HostEvent = OpenRequest | AttemptCompleted | HealthCheckCompleted | EndpointListUpdated | ClientDisconnected
