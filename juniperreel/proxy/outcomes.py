"""How an attempt or a probe ended, in the module's words. Free of I/O and of judgement.

Only what certainly left the member untouched may come out as REJECTED, UNREACHABLE, NOT_SENT or MISS: the
module resends those freely (rule 2). Whatever is in doubt may have run.
"""

from __future__ import annotations

from juniperreel.net import ConnectError
from juniperreel.proxy.jobs import Fault
from juniperreel.routing.types import (
    Outcome,
)
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError
from juniperreel.rpc.status import Code, RpcError

DOMAIN = "member.juniperreel"
UNTOUCHED = {
    "NOT_PRIMARY": Outcome.INELIGIBLE,
    "BEHIND": Outcome.INELIGIBLE,
    "NOT_EXECUTED": Outcome.REJECTED,
}
STATEMENT = "STATEMENT"


def of_error(error: Exception) -> Outcome:
    """The outcome of an attempt that ended with this exception of `rpc`, `net` or a member link."""
    if isinstance(error, Fault):
        return error.outcome
    if isinstance(error, ConnectError):
        return Outcome.UNREACHABLE
    if isinstance(error, CallUnprocessedError):
        return Outcome.NOT_SENT
    if isinstance(error, CallInterruptedError):
        return Outcome.RESET
    if isinstance(error, RpcError):
        reason = error.reason(DOMAIN)
        if reason in UNTOUCHED:
            return UNTOUCHED[reason]
        if error.code is Code.DEADLINE_EXCEEDED:
            return Outcome.TIMEOUT
        return Outcome.ERROR
    return Outcome.ERROR


def is_statement_fault(error: Exception) -> bool:
    if isinstance(error, Fault):
        return error.outcome is Outcome.OK
    return isinstance(error, RpcError) and error.reason(DOMAIN) == STATEMENT


def unfinished(sent: bool, withdrawn: bool) -> Outcome:
    """Of an attempt that this side ended: at its time-out, or withdrawn by the module."""
    if withdrawn:
        return Outcome.CANCELLED if sent else Outcome.NOT_SENT
    return Outcome.TIMEOUT if sent else Outcome.UNREACHABLE
