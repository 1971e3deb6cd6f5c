"""The one table from the driver's answers to gRPC statuses; docs/operate/edge.md shows it to operators.

| answer | status | details | pushback |
|---|---|---|---|
| refused by the module | UNAVAILABLE | RetryInfo | the wait |
| refused by a limit of the edge | RESOURCE_EXHAUSTED | RetryInfo | the wait |
| failed | UNKNOWN | ErrorInfo EFFECT_UNKNOWN | -1 |
| deadline | DEADLINE_EXCEEDED | ErrorInfo DEADLINE | -1 |
| bad input | INVALID_ARGUMENT | BadRequest with the field | -1 |
"""

from __future__ import annotations

from functools import lru_cache

from juniperreel.proxy import Answer, Failed, Rejected, Served, StatementFailed
from juniperreel.rpc.server import refusal_block
from juniperreel.rpc.status import PUSHBACK, Code, RpcError, error_info, field_violation, retry_info

DOMAIN = "juniperreel"
NEVER = ((PUSHBACK, "-1"),)


def refused(answer: Rejected) -> RpcError:
    code = Code.RESOURCE_EXHAUSTED if answer.local else Code.UNAVAILABLE
    if not answer.retry_after_us:
        return RpcError(code, answer.reason)
    wait = [(PUSHBACK, str(-(-answer.retry_after_us // 1000)))]
    return RpcError(code, answer.reason, [retry_info(answer.retry_after_us)], wait)


@lru_cache(maxsize=512)
def prepared(reason: str, wait_ms: int) -> bytes:
    return refusal_block(refused(Rejected(reason, wait_ms * 1000, local=True)))


def refused_again(answer: Rejected) -> bytes:
    """As `refused`, encoded once for many answers: the wait is rounded down to a 32nd of its size."""
    wait_ms = -(-answer.retry_after_us // 1000)
    step = max(1, 1 << max(wait_ms.bit_length() - 5, 0))
    return prepared(answer.reason, wait_ms // step * step)


def failed(answer: Failed) -> RpcError:
    details = [error_info("EFFECT_UNKNOWN", DOMAIN, attempts=str(answer.attempts))]
    return RpcError(Code.UNKNOWN, answer.reason, details, NEVER)


def spurned(answer: StatementFailed) -> RpcError:
    return RpcError(Code(answer.status_code), answer.message, answer.details, NEVER)


@lru_cache(maxsize=1)
def deadline() -> RpcError:
    text = "no answer came before the deadline; a write may have taken effect"
    return RpcError(Code.DEADLINE_EXCEEDED, text, [error_info("DEADLINE", DOMAIN)], NEVER)


def invalid(field: str, reason: str) -> RpcError:
    return RpcError(Code.INVALID_ARGUMENT, f"{field}: {reason}", [field_violation(field, reason)], NEVER)


def described(answer: Answer | None) -> tuple[str, str]:
    """Outcome and reason, for the metrics."""
    match answer:
        case Served():
            return "served", ""
        case StatementFailed():
            return "served", "statement at fault"
        case Rejected():
            return "refused", answer.reason
        case Failed():
            return "failed", answer.reason
        case None:
            return "failed", "deadline"
