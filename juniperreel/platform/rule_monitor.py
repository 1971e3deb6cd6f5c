"""Checks at run time that what the driver does keeps the operators' rules, and counts where it does not.

It judges by facts alone: what clients asked, what was written to whom and when, and what discovery told. It
shares no state with the router, whose decisions it would otherwise repeat, and it changes nothing: a
violation is logged with its ids and counted.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from juniperreel.platform.log import Log
from juniperreel.routing.types import Idempotency, Outcome, RequestClass, Settings

STATED_TIME_SLACK_US = (
    150_000  # by which the time that an endpoint is told may exceed what the client has left
)
LATE_ANSWER_US = 550_000  # after the deadline; an answer as late as that is a lost request
TIME_SLACK_US = 50_000  # every time limit on sockets is longer by this
MAX_LOGGED = 20  # violations of one rule; the others are counted only

NEVER_EXECUTED = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.INELIGIBLE)


class Rule(Enum):
    """What can be violated, in the field's terms."""

    DROPPED = "dropped"  # no final answer in time, or an attempt when none is owed any more
    DUPLICATE = "duplicate"  # an effect that may happen twice, or two attempts out at once
    DRAINING = "draining"  # a query to an endpoint that drains or is gone, after the grace
    DEADLINE = "deadline"  # an endpoint that is told more time than its client has left


@dataclass(slots=True)
class AttemptRecord:
    """One attempt that was written. `outcome` is None while it is out."""

    endpoint: str
    written_us: int
    outcome: Outcome | None = None


@dataclass(slots=True)
class RequestRecord:
    """What was written for one request, by the number of the attempt."""

    request_class: RequestClass
    attempts: dict[int, AttemptRecord] = field(default_factory=dict)

    def may_have_executed(self) -> list[AttemptRecord]:
        """The attempts that may have been executed, or may be yet."""
        return [attempt for attempt in self.attempts.values() if attempt.outcome not in NEVER_EXECUTED]

    def out(self) -> list[AttemptRecord]:
        """The attempts that have not ended."""
        return [attempt for attempt in self.attempts.values() if attempt.outcome is None]


class RuleMonitor:
    """Counts violations by rule. The driver tells it of everything that it does, as it does it."""

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
        """An attempt is written. `left_us`: what its client has left; `stated_us`: what the endpoint is told.

        `awaited`: somebody still waits for the answer. `withdrawn_since_us`: when the driver learned that the
        endpoint drains or is gone; None where neither is so.
        """
        if not awaited:
            self._report(Rule.DROPPED, "written although nobody waits", request_id, endpoint=endpoint)
        if stated_us > left_us + STATED_TIME_SLACK_US:
            self._report(
                Rule.DEADLINE, "told more time than is left", request_id, over_us=stated_us - left_us
            )
        grace_us = self._settings.drain_grace_us + TIME_SLACK_US
        if withdrawn_since_us is not None and now_us - withdrawn_since_us > grace_us:
            late_us = now_us - withdrawn_since_us
            self._report(
                Rule.DRAINING, "written after the grace", request_id, endpoint=endpoint, late_us=late_us
            )
        self._check_repeat(request_id, endpoint, record, now_us)
        record.attempts[number] = AttemptRecord(endpoint, now_us)

    def _check_repeat(self, request_id: str, endpoint: str, record: RequestRecord, now_us: int) -> None:
        if record.out() and not self._settings.hedging:
            self._report(Rule.DUPLICATE, "two attempts are out at once", request_id, endpoint=endpoint)
        if len(record.attempts) >= self._settings.max_attempts:
            self._report(Rule.DUPLICATE, "too many attempts", request_id, attempts=len(record.attempts) + 1)
        executed = record.may_have_executed()
        if not executed or record.request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        if record.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            self._report(Rule.DUPLICATE, "repeated although it may have run", request_id, endpoint=endpoint)
            return
        age_us = now_us - min(attempt.written_us for attempt in executed)
        if age_us > record.request_class.deduplication_window_us + TIME_SLACK_US:
            self._report(Rule.DUPLICATE, "repeated after its key was forgotten", request_id, age_us=age_us)

    def on_attempt_ended(self, record: RequestRecord, number: int, outcome: Outcome) -> None:
        """An attempt has ended; one that was never written is no concern of the rules."""
        attempt = record.attempts.get(number)
        if attempt is not None:
            attempt.outcome = outcome

    def on_answered(self, request_id: str, now_us: int, deadline_us: int) -> None:
        """A request has its final answer."""
        if now_us > deadline_us + LATE_ANSWER_US:
            self._report(Rule.DROPPED, "answered too late", request_id, late_us=now_us - deadline_us)

    def on_client_closed(self, unanswered: list[str], reason: str) -> None:
        """The driver itself closes a client's connection, with these requests unanswered."""
        for request_id in unanswered:
            self._report(Rule.DROPPED, "its connection was closed unanswered", request_id, reason=reason)

    def on_answers_dropped(self, unsent_bytes: int, reason: str) -> None:
        """The driver itself ends a client's connection before the last byte of its answers has left."""
        self._report(Rule.DROPPED, "answers had not left", "", reason=reason, unsent_bytes=unsent_bytes)

    def _report(self, rule: Rule, text: str, request_id: str, **facts: str | int) -> None:
        self.violations[rule] += 1
        if self.violations[rule] <= MAX_LOGGED:
            self._log.error("rule violated", rule=rule.value, text=text, request=request_id, facts=facts)

    def summary(self) -> dict[str, int]:
        """The violations by rule, for the log."""
        return {rule.value: self.violations[rule] for rule in Rule}
