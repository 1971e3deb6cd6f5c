"""One query to an endpoint and its reply: an attempt of a request, or a health check."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

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


class ExchangeOwner(Protocol):
    """What a query is for. Asked in this order before it is written, and told what becomes of it."""

    def may_send(self) -> bool:
        """Return whether the query still fits, now that a connection is there for it."""
        ...

    def build_query(self) -> bytes:
        """Return the text, which states the time that is left now."""
        ...

    def is_awaited(self) -> bool:
        """Return whether the reply is still awaited; asked last, as reading the clock may take a while."""
        ...

    def on_written(self) -> None:
        """The query was handed to the connection."""
        ...

    def on_done(self, result: ExchangeResult) -> None:
        """The exchange has ended; called exactly once."""
        ...


@dataclass(slots=True)
class Exchange:
    """A query on its way through a pool and a connection.

    A query that its owner refuses is not written. `sent`: the last byte has left, so that the endpoint may
    have executed it. `owner` is None once the exchange is finished: timers that outlive it must not keep a
    request's text in memory until they are due.
    """

    owner: ExchangeOwner | None
    connection: EndpointConnection | None = field(default=None)
    sent: bool = False

    @property
    def finished(self) -> bool:
        """Whether the result was reported."""
        return self.owner is None

    def may_send(self) -> bool:
        """Return whether the query still fits."""
        return self.owner is not None and self.owner.may_send()

    def finish(self, outcome: Outcome, reply: Reply | None = None) -> None:
        """Report the result; does nothing when one was reported before."""
        owner = self.owner
        if owner is not None:
            self.owner = None
            owner.on_done(ExchangeResult(outcome, reply))


def outcome_of(reply: Reply) -> Outcome:
    """Classify a complete reply by the operators' table of SQLSTATEs."""
    if reply.error is None:
        return Outcome.OK
    sqlstate = reply.error.get("C", "")
    if sqlstate in INELIGIBLE_SQLSTATES:
        return Outcome.INELIGIBLE
    return Outcome.REJECTED if sqlstate in REJECTED_SQLSTATES else Outcome.ERROR
