"""Checks at run time that the driver complies with the platform's rules, and counts violations.

It uses only observed events: client requests, queries written to endpoints, and discovery updates. It shares
no state with the router, so that it cannot repeat the router's mistakes. It has no effect on requests:
violations are logged with their ids and counted.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from juniperreel.platform.log import Log
from juniperreel.routing.types import Idempotency, Outcome, RequestClass, Settings

STATED_TIME_SLACK_US = (
    150_000  # by which the timeout sent to an endpoint may exceed the client's remaining time
)
LATE_ANSWER_US = 550_000  # after the deadline; a request answered later counts as dropped
TIME_SLACK_US = 50_000  # tolerance added to every time limit
MAX_LOGGED = 20  # violations per rule; further ones are only counted

NEVER_EXECUTED = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.INELIGIBLE)


class Rule(Enum):
    """The rules that are checked."""

    DROPPED = "dropped"  # no final answer in time, or an attempt for a request that nobody waits for
    DUPLICATE = "duplicate"  # possible duplicate execution, or two concurrent attempts without hedging
    DRAINING = "draining"  # query to a draining or removed endpoint after the drain grace
    DEADLINE = "deadline"  # timeout sent to an endpoint exceeds the client's remaining time


@dataclass(slots=True)
class AttemptRecord:
    """One attempt that was written. `outcome` is None while it is in flight."""

    endpoint: str
    written_us: int
    outcome: Outcome | None = None


@dataclass(slots=True)
class RequestRecord:
    """The attempts written for one request, by attempt number."""

    request_class: RequestClass
    attempts: dict[int, AttemptRecord] = field(default_factory=dict)

    def may_have_executed(self) -> list[AttemptRecord]:
        """Return the attempts that may have been executed or may still be."""
        return [attempt for attempt in self.attempts.values() if attempt.outcome not in NEVER_EXECUTED]

    def in_flight(self) -> list[AttemptRecord]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.attempts.values() if attempt.outcome is None]


class RuleMonitor:
    """Counts violations by rule. The driver reports each of its actions as it happens."""

    def __init__(self, settings: Settings, log: Log) -> None:
        """Start without violations."""
        self._settings = settings
        self._log = log
        self.violations: Counter[Rule] = Counter()

    def on_query_written(
        self,
        request_id: str,
        number: int,
        endpoint: str,
        record: RequestRecord,
        *,
        now_us: int,
        left_us: int,
        stated_us: int,
        awaited: bool,
        withdrawn_since_us: int | None,
    ) -> None:
        """Check an attempt that is being written.

        `left_us` is the client's remaining time, `stated_us` the timeout sent to the endpoint. `awaited`: the
        client still waits for the answer. `withdrawn_since_us`: when the driver learned that the endpoint is
        draining or gone, or None.
        """
        if not awaited:
            self._report(
                Rule.DROPPED, "attempt written without a waiting client", request_id, endpoint=endpoint
            )
        if stated_us > left_us + STATED_TIME_SLACK_US:
            self._report(
                Rule.DEADLINE,
                "stated timeout exceeds remaining time",
                request_id,
                over_us=stated_us - left_us,
            )
        grace_us = self._settings.drain_grace_us + TIME_SLACK_US
        if withdrawn_since_us is not None and now_us - withdrawn_since_us > grace_us:
            late_us = now_us - withdrawn_since_us
            self._report(
                Rule.DRAINING,
                "attempt written after the drain grace",
                request_id,
                endpoint=endpoint,
                late_us=late_us,
            )
        self._check_repeat(request_id, endpoint, record, now_us)
        record.attempts[number] = AttemptRecord(endpoint, now_us)

    def _check_repeat(self, request_id: str, endpoint: str, record: RequestRecord, now_us: int) -> None:
        if record.in_flight() and not self._settings.hedging:
            self._report(Rule.DUPLICATE, "concurrent attempts without hedging", request_id, endpoint=endpoint)
        if len(record.attempts) >= self._settings.max_attempts:
            self._report(Rule.DUPLICATE, "too many attempts", request_id, attempts=len(record.attempts) + 1)
        executed = record.may_have_executed()
        if not executed or record.request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        if record.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            self._report(
                Rule.DUPLICATE, "retried although it may have been executed", request_id, endpoint=endpoint
            )
            return
        age_us = now_us - min(attempt.written_us for attempt in executed)
        if age_us > record.request_class.deduplication_window_us + TIME_SLACK_US:
            self._report(Rule.DUPLICATE, "retried after its deduplication window", request_id, age_us=age_us)

    def on_attempt_ended(self, record: RequestRecord, number: int, outcome: Outcome) -> None:
        """Record the outcome of an attempt; those that were never written are ignored."""
        attempt = record.attempts.get(number)
        if attempt is not None:
            attempt.outcome = outcome

    def on_answered(self, request_id: str, now_us: int, deadline_us: int) -> None:
        """Check the time of a request's final answer."""
        if now_us > deadline_us + LATE_ANSWER_US:
            self._report(Rule.DROPPED, "answered too late", request_id, late_us=now_us - deadline_us)

    def on_client_closed(self, unanswered: list[str], reason: str) -> None:
        """Report the unanswered requests of a client connection that the driver closes."""
        for request_id in unanswered:
            self._report(Rule.DROPPED, "its connection was closed unanswered", request_id, reason=reason)

    def on_answers_dropped(self, unsent_bytes: int, reason: str) -> None:
        """Report a client connection that the driver closes before all of its answers are sent."""
        self._report(Rule.DROPPED, "answers not sent", "", reason=reason, unsent_bytes=unsent_bytes)

    def _report(self, rule: Rule, text: str, request_id: str, **facts: str | int) -> None:
        self.violations[rule] += 1
        if self.violations[rule] <= MAX_LOGGED:
            self._log.error("rule violated", rule=rule.value, text=text, request=request_id, facts=facts)

    def summary(self) -> dict[str, int]:
        """Return the violations by rule, for the log."""
        return {rule.value: self.violations[rule] for rule in Rule}
