"""Tests that only attempts that were certainly not executed get an outcome that is resent freely."""

from __future__ import annotations

import pytest

from juniperreel.net import ConnectRefusedError, ConnectTimedOutError
from juniperreel.proxy.outcomes import outcome_of_error, outcome_of_unfinished
from juniperreel.routing.types import Outcome
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError
from juniperreel.rpc.status import Code, RpcError, error_info


def rejection(reason: str) -> RpcError:
    return RpcError(Code.UNAVAILABLE, "", [error_info(reason, "member.juniperreel")])


@pytest.mark.parametrize(
    "error,outcome",
    [
        (ConnectRefusedError(), Outcome.UNREACHABLE),
        (ConnectTimedOutError(), Outcome.UNREACHABLE),
        (CallUnprocessedError(), Outcome.NOT_SENT),
        (CallInterruptedError(), Outcome.RESET),
        (rejection("NOT_PRIMARY"), Outcome.INELIGIBLE),
        (rejection("BEHIND"), Outcome.INELIGIBLE),
        (rejection("NOT_EXECUTED"), Outcome.REJECTED),
        (rejection("ANYTHING"), Outcome.ERROR),
        (RpcError(Code.UNAVAILABLE), Outcome.ERROR),
        (RpcError(Code.RESOURCE_EXHAUSTED), Outcome.ERROR),
        (RpcError(Code.DEADLINE_EXCEEDED), Outcome.TIMEOUT),
        (ValueError(), Outcome.ERROR),
    ],
)
def test_error_of_an_attempt_has_the_outcome_that_is_certain(error: Exception, outcome: Outcome) -> None:
    assert outcome_of_error(error) is outcome


@pytest.mark.parametrize(
    "sent,cancelled,outcome",
    [
        (True, True, Outcome.CANCELLED),
        (True, False, Outcome.TIMEOUT),
        (False, True, Outcome.NOT_SENT),
        (False, False, Outcome.UNREACHABLE),
    ],
)
def test_attempt_that_this_side_ended_has_the_outcome_that_is_certain(
    sent: bool, cancelled: bool, outcome: Outcome
) -> None:
    assert outcome_of_unfinished(sent, cancelled) is outcome


@pytest.mark.parametrize("cancelled", [True, False])
def test_attempt_that_ends_as_it_waits_for_a_pooled_connection_was_not_sent(cancelled: bool) -> None:
    assert outcome_of_unfinished(False, cancelled, waits_for_lease=True) is Outcome.NOT_SENT
