"""Events that `ClientSession.receive` returns.

All events belong to the oldest command in flight, except for StartTls, Ready and ConnectionBroken.
"""

from __future__ import annotations

from dataclasses import dataclass

from juniperreel.mysql.columns import Column
from juniperreel.mysql.replies import Err, Ok


@dataclass(frozen=True, slots=True)
class StartTls:
    """The login continues over TLS: call `on_tls_established` after the handshake."""


@dataclass(frozen=True, slots=True)
class Ready:
    """The login succeeded. `connection_id` was assigned by the server."""

    connection_id: int
    version: str


@dataclass(frozen=True, slots=True)
class Done:
    """The command succeeded without a result set."""

    ok: Ok


@dataclass(frozen=True, slots=True)
class Failed:
    """The command failed, possibly in the middle of a result set."""

    err: Err


@dataclass(frozen=True, slots=True)
class StatementPrepared:
    """A statement was prepared. `parameters` is how many it has."""

    id: int
    parameters: int


@dataclass(frozen=True, slots=True)
class ResultStarted:
    """The column definitions of a result set were received."""

    columns: tuple[Column, ...]


@dataclass(frozen=True, slots=True)
class Row:
    """An encoded row: in the binary protocol for prepared statements, else in the text protocol."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class ResultEnded:
    """The result set ended. If `ok.more_results`, another one follows for the same command."""

    ok: Ok


@dataclass(frozen=True, slots=True)
class ConnectionBroken:
    """The connection can no longer be used. `code` is the server's error code, or 0."""

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
