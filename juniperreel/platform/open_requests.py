"""The requests that are open, and the ids of those answered lately."""

from __future__ import annotations

from collections.abc import Callable

from juniperreel.platform.command import Command
from juniperreel.platform.exchange import Exchange
from juniperreel.platform.rule_monitor import RequestRecord
from juniperreel.postgres.request_format import StatementRequest

MAX_ANSWERED_IDS = 20_000
ANSWERED_ID_TTL_US = 30_000_000


class OpenRequest:
    """A request from its submission until it is answered and its last exchange has ended.

    `command` is None once it is answered, or its client is gone. `exchanges` are those of its attempts that
    have not ended, by their number.
    """

    __slots__ = ("attempt_count", "command", "deadline_us", "exchanges", "form", "record")

    def __init__(
        self, form: StatementRequest, command: Command, deadline_us: int, record: RequestRecord
    ) -> None:
        """Open a request without attempts; `record` is what the rule monitor keeps of it."""
        self.record = record
        self.form = form
        self.deadline_us = deadline_us
        self.command: Command | None = command
        self.attempt_count = 0
        self.exchanges: dict[int, Exchange] = {}


class OpenRequests:
    """All open requests by id."""

    def __init__(self, now: Callable[[], int]) -> None:
        """Start without requests. `now` reads the clock."""
        self._now = now
        self.by_id: dict[str, OpenRequest] = {}
        self.answered_us: dict[str, int] = {}  # when recently answered ids were answered, oldest first

    def is_id_in_use(self, request_id: str) -> bool:
        """Return whether the id is of an open request, or of one answered lately."""
        return request_id in self.by_id or request_id in self.answered_us

    def remove_if_done(self, request_id: str, request: OpenRequest) -> None:
        """Forget a request that is answered and has no exchange left; keep its id for a while.

        Without that, whoever sends the id of a request that was just answered would have it executed again.
        """
        if request.command is not None or request.exchanges:
            return
        if self.by_id.pop(request_id, None) is None:
            return
        now_us = self._now()
        self.answered_us[request_id] = now_us
        oldest = next(iter(self.answered_us))
        while (
            len(self.answered_us) > MAX_ANSWERED_IDS or now_us - self.answered_us[oldest] > ANSWERED_ID_TTL_US
        ):
            del self.answered_us[oldest]
            oldest = next(iter(self.answered_us))
