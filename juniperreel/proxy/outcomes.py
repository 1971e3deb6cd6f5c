"""Maps the end of an attempt or a health check to an `Outcome`. Performs no I/O.

REJECTED, UNREACHABLE, NOT_SENT and INELIGIBLE are reserved for attempts that were certainly not executed,
since the router resends those freely (rule 2). All other outcomes mean that the attempt may have been
executed.
"""

from __future__ import annotations

from juniperreel.net import ConnectError
from juniperreel.proxy.errors import EndpointError
from juniperreel.routing.types import Outcome
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError
from juniperreel.rpc.status import Code, RpcError

ERROR_DOMAIN = "member.juniperreel"
NOT_EXECUTED_REASONS = {
    "NOT_PRIMARY": Outcome.INELIGIBLE,
    "BEHIND": Outcome.INELIGIBLE,
    "NOT_EXECUTED": Outcome.REJECTED,
}
STATEMENT_REASON = "STATEMENT"
ATTEMPT_ERRORS = (
    ConnectError,
    CallUnprocessedError,
    CallInterruptedError,
    RpcError,
    EndpointError,
)  # raised by endpoint connections


def outcome_of_error(error: Exception) -> Outcome:
    """Return the outcome of an attempt that raised this exception of `rpc`, `net` or this package."""
    match error:
        case EndpointError():
            return error.outcome
        case ConnectError():
            return Outcome.UNREACHABLE
        case CallUnprocessedError():
            return Outcome.NOT_SENT
        case CallInterruptedError():
            return Outcome.RESET
        case RpcError():
            return _outcome_of_status(error)
        case _:
            return Outcome.ERROR


def _outcome_of_status(error: RpcError) -> Outcome:
    reason = error.reason(ERROR_DOMAIN)
    if reason in NOT_EXECUTED_REASONS:
        return NOT_EXECUTED_REASONS[reason]
    return Outcome.TIMEOUT if error.code is Code.DEADLINE_EXCEEDED else Outcome.ERROR


def is_statement_error(error: Exception) -> bool:
    """Whether the endpoint is healthy and reported an error in the statement itself."""
    if isinstance(error, EndpointError):
        return error.outcome is Outcome.OK
    return isinstance(error, RpcError) and error.reason(ERROR_DOMAIN) == STATEMENT_REASON


def outcome_of_unfinished(sent: bool, cancelled: bool, waits_for_lease: bool = False) -> Outcome:
    """Return the outcome of an attempt that the edge ended: timed out, or cancelled by the router.

    A wait for a pooled connection that others use says nothing about the endpoint. If it hangs, the attempts
    that use its connections report it.
    """
    if cancelled:
        return Outcome.CANCELLED if sent else Outcome.NOT_SENT
    if sent:
        return Outcome.TIMEOUT
    return Outcome.NOT_SENT if waits_for_lease else Outcome.UNREACHABLE
