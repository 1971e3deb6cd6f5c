"""Rule 2: no duplicate effects, no concurrent attempts of an edge request, retries only as classes allow."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from juniperreel.verification.history import (
    CROSS_SOCKET_TOLERANCE_US,
    ClientAttempt,
    EdgeAttempt,
    History,
    Violation,
)
from juniperreel.verification.records import IDEMPOTENT, NON_IDEMPOTENT, AttemptReceived

RULE = 2
REJECTION_STATUSES = (8, 14)  # RESOURCE_EXHAUSTED and UNAVAILABLE
NOT_EXECUTED_OUTCOMES = {"NOT_PRIMARY", "BEHIND", "NOT_EXECUTED", "STATEMENT"}
UNLIMITED_ATTEMPTS = 1 << 30


def check_effects(history: History) -> list[Violation]:
    """Find duplicate effects, and attempts that could have caused them."""
    found = list(_repeated_effects(history))
    max_attempts = history.limits.max_attempts if history.limits else UNLIMITED_ATTEMPTS
    for request_id, received in history.attempts.items():
        for attempts in _by_edge_request(received):
            found.extend(_check_attempts(history, request_id, attempts, max_attempts))
        found.extend(_false_rejections(history, request_id, received))
    return found


def _repeated_effects(history: History) -> Iterator[Violation]:
    for request_id, commits in history.commits.items():
        surviving = [commit for commit in commits if history.survives(commit)]
        if request_id and len(surviving) > 1:
            yield Violation(RULE, f"{request_id} took effect {len(surviving)} times", surviving[1])


def _by_edge_request(received: list[AttemptReceived]) -> list[list[AttemptReceived]]:
    """The attempts of each edge request, ordered by time."""
    by_request: dict[str, list[AttemptReceived]] = defaultdict(list)
    for attempt in received:
        by_request[attempt.edge_request_id].append(attempt)
    return [sorted(attempts, key=lambda attempt: attempt.at) for attempts in by_request.values()]


def _check_attempts(
    history: History, request_id: str, attempts: list[AttemptReceived], max_attempts: int
) -> Iterator[Violation]:
    if len(attempts) > max_attempts:
        yield Violation(RULE, f"{request_id} had {len(attempts)} attempts", attempts[-1])
    for before, after in pairwise(attempts):
        if _overlap(history, before, after) and not _endpoint_stopped_between(history, before, after):
            yield Violation(RULE, f"{request_id}: two attempts were out at once", after)
    retry = _forbidden_retry(history, request_id, attempts)
    if retry is not None:
        yield retry


def _overlap(history: History, before: AttemptReceived, after: AttemptReceived) -> bool:
    key = EdgeAttempt.of(before)
    ends: list[int] = []
    if key in history.abandoned_at:
        ends.append(history.abandoned_at[key])
    finished = history.finished.get(key)
    if finished is not None:
        ends.append(finished.at)
    return not ends or min(ends) > after.at + CROSS_SOCKET_TOLERANCE_US


def _endpoint_stopped_between(history: History, before: AttemptReceived, after: AttemptReceived) -> bool:
    """Whether the endpoint of the first attempt stopped, in which case it recorded no end of the attempt."""
    latest = after.at + CROSS_SOCKET_TOLERANCE_US
    return any(before.at <= stop.at <= latest for stop in history.stops[before.endpoint])


def _forbidden_retry(history: History, request_id: str, attempts: list[AttemptReceived]) -> Violation | None:
    request_class = history.classes.get(attempts[0].class_name)
    if request_class is None or request_class.idempotency == IDEMPOTENT:
        return None
    possibly_executed: AttemptReceived | None = None
    for attempt in attempts:
        if possibly_executed is not None:
            if request_class.idempotency == NON_IDEMPOTENT:
                return Violation(RULE, f"{request_id} was sent again although it may have run", attempt)
            window_us = request_class.deduplication_window_us + CROSS_SOCKET_TOLERANCE_US
            if attempt.at > possibly_executed.at + window_us:
                return Violation(RULE, f"{request_id} was sent again after its key was forgotten", attempt)
        finished = history.finished.get(EdgeAttempt.of(attempt))
        not_executed = finished is not None and finished.outcome in NOT_EXECUTED_OUTCOMES
        if possibly_executed is None and not not_executed:
            possibly_executed = attempt
    return None


def _false_rejections(
    history: History, request_id: str, attempts: list[AttemptReceived]
) -> Iterator[Violation]:
    """Rejections of non-idempotent requests that took effect.

    A rejection tells the client that a retry is safe. For a class without idempotency keys it must therefore
    mean "not executed".
    """
    request_class = history.classes.get(attempts[0].class_name)
    if request_class is None or request_class.idempotency != NON_IDEMPOTENT:
        return
    for number in history.client_attempts[request_id]:
        client_attempt = ClientAttempt(request_id, number)
        request = history.requests[client_attempt]
        for response in history.responses.get(client_attempt, []):
            if response.status not in REJECTION_STATUSES or response.local or response.do_not_retry:
                continue
            commits = history.commits.get(request_id, [])
            if any(request.at <= commit.at <= response.at for commit in commits):
                yield Violation(RULE, f"{request_id} was refused although it took effect", response)
