"""Interface between front ends and the request driver: requests, answers and transactions."""

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
    """The access mode of a transaction that a request begins."""

    READ_WRITE = "read write"
    READ_ONLY = "read only"


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The result of a transaction's last statement; `token` is empty if the commit position is unknown."""

    result: Result
    token: Token


class Transaction(Protocol):
    """An open transaction, owned by the front end whose request began it; see `transactions`."""

    state: SessionState  # of the transaction's connection
    tainted: bool  # the connection may have session state that cannot be replayed; it must not be reused

    @property
    def open(self) -> bool:
        """Whether further statements can be executed in the transaction."""
        ...

    @property
    def abort_reason(self) -> str:
        """Why the edge rolled the transaction back; empty if it did not."""
        ...

    async def run(self, statement: Statement, stream: bool = True) -> Result:
        """Execute one statement."""
        ...

    async def finish(self, statement: Statement, commits: bool = True) -> TransactionResult:
        """Execute the transaction's last statement, a commit or a rollback."""
        ...

    def release(self) -> None:
        """Release the connection, rolling the transaction back if it is still open."""
        ...


@dataclass(slots=True)
class ClientRequest:
    """A request as parsed by a front end; the driver assigns `id`."""

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
    received_us: int = 0  # earliest time at which its bytes could be read; 0 if unknown
    id: str = ""
    binary_rows: bool = False  # MySQL endpoints return rows in the binary protocol
    accepts_stream: bool = False  # the front end can stream the result
    transaction_mode: TransactionMode | None = None  # None: a single statement
    taints_connection: bool = False  # the connection must not be reused afterwards
    session_state: SessionState = INITIAL_SESSION_STATE  # replayed on the connection first
    last_insert_id: int | None = None  # set on the connection first


def release_result(result: Any, transaction: Transaction | None) -> None:
    """Release the unread rows and the transaction of a result that will not be delivered."""
    remaining_rows = getattr(result, "remaining_rows", None)
    if remaining_rows is not None:
        remaining_rows.close()
    if transaction is not None:
        transaction.release()


@dataclass(frozen=True, slots=True)
class Served:
    """The request was served.

    `result` is a juniperreel.common.v1.ResultSet, or a pool.Result of a MySQL endpoint; its `remaining_rows`,
    if any, must be read to the end or closed. `transaction` must be released.
    """

    result: Any
    token: Token
    endpoint: str
    from_primary: bool
    attempts: int
    transaction: Transaction | None = None


class MysqlErrorCode(NamedTuple):
    """Error code and SQLSTATE that a MySQL endpoint returned."""

    code: int
    sql_state: str


@dataclass(frozen=True, slots=True)
class StatementFailed:
    """The endpoint reported an error in the statement, which took no effect."""

    status_code: int  # gRPC status code
    message: str
    details: tuple[Message, ...] = ()
    mysql_error: MysqlErrorCode | None = None  # from a MySQL endpoint
    transaction: Transaction | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was rejected, and a retry cannot duplicate an effect.

    `retry_after_us` is 0 if there is no retry-after hint.
    """

    reason: str
    retry_after_us: int
    local: bool = False  # by a limit of this edge, before the request reached the router


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed, and its effect is unknown."""

    reason: str
    attempts: int = 0


Answer = Served | StatementFailed | Rejected | Failed
