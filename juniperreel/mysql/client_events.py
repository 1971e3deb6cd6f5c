"""What a client's connection reports.

Each event but those of the login and ConnectionBroken belongs to the oldest command in flight.
"""

from __future__ import annotations

from dataclasses import dataclass

from juniperreel.mysql.columns import Column
from juniperreel.mysql.replies import Err, Ok


@dataclass(frozen=True, slots=True)
class StartTls:
    """The login goes on inside TLS: call `inside_tls` when the handshake is done."""


@dataclass(frozen=True, slots=True)
class Ready:
    """Logged in. `connection_id` is the connection's number at its server."""

    connection_id: int
    version: str


@dataclass(frozen=True, slots=True)
class Done:
    """The command was answered without a result set."""

    ok: Ok


@dataclass(frozen=True, slots=True)
class Failed:
    """The command was answered with an error, which may end a result."""

    err: Err


@dataclass(frozen=True, slots=True)
class StatementPrepared:
    """COM_STMT_PREPARE was answered."""

    id: int
    parameters: int


@dataclass(frozen=True, slots=True)
class ResultStarted:
    """A result set begins."""

    columns: tuple[Column, ...]


@dataclass(frozen=True, slots=True)
class Row:
    """A row as it came: in text, or in binary after an execution."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class ResultEnded:
    """The result set ends. With `ok.more_results` another follows for the same command."""

    ok: Ok


@dataclass(frozen=True, slots=True)
class ConnectionBroken:
    """The connection cannot be used any more. `code`: the server's, if it sent one."""

    reason: str
    code: int = 0


Event = (
    StartTls
    | Ready
    | Done
    | Failed
    | StatementPrepared
    | ResultStarted
    | Row
    | ResultEnded
    | ConnectionBroken
)
