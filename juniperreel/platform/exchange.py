"""One query to an endpoint and its reply: an attempt of a request, or a health check."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from juniperreel.postgres.client import Reply
from juniperreel.routing.types import Outcome

if TYPE_CHECKING:
    from juniperreel.platform.endpoint_connection import EndpointConnection

INELIGIBLE_SQLSTATES = ("25006", "72000")  # a write, and this is no primary; too far behind
REJECTED_SQLSTATES = ("53300", "57P03")


@dataclass(slots=True)
class ExchangeResult:
    """How an exchange ended. `reply` is what arrived, where anything did."""

    outcome: Outcome
    reply: Reply | None


def _always() -> bool:
    return True


@dataclass(slots=True)
class Exchange:
    """A query on its way through a pool and a connection; `on_done` is called exactly once.

    `may_send` is asked when a connection is there for it, then `build_query` makes the text, which states the
    time that is left, and `is_awaited` is asked last, as reading the clock may have taken a while. A query
    that either of them refuses is not written. `sent`: the last byte has left, so that the endpoint may have
    executed it.
    """

    build_query: Callable[[], bytes]
    on_done: Callable[[ExchangeResult], None]
    may_send: Callable[[], bool] = field(default=_always)
    is_awaited: Callable[[], bool] = field(default=_always)
    connection: EndpointConnection | None = field(default=None)
    sent: bool = False
    finished: bool = False

    def finish(self, outcome: Outcome, reply: Reply | None = None) -> None:
        """Report the result; does nothing when one was reported before."""
        if not self.finished:
            self.finished = True
            self.on_done(ExchangeResult(outcome, reply))


def outcome_of(reply: Reply) -> Outcome:
    """Classify a complete reply by the operators' table of SQLSTATEs."""
    if reply.error is None:
        return Outcome.OK
    sqlstate = reply.error.get("C", "")
    if sqlstate in INELIGIBLE_SQLSTATES:
        return Outcome.INELIGIBLE
    return Outcome.REJECTED if sqlstate in REJECTED_SQLSTATES else Outcome.ERROR
