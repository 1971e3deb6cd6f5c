"""Errors that MySQL clients receive; docs/operate/mysql.md has the same table for operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from juniperreel.mysql.server import Event, ServerSession
from juniperreel.proxy import Failed, Rejected


class ErrorCode(NamedTuple):
    """MySQL's error number and its SQLSTATE."""

    number: int
    sqlstate: str


TOO_MANY_CONNECTIONS = ErrorCode(1040, "08004")
UNKNOWN_COMMAND = ErrorCode(1047, "08S01")
UNKNOWN_SCHEMA = ErrorCode(1049, "42000")
SERVER_SHUTDOWN = ErrorCode(1053, "08S01")
INVALID_STATEMENT = ErrorCode(1064, "42000")
EFFECT_UNKNOWN = ErrorCode(1105, "HY000")
TOO_LONG = ErrorCode(1153, "08S01")
REJECTED = ErrorCode(1205, "HY000")  # nothing took effect; may be retried
WRONG_ARGUMENTS = ErrorCode(1210, "HY000")
TRANSACTION_ROLLED_BACK = ErrorCode(1213, "40001")  # clients know it as a reason to retry the transaction
INVALID_TOKEN = ErrorCode(1231, "42000")
NOT_SUPPORTED = ErrorCode(1235, "42000")
UNKNOWN_STATEMENT = ErrorCode(1243, "HY000")
OUT_OF_RANGE = ErrorCode(1264, "22003")
NO_SUCH_SAVEPOINT = ErrorCode(1305, "42000")
SEVERAL_RESULTS = ErrorCode(1312, "0A000")
TOO_MANY_PARAMETERS = ErrorCode(1390, "HY000")
TOO_MANY_STATEMENTS = ErrorCode(1461, "42000")
NEEDS_REPREPARE = ErrorCode(1615, "HY000")
READ_ONLY_TRANSACTION = ErrorCode(1792, "25006")
DEADLINE_EXCEEDED = ErrorCode(3024, "HY000")


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """An ERR packet to a client."""

    code: ErrorCode
    message: str

    def write_to(self, protocol: ServerSession) -> list[Event]:
        """Answer the current command with this error; returns events of commands that arrived meanwhile."""
        return protocol.error(self.code.number, self.code.sqlstate, self.message)


class MysqlError(Exception):
    """Raised for a command that is answered with `response`; the connection stays open."""

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(message)
        self.response = ErrorResponse(code, message)

    @property
    def code(self) -> ErrorCode:
        """The error code of the response."""
        return self.response.code


class PreparedStatementError(MysqlError):
    """A prepared statement is unknown, too large, or was sent with wrong arguments."""


SHUTDOWN_RESPONSE = ErrorResponse(SERVER_SHUTDOWN, "Server shutdown in progress")
TOO_MANY_CONNECTIONS_RESPONSE = ErrorResponse(TOO_MANY_CONNECTIONS, "Too many connections")
SEVERAL_RESULTS_RESPONSE = ErrorResponse(
    SEVERAL_RESULTS, "the statement ran; its results need a client that reads several (CLIENT_MULTI_RESULTS)"
)
DEADLINE_RESPONSE = ErrorResponse(DEADLINE_EXCEEDED, "no answer came in time; a write may have taken effect")


def rejection_response(answer: Rejected) -> ErrorResponse:
    """The response to a rejected request, which had no effect."""
    retry_after = f"; try again after {answer.retry_after_us / 1000:.0f} ms" if answer.retry_after_us else ""
    return ErrorResponse(REJECTED, f"{answer.reason}, nothing took effect{retry_after}")


def failure_response(answer: Failed) -> ErrorResponse:
    """The response to a request whose effect is unknown."""
    return ErrorResponse(EFFECT_UNKNOWN, answer.reason)


def rolled_back_response(reason: object) -> ErrorResponse:
    """The response to a statement whose transaction ended without any effect."""
    return ErrorResponse(TRANSACTION_ROLLED_BACK, f"{reason}; nothing of the transaction took effect")
