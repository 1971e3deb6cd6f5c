"""Rule 1: one final response before the client's deadline, and no attempt sent after it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from juniperreel.verification.history import CROSS_SOCKET_TOLERANCE_US, ClientAttempt, History, Violation
from juniperreel.verification.records import AttemptReceived, RequestSent, ResponseReceived

RULE = 1
CLIENT_TIMER_TOLERANCE_US = 15_000  # a client's timer may fire this long before it reads a timely response


def check_responses(history: History) -> list[Violation]:
    """Find requests without exactly one response in time, and attempts sent after the response."""
    found: list[Violation] = []
    for attempt, request in history.requests.items():
        found.extend(_check_request(history, request, history.responses.get(attempt, [])))
    for request_id, attempts in history.attempts.items():
        found.extend(_check_attempts(history, request_id, attempts))
    return found


def _check_request(
    history: History, request: RequestSent, responses: list[ResponseReceived]
) -> Iterator[Violation]:
    if not responses:
        deadline_passed = request.deadline <= history.end
        if deadline_passed and not history.edge_was_down(request.edge, request.at, request.deadline):
            yield Violation(RULE, f"{request.request_id} was never answered", request)
        return
    if len(responses) > 1:
        yield Violation(RULE, f"{request.request_id} has {len(responses)} answers", responses[1])
    first = responses[0]
    if history.edge_was_down(request.edge, request.at, first.at):
        return
    if first.local:
        yield Violation(RULE, f"{request.request_id} had no answer of its edge {request.edge}", first)
    elif first.at > request.deadline + CLIENT_TIMER_TOLERANCE_US:
        late_us = first.at - request.deadline
        yield Violation(RULE, f"{request.request_id} was answered {late_us} us late", first)


def _check_attempts(
    history: History, request_id: str, attempts: Iterable[AttemptReceived]
) -> Iterator[Violation]:
    if not request_id:
        return
    for attempt in attempts:
        numbers = history.client_attempts[request_id]
        if not any(_is_open(history, ClientAttempt(request_id, number), attempt) for number in numbers):
            text = f"{request_id} was sent to {attempt.endpoint} after its final answer"
            yield Violation(RULE, text, attempt)


def _is_open(history: History, client_attempt: ClientAttempt, attempt: AttemptReceived) -> bool:
    """Whether the client was still waiting for a response when the attempt arrived at an endpoint."""
    request = history.requests[client_attempt]
    if request.at > attempt.at:
        return False
    response = history.first_response(client_attempt)
    if response is None or response.local or attempt.at <= response.at + CROSS_SOCKET_TOLERANCE_US:
        return True
    return history.edge_was_down(attempt.edge, request.at, attempt.at)
