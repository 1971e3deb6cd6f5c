"""Exception hierarchy of this package.

Some classes also derive from a built-in exception or from `ConnectError`, because callers catch them as such.
"""

from __future__ import annotations

from juniperreel.mysql.replies import Err
from juniperreel.net import ConnectError


class PoolError(Exception):
    """Base class of all exceptions of this package."""


class ConnectionLostError(PoolError):
    """The connection to the server broke.

    Attributes:
        sent: Whether the server may have received and executed the statements in flight.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class StatementError(PoolError):
    """The server returned an ERR packet for a statement; the connection remains usable.

    Attributes:
        err: The decoded ERR packet.
    """

    def __init__(self, err: Err) -> None:
        super().__init__(f"{err.code}: {err.message}")
        self.err = err


class ResultTooLargeError(PoolError):
    """A result exceeds the configured buffer size, and streaming was not requested."""


class LoginRejectedError(PoolError, ConnectError):
    """The server rejected the login; no statement was sent.

    Attributes:
        code: The server's error code; 0 if there was none.
    """

    def __init__(self, reason: str, code: int) -> None:
        super().__init__(reason)
        self.code = code


class StatusUnavailableError(PoolError):
    """The server did not report its status in the expected form."""


class InvalidGtidError(PoolError, ValueError):
    """The text is not a valid GTID or GTID set."""


class SessionStateTooLargeError(PoolError, ValueError):
    """A session sets more variables, or longer values, than can be replayed."""
