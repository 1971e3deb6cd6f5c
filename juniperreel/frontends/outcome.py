"""Outcomes of requests as the request metrics count them, for all client protocols."""

from __future__ import annotations

from typing import NamedTuple

from juniperreel.net.clock import US
from juniperreel.proxy import Answer, Failed, Rejected, Served, StatementFailed
from juniperreel.telemetry.metrics import Metrics


class RequestOutcome(NamedTuple):
    """Label values of the request metrics; `reason` is empty for a request that was served."""

    outcome: str
    reason: str


def outcome_of(answer: Answer | None) -> RequestOutcome:
    """Classify the proxy's answer; None stands for a request whose deadline passed."""
    match answer:
        case Served():
            return RequestOutcome("served", "")
        case StatementFailed():
            return RequestOutcome("served", "statement at fault")
        case Rejected():
            return RequestOutcome("refused", answer.reason)
        case Failed():
            return RequestOutcome("failed", answer.reason)
        case None:
            return RequestOutcome("failed", "deadline")


def record_request(metrics: Metrics, class_name: str, answer: Answer | None, duration_us: int) -> None:
    """Count a finished request and record its duration."""
    outcome, reason = outcome_of(answer)
    metrics.request(class_name, outcome, reason).inc()
    metrics.request_duration(class_name, outcome).observe(duration_us / US)
