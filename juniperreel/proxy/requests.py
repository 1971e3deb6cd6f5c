"""What passes between a frontend and the request driver: requests, answers and transactions."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from google.protobuf.message import Message

from juniperreel.causal import EMPTY_TOKEN, Token
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.session_state import INITIAL_SESSION_STATE, SessionState


class TransactionMode(Enum):
    """The kind of transaction that a request begins."""

    READ_WRITE = "read write"
    READ_ONLY = "read only"


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The end of a transaction. `token` is empty where its commit position is not known."""

    result: Result
    token: Token


class Transaction(Protocol):
    """An open transaction, owned by the frontend whose request began it; see `transactions`."""

    state: SessionState  # of its connection
    tainted: bool  # it left something on its connection, which must not be reused

    @property
    def open(self) -> bool:
        """Whether further statements can be executed in it."""
        ...

    async def run(self, statement: Statement, stream: bool = True) -> Result:
        """Execute one statement."""
        ...

    async def finish(self, statement: Statement, commits: bool = True) -> TransactionResult:
        """Execute the last statement, a commit or a rollback."""
        ...

    def release(self) -> None:
        """Give the connection back; a transaction that is still open is rolled back."""
        ...


@dataclass(slots=True)
class ClientRequest:
    """One request as parsed by a frontend. The driver assigns `id`."""

    class_index: int
    tenant_index: int
    group: int
    deadline_us: int  # when the client gives up
    statement: bytes
    parameters: Sequence[Any] = ()
    session: str | None = None
    idempotency_key: str = ""
    token: Token = EMPTY_TOKEN
    is_retry: bool = False
    received_us: int = 0  # when its bytes could first have been read; 0 where that is not known
    id: str = ""
    binary_rows: bool = False  # rows in MySQL's binary form, where the endpoint speaks MySQL
    accepts_stream: bool = False  # its frontend can pass on a result in parts
    transaction_mode: TransactionMode | None = None  # None: a single statement
    taints_connection: bool = False  # its connection must not be reused afterwards
    session_state: SessionState = INITIAL_SESSION_STATE  # what the session has changed of its connections
    last_insert_id: int | None = None  # to be set on the connection first


def release_result(result: Any, transaction: Transaction | None) -> None:
    """Give back what an answer that nobody takes holds of its endpoint."""
    rest = getattr(result, "remaining_rows", None)
    if rest is not None:
        rest.close()
    if transaction is not None:
        transaction.release()


@dataclass(frozen=True, slots=True)
class Served:
    """An endpoint's result.

    `result` is a juniperreel.common.v1.ResultSet, or a pool.Result of an endpoint that speaks MySQL; one with
    a `rest` must be read to its end or closed. `transaction` must be released.
    """

    result: Any
    token: Token
    endpoint: str
    from_primary: bool
    attempts: int
    transaction: Transaction | None = None


class MysqlErrorCode(NamedTuple):
    """Error number and SQLSTATE as an endpoint that speaks MySQL sent them."""

    code: int
    sql_state: str


@dataclass(frozen=True, slots=True)
class StatementFailed:
    """An endpoint read the statement and reported an error in it; nothing took effect."""

    status_code: int  # a gRPC status
    message: str
    details: tuple[Message, ...] = ()
    mysql_error: MysqlErrorCode | None = None  # of an endpoint that speaks MySQL
    transaction: Transaction | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """Nothing took effect that a retry could double. `retry_after_us` is 0 where there is no hint."""

    reason: str
    retry_after_us: int
    local: bool = False  # by a limit of this program, before the router saw the request


@dataclass(frozen=True, slots=True)
class Failed:
    """The effect is unknown."""

    reason: str
    attempts: int = 0


Answer = Served | StatementFailed | Rejected | Failed
