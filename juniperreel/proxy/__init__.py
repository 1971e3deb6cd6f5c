"""Hosts one `Router`: tells it what happened and does what it says. Decides nothing.

A request's way is front, driver, module, driver, member, driver, front, and no other.
"""

from juniperreel.proxy.options import DriverOptions
from juniperreel.proxy.request_driver import Driver, Open
from juniperreel.proxy.requests import (
    Answer,
    Committed,
    Failed,
    Hold,
    Refused,
    Served,
    Spurned,
    Transaction,
    Work,
)
from juniperreel.proxy.transactions import Undone, Unknown

__all__ = [
    "Answer",
    "Committed",
    "Driver",
    "DriverOptions",
    "Failed",
    "Hold",
    "Open",
    "Refused",
    "Served",
    "Spurned",
    "Transaction",
    "Undone",
    "Unknown",
    "Work",
]
