"""The errors that this package raises."""

from __future__ import annotations

from pathlib import Path

from juniperreel.routing.types import Outcome

# Sent to clients for what this program cannot do: ER_NOT_SUPPORTED_YET and ER_NET_PACKET_TOO_LARGE.
NOT_SUPPORTED_CODE = 1235
NOT_SUPPORTED_STATE = "42000"
TOO_LARGE_CODE = 1153
TOO_LARGE_STATE = "08S01"


class ProxyError(Exception):
    """Base of this package's errors."""


class EndpointError(ProxyError):
    """What an endpoint answered with instead of a result.

    With `Outcome.OK` the statement itself is at fault; `code` and `sql_state` are then MySQL's, for clients
    that know them.
    """

    def __init__(self, outcome: Outcome, message: str, code: int = 0, sql_state: str = "") -> None:
        super().__init__(message)
        self.outcome = outcome
        self.message = message
        self.code = code
        self.sql_state = sql_state


class CachedListError(ProxyError, ValueError):
    """The file is no endpoint list that this program can read."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path} {reason}")
        self.path = path
        self.reason = reason


class TransactionError(ProxyError):
    """A transaction ended without its client's commit being confirmed."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class TransactionRolledBackError(TransactionError):
    """The transaction is over and nothing of it took effect."""


class TransactionOutcomeUnknownError(TransactionError):
    """The transaction is over; whether it took effect is not known."""


def not_supported(message: str) -> EndpointError:
    """The error for a statement that this program cannot pass on."""
    return EndpointError(Outcome.OK, message, NOT_SUPPORTED_CODE, NOT_SUPPORTED_STATE)


def too_large(message: str) -> EndpointError:
    """The error for a result that is longer than this program may hold."""
    return EndpointError(Outcome.OK, message, TOO_LARGE_CODE, TOO_LARGE_STATE)
