"""Every error that the pool raises, as one hierarchy.

Subclasses that also derive from a built-in or from `ConnectError` do so because their callers catch them as
such.
"""

from __future__ import annotations

from juniperreel.mysql.replies import Err
from juniperreel.net import ConnectError


class PoolError(Exception):
    """Base of the errors of this package."""


class ConnectionLostError(PoolError):
    """The connection to the server broke.

    Attributes:
        sent: Whether the server may have received, and executed, what was in flight.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class StatementError(PoolError):
    """The server answered a statement with an ERR packet; the connection stays usable.

    Attributes:
        err: The decoded packet.
    """

    def __init__(self, err: Err) -> None:
        super().__init__(f"{err.code}: {err.message}")
        self.err = err


class ResultTooLargeError(PoolError):
    """A result exceeds the configured buffer, and the caller did not ask for a stream."""


class LoginRejectedError(PoolError, ConnectError):
    """The server rejected the login; no statement was sent.

    Attributes:
        code: The server's error code; 0 if it gave none.
    """

    def __init__(self, reason: str, code: int) -> None:
        super().__init__(reason)
        self.code = code


class StatusUnavailableError(PoolError):
    """The server did not report its replication status, or not in the expected form."""


class InvalidGtidError(PoolError, ValueError):
    """Text that is not a GTID, or not a set of GTIDs."""


class SessionStateTooLargeError(PoolError, ValueError):
    """A session sets more variables, or longer values, than the pool replays."""
