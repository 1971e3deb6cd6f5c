"""Open requests, and the ids of recently answered ones."""

from __future__ import annotations

from collections.abc import Callable

from juniperreel.platform.answered_ids import AnsweredIds
from juniperreel.platform.command import Command
from juniperreel.platform.exchange import Exchange
from juniperreel.platform.memory_budget import Reservation
from juniperreel.platform.rule_monitor import RequestRecord
from juniperreel.postgres.request_format import StatementRequest


class OpenRequest:
    """A request from its submission until it is answered and its last exchange has ended.

    `command` is None once the request is answered or its client has disconnected. `exchanges` holds the
    exchanges that have not ended, by attempt number. `reservation` is the memory reserved for it.
    """

    __slots__ = ("attempt_count", "command", "deadline_us", "exchanges", "record", "reservation", "statement")

    def __init__(
        self, statement: StatementRequest, command: Command, deadline_us: int, record: RequestRecord
    ) -> None:
        """`record` is the rule monitor's record of the request."""
        self.record = record
        self.statement = statement
        self.deadline_us = deadline_us
        self.command: Command | None = command
        self.reservation: Reservation | None = command.reservation
        command.reservation = None
        self.attempt_count = 0
        self.exchanges: dict[int, Exchange] = {}


class OpenRequests:
    """All open requests by id."""

    def __init__(self, now: Callable[[], int]) -> None:
        """`now` returns the current time in microseconds."""
        self._now = now
        self.by_id: dict[str, OpenRequest] = {}
        self.answered_ids = AnsweredIds()

    def is_id_in_use(self, request_id: str) -> bool:
        """Return whether the id belongs to an open or recently answered request."""
        return request_id in self.by_id or request_id in self.answered_ids

    def remove_if_done(self, request_id: str, request: OpenRequest) -> None:
        """Remove a request that is answered and has no exchange left, but keep its id for a while.

        Otherwise a request that reuses the id of a recently answered one would be executed again.
        """
        if request.command is not None or request.exchanges:
            return
        if self.by_id.pop(request_id, None) is None:
            return
        if request.reservation is not None:
            request.reservation.release()
        self.answered_ids.add(request_id, self._now())
