"""One command of a client, and who answers it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from juniperreel.platform.counters import CloseReason
from juniperreel.postgres.request_format import StatementRequest

if TYPE_CHECKING:
    from juniperreel.platform.client_connection import ClientConnection


class Command:
    """One command of a client, from its last byte to its answer.

    `form` is None for a command that is answered without a request.
    """

    __slots__ = ("answer", "arrived_us", "client", "form", "request_id", "wait_us")

    def __init__(
        self, client: ClientConnection, arrived_us: int, form: StatementRequest | None, answer: bytes | None
    ) -> None:
        """`answer` is given where it is known at once."""
        self.client = client
        self.arrived_us = arrived_us
        self.form = form
        self.answer = answer
        self.request_id: str | None = None  # of the open request that will answer it
        self.wait_us = client.input_wait_us  # since it may have arrived, until the event loop saw it

    def finish(self, answer: bytes) -> None:
        """Set the final answer, and send it once all commands before this one have theirs."""
        self.request_id = None
        self.answer = answer
        self.client.advance()

    def must_wait_for(self, earlier: Command) -> bool:
        """Return whether an earlier command of the same connection must be answered first.

        A read sent behind a write of its key, on one connection, expects to see it; a write sent behind a
        read expects not to be seen by it.
        """
        if self.form is None or earlier.form is None or earlier.answer is not None:
            return False
        return self.form.key == earlier.form.key and (self.form.is_write or earlier.form.is_write)


class RequestHandler(Protocol):
    """Answers clients' commands.

    `input_ready_since_us`: since when what is read now may have waited in the kernel.
    `input_wait_us`: how long that was, at most.
    """

    input_ready_since_us: int
    input_wait_us: int

    def submit(self, command: Command, form: StatementRequest) -> None:
        """Open a request; its answer arrives by `command.finish`. Raises InvalidRequestError."""
        ...

    def connection_closed(self, unanswered: list[str], reason: CloseReason) -> None:
        """A client's connection is closed while the requests of these ids have no answer."""
        ...

    def answers_dropped(self, unsent_bytes: int, reason: CloseReason) -> None:
        """A client's connection ends here while answers that were given have not left."""
        ...

    def client_disconnected(self, command: Command) -> None:
        """Withdraw the open request of a command whose client is gone."""
        ...
