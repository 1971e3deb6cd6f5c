"""Hosts one `Router` for the edge: feeds it events and carries out its actions. Decides nothing.

A request's way is frontend, driver, router, driver, endpoint, driver, frontend, and no other.
"""

from juniperreel.proxy.errors import TransactionOutcomeUnknownError, TransactionRolledBackError
from juniperreel.proxy.open_requests import OpenRequest
from juniperreel.proxy.options import DriverOptions
from juniperreel.proxy.request_driver import RequestDriver
from juniperreel.proxy.requests import (
    Answer,
    ClientRequest,
    Failed,
    MysqlErrorCode,
    Rejected,
    Served,
    StatementFailed,
    Transaction,
    TransactionMode,
    TransactionResult,
)

__all__ = [
    "Answer",
    "ClientRequest",
    "DriverOptions",
    "Failed",
    "MysqlErrorCode",
    "OpenRequest",
    "Rejected",
    "RequestDriver",
    "Served",
    "StatementFailed",
    "Transaction",
    "TransactionMode",
    "TransactionOutcomeUnknownError",
    "TransactionResult",
    "TransactionRolledBackError",
]
