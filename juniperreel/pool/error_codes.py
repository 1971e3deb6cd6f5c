"""Classification of MySQL error codes by their effect on statement, transaction and connection. No I/O.

Codes and meanings are from MySQL's "Server Error Message Reference". A code may be listed as READ_ONLY or
OVERLOADED only if the data is certainly unchanged: the router retries such requests on another endpoint
immediately, including writes. Codes in no table are errors of the statement itself and are passed on to the
client unchanged; a code whose effect is unknown is a SERVER_FAILURE.
"""

from __future__ import annotations

from enum import Enum


class ErrorCategory(Enum):
    """The effect of an error."""

    STATEMENT_ERROR = "nothing took effect; another server would answer the same"
    READ_ONLY = "the server takes no writes; nothing took effect"
    OVERLOADED = "the server lacked a resource; nothing took effect"
    ABORTED = "the server ended the statement or its transaction, which may succeed if started again"
    CONNECTION_CLOSED = "the server closes the connection"
    SERVER_FAILURE = "the server failed; the effect is in doubt"


READ_ONLY_CODES = frozenset(
    {
        1290,  # running with --read-only or --super-read-only
        1836,  # running in read-only mode
        3100,  # a plugin (group replication) rejected the write
    }
)
OVERLOADED_CODES = frozenset(
    {
        1040,  # too many connections
        1041,  # out of memory
        1135,  # can't create a thread
        1203,  # too many user connections
        1226,  # a user's resource limit
    }
)
ABORTED_CODES = frozenset(
    {
        1205,  # lock wait timeout; by default only the statement is rolled back
        1213,  # deadlock: the whole transaction is rolled back
        1317,  # query execution was interrupted
        1614,  # transaction branch was rolled back: deadlock
        3024,  # maximum statement execution time exceeded
        3101,  # a plugin (group replication) rolled the transaction back at its commit
        3572,  # lock not acquired immediately, and NOWAIT was set
    }
)
CONNECTION_CLOSED_CODES = frozenset(
    {
        1053,  # server shutdown in progress
        1077,  # normal shutdown
        1079,  # shutdown complete
        1927,  # connection was killed
        4031,  # disconnected for inactivity
    }
)
SERVER_FAILURE_CODES = frozenset(
    {
        1030,  # an error from the storage engine
        1037,  # out of memory
        1105,  # unknown error
        1180,  # an error during commit
        1181,  # an error during rollback
        1296,  # an error from the cluster engine
        1297,  # a temporary error from the cluster engine
        3168,  # server isn't available
    }
)

TRANSACTION_ROLLBACK_CODES = frozenset(
    {1213, 1614, 3101}
)  # the subset of ABORTED_CODES that ends the transaction
REPREPARE_CODES = frozenset({1243, 1615})  # nothing was executed; the statement must be prepared again
WRONG_ARGUMENT_COUNT = 1210

_CATEGORY_BY_CODE = {
    **dict.fromkeys(READ_ONLY_CODES, ErrorCategory.READ_ONLY),
    **dict.fromkeys(OVERLOADED_CODES, ErrorCategory.OVERLOADED),
    **dict.fromkeys(ABORTED_CODES, ErrorCategory.ABORTED),
    **dict.fromkeys(CONNECTION_CLOSED_CODES, ErrorCategory.CONNECTION_CLOSED),
    **dict.fromkeys(SERVER_FAILURE_CODES, ErrorCategory.SERVER_FAILURE),
}


def error_category(code: int) -> ErrorCategory:
    """Return the category of a server error code."""
    return _CATEGORY_BY_CODE.get(code, ErrorCategory.STATEMENT_ERROR)
