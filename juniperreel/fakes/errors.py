"""Errors of the fakes package."""

from __future__ import annotations


class FakesError(Exception):
    """Base of all errors that this package raises."""


class StatementError(FakesError):
    """A statement is invalid and cannot be executed by any endpoint."""


class QueueFullError(FakesError):
    """The queue for an endpoint's cores is full."""


class MysqlError(FakesError):
    """An error that a MySQL client receives as an ERR packet."""

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


class UnknownTargetError(FakesError, ValueError):
    """A fault names a target that does not exist."""

    def __init__(self, target: str) -> None:
        super().__init__(f"unknown fault target {target!r}")
        self.target = target


class PartEndedError(FakesError, RuntimeError):
    """A process that runs some of a fleet's groups exited prematurely."""

    def __init__(self, part: int) -> None:
        super().__init__(f"process of fleet part {part} exited unexpectedly")
        self.part = part
