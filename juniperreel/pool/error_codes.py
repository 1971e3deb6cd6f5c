"""What a member's ERR packet means for the request. No I/O.

Only what certainly left the data as it was may count as untouched: the module sends such a request elsewhere
at once (rule 2). Codes and their meanings: MySQL's "Server Error Message Reference". A code that is not in
the tables is the statement's own fault, told to the client as it came; one that is in doubt is FAILED.
"""

from __future__ import annotations

from enum import Enum


class Meaning(Enum):
    FAULT = "the statement is at fault"  # nothing took effect; sent elsewhere it would be told the same
    READ_ONLY = "the member takes no writes"
    BUSY = "the member had no room"
    ENDED = "the member ended it"  # the transaction is undone; begun again it may pass
    GONE = "the connection is of no more use"
    FAILED = "the member failed"


READ_ONLY = frozenset(
    {
        1290,  # running with --read-only or --super-read-only
        1836,  # running in read-only mode
        3100,  # a plugin (group replication) does not let it write
    }
)
BUSY = frozenset(
    {
        1040,  # too many connections
        1041,  # out of memory
        1135,  # can't create a thread
        1203,  # too many user connections
        1226,  # a user's resource limit
    }
)
ENDED = frozenset(
    {
        1205,  # lock wait timeout; by default only the statement is undone
        1213,  # deadlock: the whole transaction is undone
        1317,  # query execution was interrupted
        1614,  # transaction branch was rolled back: deadlock
        3024,  # maximum statement execution time exceeded
        3101,  # the plugin (group replication) undid it at commit
        3572,  # lock not acquired at once, and nowait was asked for
    }
)
UNDOES_ALL = frozenset({1213, 1614, 3101})  # of ENDED: the transaction is over
GONE = frozenset(
    {
        1053,  # server shutdown in progress
        1077,
        1079,
        1927,  # connection was killed
        4031,  # disconnected for inactivity
    }
)
FAILED = frozenset(
    {
        1030,  # an error from the storage engine
        1037,  # out of memory
        1105,  # unknown error
        1180,  # an error during commit
        1181,  # an error during rollback
        1296,
        1297,
        3168,  # server isn't available
    }
)


def meaning(code: int) -> Meaning:
    if code in READ_ONLY:
        return Meaning.READ_ONLY
    if code in BUSY:
        return Meaning.BUSY
    if code in ENDED:
        return Meaning.ENDED
    if code in GONE:
        return Meaning.GONE
    return Meaning.FAILED if code in FAILED else Meaning.FAULT
