"""A transaction on one member's connection, from its first statement to its end.

The module saw the first statement as a request and chose the member; all that follows goes to the same
connection and nowhere else. Nothing of it is ever sent twice: what breaks is undone by the member, and said
so. Only where the connection breaks during the commit is the effect unknown.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import trio

from juniperreel.causal import EMPTY, History, Token
from juniperreel.mysql.replies import Err
from juniperreel.mysql.values import Value
from juniperreel.net import Clock
from juniperreel.pool import endpoint_status
from juniperreel.pool.connection import BackendConnection
from juniperreel.pool.error_codes import TRANSACTION_ROLLBACK_CODES, ErrorCategory, error_category
from juniperreel.pool.errors import (
    ConnectionLostError,
    ResultTooLargeError,
    StatementError,
    StatusUnavailableError,
)
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.session_state import SessionState
from juniperreel.proxy.positions import Positions, Standing
from juniperreel.proxy.work import Committed

STATUS = Statement(endpoint_status.STATUS_QUERY)


class Undone(Exception):
    """The transaction is over and nothing of it took effect."""


class Unknown(Exception):
    """The transaction is over; whether it took effect is not known."""


class Held:
    """See `work.Transaction`. `release` must be called in the end."""

    def __init__(
        self,
        backend: BackendConnection,
        request: str,
        member: str,
        group: int,
        clock: Clock,
        positions: Positions,
        limit_us: int,
        give_back: Callable[[bool], None],
    ) -> None:
        """`limit_us`: from now on, after which it is undone. `give_back` takes the connection, and whether it
        is still of use."""
        self.member, self.group = member, group
        self._backend, self._request = backend, request
        self._clock, self._positions = clock, positions
        self.due_us = clock.now_us() + limit_us
        self._give_back: Callable[[bool], None] | None = give_back
        self._why = ""
        self._count = 0
        self._busy = False
        self.tainted = False

    @property
    def state(self) -> SessionState:
        return self._backend.session_state

    @state.setter
    def state(self, state: SessionState) -> None:
        self._backend.session_state = state

    @property
    def open(self) -> bool:
        return self._give_back is not None

    def lose(self, why: str) -> None:
        """Ends it from this side: time is over, or its member has left. Its client is told at its next
        statement, or at once if one is in hand."""
        if self._give_back is not None and not self._why:
            self._why = why
            self._backend.close()
            if not self._busy:
                self._end(False)

    def release(self) -> None:
        """Its client is gone, or done with it: what is open is undone."""
        if self._give_back is not None:
            self._backend.close()
            self._end(False)

    def _end(self, good: bool) -> None:
        give_back, self._give_back = self._give_back, None
        if give_back is not None:
            give_back(good and not self._backend.close_reason and not self.tainted)

    async def run(self, statement: Statement, stream: bool = True) -> Result:
        """Raises StatementError (the transaction may be over: see `open`), Undone or ResultTooLargeError."""
        (answer,) = await self._exchange([statement], stream=stream)
        if isinstance(answer, Err):
            self._heed(answer)
            raise StatementError(answer)
        if answer.remaining_rows is None:
            self._after()
        return answer

    def _heed(self, err: Err, commits: bool = False) -> None:
        """An error tells no flags of the session: its code must do. Raises Undone or Unknown."""
        match error_category(err.code):
            case ErrorCategory.READ_ONLY:
                # A primary no longer: it will commit nothing; what ran is undone with the connection.
                self.release()
                raise Undone(f"{self.member} takes no writes any more")
            case ErrorCategory.CONNECTION_CLOSED | ErrorCategory.SERVER_FAILURE if commits:
                self.release()
                raise Unknown(f"{self.member} broke off the commit: {err.code}")
            case ErrorCategory.CONNECTION_CLOSED:
                self.release()
                raise Undone(f"{self.member} ended the connection: {err.code}")
            case _ if err.code in TRANSACTION_ROLLBACK_CODES:
                self._end(False)

    def _after(self) -> None:
        """Deadlocks, and statements that commit by themselves, end a transaction: the server says so."""
        if not self._backend.session.in_transaction:
            self._end(True)

    async def finish(self, statement: Statement, commits: bool = True) -> Committed:
        """The last statement. Raises StatementError with nothing done, Undone, or Unknown if it `commits`."""
        if not commits:
            (answer,) = await self._exchange([statement])
            self._end(True)
            if isinstance(answer, Err):
                raise StatementError(answer)
            return Committed(answer, EMPTY)
        try:
            answers = await self._exchange([STATUS, statement, STATUS], main=1)
        except Undone as error:
            raise Unknown(f"the connection to {self.member} was lost during the commit") from error
        except ResultTooLargeError as error:
            raise Unknown(str(error)) from error
        over = not self._backend.session.in_transaction
        answer = answers[1]
        if isinstance(answer, Err):
            self._heed(answer, commits=True)
            if over:
                self._end(True)
            raise StatementError(answer)
        before, after = told_of(answers[0]), told_of(answers[2])
        if over:
            self._end(True)
        if before is None or after is None or before.read_only or before.epochs != after.epochs:
            # Danger: a primary that was replaced while it confirmed; the group may never hold this.
            raise Unknown(f"{self.member} changed its role during the commit")
        standing = standing_of(after)
        self._positions.learn(self.group, standing)
        epoch = standing.history.epoch
        if not self._positions.holds_commit(self.group, epoch, after.clock_us):
            raise Unknown(f"{self.member} is a primary of the past")
        self._positions.committed(self.group, epoch, after.clock_us, answer.ok.gtids)
        return Committed(answer, Token.for_position(self.group, epoch, after.clock_us))

    async def _exchange(
        self, steps: Sequence[Statement], main: int = 0, stream: bool = False
    ) -> list[Result | Err]:
        """Raises Undone. Cancelled, the transaction is undone."""
        if self._why or self._give_back is None:
            self._end(False)
            raise Undone(self._why or "the transaction is over")
        self._count += 1
        attributes: dict[str, Value] = {
            "juniperreel_request": self._request,
            "juniperreel_statement": self._count,
        }
        self._busy = True
        try:
            return await self._backend.exchange(steps, attributes, main, stream)
        except ConnectionLostError as error:
            raise Undone(self._why or f"the connection to {self.member} was lost: {error}") from error
        finally:
            self._busy = False
            if self._backend.close_reason:
                self._end(False)

    async def watch(self) -> None:
        """Until it is over, or its time is."""
        while self.open:
            left = self.due_us - self._clock.now_us()
            if left <= 0:
                self.lose("it took longer than a transaction may")
                return
            await trio.sleep(min(left / 1_000_000, 0.25))


def told_of(answer: Result | Err) -> endpoint_status.EndpointStatus | None:
    if isinstance(answer, Err):
        return None
    try:
        return endpoint_status.parse_status(answer.values())
    except StatusUnavailableError:
        return None


def standing_of(told: endpoint_status.EndpointStatus) -> Standing:
    return Standing(not told.read_only, told.position_us, History.from_starts(told.epochs), told.clock_us)
