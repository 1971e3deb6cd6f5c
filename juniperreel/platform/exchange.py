"""One query to an endpoint and its reply: an attempt of a request, or a health check."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from juniperreel.platform.timer_queue import Timer
from juniperreel.postgres.client import Reply
from juniperreel.routing.types import Outcome

if TYPE_CHECKING:
    from juniperreel.platform.endpoint_connection import EndpointConnection

INELIGIBLE_SQLSTATES = ("25006", "72000")  # write on a replica; replica too far behind
REJECTED_SQLSTATES = ("53300", "57P03")


@dataclass(slots=True)
class ExchangeResult:
    """How an exchange ended. `reply` is the reply received, possibly partial, or None."""

    outcome: Outcome
    reply: Reply | None


class ExchangeOwner(Protocol):
    """The initiator of a query. The methods are called in this order."""

    def may_send(self) -> bool:
        """Return whether the query is still valid, now that a connection is available."""
        ...

    def build_query(self) -> bytes:
        """Return the query text, which contains the time remaining now."""
        ...

    def is_awaited(self) -> bool:
        """Return whether the reply is still awaited; checked last, as reading the clock may be delayed."""
        ...

    def on_written(self) -> None:
        """Handle that the query was passed to the connection."""
        ...

    def on_done(self, result: ExchangeResult) -> None:
        """Handle the end of the exchange; called exactly once."""
        ...


@dataclass(slots=True)
class Exchange:
    """A query on its way through a pool and a connection.

    A query that its owner refuses is not written. `sent`: the last byte has been sent, so the endpoint may
    have executed it. When the exchange is finished, `timeout` is cancelled, and `owner` and `connection` are
    None from then on.
    """

    owner: ExchangeOwner | None
    connection: EndpointConnection | None = field(default=None)
    sent: bool = False
    timeout: Timer | None = field(default=None)

    @property
    def finished(self) -> bool:
        """Whether the result was reported."""
        return self.owner is None

    def may_send(self) -> bool:
        """Return whether the query is still valid."""
        return self.owner is not None and self.owner.may_send()

    def finish(self, outcome: Outcome, reply: Reply | None = None) -> None:
        """Report the result; only the first call has an effect."""
        owner = self.owner
        if owner is not None:
            self.owner = None
            self.connection = None
            if self.timeout is not None:
                self.timeout.cancel()
                self.timeout = None
            owner.on_done(ExchangeResult(outcome, reply))


def outcome_of(reply: Reply) -> Outcome:
    """Classify a complete reply by the platform's table of SQLSTATEs."""
    if reply.error is None:
        return Outcome.OK
    sqlstate = reply.error.get("C", "")
    if sqlstate in INELIGIBLE_SQLSTATES:
        return Outcome.INELIGIBLE
    return Outcome.REJECTED if sqlstate in REJECTED_SQLSTATES else Outcome.ERROR
