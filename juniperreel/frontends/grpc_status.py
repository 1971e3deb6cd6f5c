"""Maps the proxy's answers to gRPC statuses; docs/operate/edge.md has the same table for operators.

| answer | status | details | pushback |
|---|---|---|---|
| rejected by the router | UNAVAILABLE | RetryInfo | the retry-after |
| rejected by a limit of the edge | RESOURCE_EXHAUSTED | RetryInfo | the retry-after |
| failed | UNKNOWN | ErrorInfo EFFECT_UNKNOWN | -1 |
| deadline | DEADLINE_EXCEEDED | ErrorInfo DEADLINE | -1 |
| bad input | INVALID_ARGUMENT | BadRequest with the field | -1 |
"""

from __future__ import annotations

from functools import lru_cache

from juniperreel.proxy import Failed, Rejected, StatementFailed
from juniperreel.rpc.call import encode_rejection
from juniperreel.rpc.status import PUSHBACK, Code, RpcError, error_info, field_violation, retry_info

DOMAIN = "juniperreel"
DO_NOT_RETRY = ((PUSHBACK, "-1"),)
RETRY_AFTER_BITS = 5  # significant bits of a retry-after in a cached rejection


def rejection_status(answer: Rejected) -> RpcError:
    """The status of a rejected request, with its retry-after where the answer has one."""
    code = Code.RESOURCE_EXHAUSTED if answer.local else Code.UNAVAILABLE
    if not answer.retry_after_us:
        return RpcError(code, answer.reason)
    pushback = [(PUSHBACK, str(_milliseconds_rounded_up(answer.retry_after_us)))]
    return RpcError(code, answer.reason, [retry_info(answer.retry_after_us)], pushback)


def rejection_block(answer: Rejected) -> bytes:
    """Return the status of `rejection_status` as encoded headers, which are cached.

    The retry-after is rounded down to its five most significant bits, so that a flood of rejections has few
    distinct values and hits the cache.
    """
    retry_after_ms = _milliseconds_rounded_up(answer.retry_after_us)
    step = max(1, 1 << max(retry_after_ms.bit_length() - RETRY_AFTER_BITS, 0))
    return _encoded_rejection(answer.reason, retry_after_ms // step * step)


@lru_cache(maxsize=512)
def _encoded_rejection(reason: str, retry_after_ms: int) -> bytes:
    return encode_rejection(rejection_status(Rejected(reason, retry_after_ms * 1000, local=True)))


def _milliseconds_rounded_up(duration_us: int) -> int:
    return -(-duration_us // 1000)


def failure_status(answer: Failed) -> RpcError:
    """The status of a request whose effect is unknown."""
    details = [error_info("EFFECT_UNKNOWN", DOMAIN, attempts=str(answer.attempts))]
    return RpcError(Code.UNKNOWN, answer.reason, details, DO_NOT_RETRY)


def statement_error_status(answer: StatementFailed) -> RpcError:
    """The status with which an endpoint rejected the statement itself."""
    return RpcError(Code(answer.status_code), answer.message, answer.details, DO_NOT_RETRY)


@lru_cache(maxsize=1)
def deadline_status() -> RpcError:
    """The status of a request without an answer at its deadline."""
    text = "no answer came before the deadline; a write may have taken effect"
    return RpcError(Code.DEADLINE_EXCEEDED, text, [error_info("DEADLINE", DOMAIN)], DO_NOT_RETRY)


def invalid_argument(field: str, reason: str) -> RpcError:
    """The status of a malformed request, naming its first bad field."""
    return RpcError(
        Code.INVALID_ARGUMENT, f"{field}: {reason}", [field_violation(field, reason)], DO_NOT_RETRY
    )
