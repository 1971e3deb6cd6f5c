"""Hosts a `Router` in the edge: passes it events and carries out its actions. Makes no routing decisions.

Every request passes from the front end through the driver to the router, and from the router through the
driver to an endpoint; the response returns to the front end through the driver. There is no other path.
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
