"""A client's command, and the interface of its request handler."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from juniperreel.platform.counters import CloseReason
from juniperreel.platform.memory_budget import Reservation
from juniperreel.postgres.request_format import StatementRequest

if TYPE_CHECKING:
    from juniperreel.platform.client_connection import ClientConnection


class Command:
    """One command of a client, from the arrival of its last byte until it is answered.

    `statement` is None for a command that is answered without a request, and once the answer is known.
    `reservation` is the memory reserved for a command that is not submitted yet.
    """

    __slots__ = ("answer", "arrived_us", "client", "request_id", "reservation", "statement", "wait_us")

    def __init__(
        self,
        client: ClientConnection,
        arrived_us: int,
        statement: StatementRequest | None,
        answer: bytes | None,
        reservation: Reservation | None = None,
    ) -> None:
        """`answer` is set if the command can be answered immediately."""
        self.reservation = reservation
        self.client = client
        self.arrived_us = arrived_us
        self.statement = statement
        self.answer = answer
        self.request_id: str | None = None  # of the open request that answers the command
        self.wait_us = client.input_wait_us  # upper bound of the time between arrival and reading

    def finish(self, answer: bytes) -> None:
        """Set the final answer, which is sent once all preceding commands are answered."""
        self.request_id = None
        self.client.on_answer(self, answer)

    def set_answer(self, answer: bytes) -> None:
        """Set the final answer, and drop the statement: the answer may have to wait for earlier commands."""
        self.answer = answer
        self.statement = None
        self.release_memory()
        self.client.on_answer_waiting(len(answer))

    def release_memory(self) -> None:
        """Return the reserved memory of a command that was not submitted."""
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None


class RequestHandler(Protocol):
    """Handles client requests.

    `input_ready_since_us`: the earliest time at which the input being read may have arrived in the kernel.
    `input_wait_us`: how long it waited there, at most.
    """

    input_ready_since_us: int
    input_wait_us: int

    def submit(self, command: Command, statement: StatementRequest) -> None:
        """Open a request, to be answered through `command.finish`. Raises InvalidRequestError."""
        ...

    def refuse_command(self) -> bytes:
        """Return the answer to a command for which no memory or no time is left."""
        ...

    def withhold_answer(self, statement: StatementRequest) -> bytes:
        """Return the answer to send instead of one for which no memory is left."""
        ...

    def connection_closed(self, unanswered: list[str], reason: CloseReason) -> None:
        """Handle the close of a client connection, with the ids of its unanswered requests."""
        ...

    def answers_dropped(self, unsent_bytes: int, reason: CloseReason) -> None:
        """Handle a client connection that is closed before all of its answers were sent."""
        ...

    def client_disconnected(self, command: Command) -> None:
        """Withdraw the open request of a command whose client has disconnected."""
        ...
