"""What passes between a front and the driver."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from google.protobuf.message import Message

from juniperreel.causal import EMPTY, Token
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.session_state import INITIAL_SESSION_STATE, SessionState


@dataclass(frozen=True, slots=True)
class Committed:
    """The end of a transaction. `token` is empty where nothing is known of its position."""

    result: Result
    token: Token


class Hold(Enum):
    """The request begins a transaction."""

    READ_WRITE = "read write"
    READ_ONLY = "read only"


class Transaction(Protocol):
    """What a request that began a transaction leaves with its front; see `transactions.Held`."""

    state: SessionState  # of its connection
    tainted: bool  # it left something on its connection, which nobody else may have

    @property
    def open(self) -> bool: ...

    async def run(self, statement: Statement, stream: bool = True) -> Result: ...

    async def finish(self, statement: Statement, commits: bool = True) -> Committed: ...

    def release(self) -> None: ...


@dataclass(slots=True)
class Work:
    """One request, as a front has read it. `deadline_us` is when the client gives up. `binary`: rows as after
    an execution are wanted, where the member speaks MySQL."""

    cls: int
    tenant: int
    group: int
    deadline_us: int
    statement: bytes
    parameters: Sequence[Any] = ()
    session: str | None = None
    key: str = ""
    token: Token = EMPTY
    repeat: bool = False
    read_us: int = 0  # when its bytes could first have been read; 0 where that is not known
    id: str = ""
    binary: bool = False
    stream: bool = False  # its front can pass on a result in parts
    hold: Hold | None = None
    taint: bool = False  # nobody else may have its connection afterwards
    state: SessionState = INITIAL_SESSION_STATE  # what the session has changed of its connections
    insert_id: int | None = None  # to be told to the connection before


def let_go(result: Any, held: Transaction | None) -> None:
    """Nobody takes an answer: what it holds of a member is given back."""
    rest = getattr(result, "remaining_rows", None)
    if rest is not None:
        rest.close()
    if held is not None:
        held.release()


@dataclass(frozen=True, slots=True)
class Served:
    """A member's answer. `result` is a juniperreel.common.v1.ResultSet, or a pool.Result of a member that
    speaks MySQL; one with a rest must be read to its end or closed. `held` must be released."""

    result: Any
    token: Token
    member: str
    primary: bool
    attempts: int
    held: Transaction | None = None


@dataclass(frozen=True, slots=True)
class Spurned:
    """A member read the statement and found it at fault; nothing took effect. `error`: code and SQLSTATE of a
    member that speaks MySQL."""

    code: int  # a gRPC status
    message: str
    details: tuple[Message, ...] = ()
    error: tuple[int, str] | None = None
    held: Transaction | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing took effect that a repeat could double. `retry_after_us` is 0 where there is no hint."""

    reason: str
    retry_after_us: int
    local: bool = False  # by a limit of this program, before the module saw it


@dataclass(frozen=True, slots=True)
class Failed:
    """The effect is unknown."""

    reason: str
    attempts: int = 0
    notes: dict[str, str] = field(default_factory=dict)


Answer = Served | Spurned | Refused | Failed
