"""Exceptions raised by the request driver and its endpoint connections."""

from __future__ import annotations

from pathlib import Path

from juniperreel.routing.types import Outcome

# MySQL error codes sent to clients: ER_NOT_SUPPORTED_YET and ER_NET_PACKET_TOO_LARGE.
NOT_SUPPORTED_CODE = 1235
NOT_SUPPORTED_STATE = "42000"
TOO_LARGE_CODE = 1153
TOO_LARGE_STATE = "08S01"


class ProxyError(Exception):
    """Base class of this package's exceptions."""


class EndpointError(ProxyError):
    """An error that an endpoint returned instead of a result.

    `Outcome.OK` marks an error in the statement itself; `code` and `sql_state` are then the MySQL values to
    send to MySQL clients.
    """

    def __init__(self, outcome: Outcome, message: str, code: int = 0, sql_state: str = "") -> None:
        super().__init__(message)
        self.outcome = outcome
        self.message = message
        self.code = code
        self.sql_state = sql_state


class CachedListError(ProxyError, ValueError):
    """The cached endpoint list is invalid or has an unsupported format."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path} {reason}")
        self.path = path
        self.reason = reason


class TransactionError(ProxyError):
    """A transaction ended without a confirmed commit."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class TransactionRolledBackError(TransactionError):
    """The transaction ended without effect."""


class TransactionOutcomeUnknownError(TransactionError):
    """The transaction ended, and whether it was committed is unknown."""


def not_supported(message: str) -> EndpointError:
    """Return the error for a statement that the edge does not support."""
    return EndpointError(Outcome.OK, message, NOT_SUPPORTED_CODE, NOT_SUPPORTED_STATE)


def too_large(message: str) -> EndpointError:
    """Return the error for a result that exceeds the edge's limit."""
    return EndpointError(Outcome.OK, message, TOO_LARGE_CODE, TOO_LARGE_STATE)
