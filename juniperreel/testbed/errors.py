"""Errors of the testbed: what went wrong with a trial itself, never with the program that is tried."""

from __future__ import annotations

from typing import Any


class TrialError(RuntimeError):
    """A trial cannot go on."""


class ProcessStateError(TrialError):
    """A fault does not apply to the state a process is in: a frozen process is not frozen again."""

    def __init__(self, process: str, state: str) -> None:
        super().__init__(f"{process} {state}")
        self.process = process
        self.state = state


class ProcessLostError(TrialError):
    """A process ended before its time; `output` is the end of what it wrote to its log."""

    def __init__(self, process: str, output: str) -> None:
        super().__init__(f"{process} ended: {output}")
        self.process = process
        self.output = output


class DriverStartError(TrialError):
    """A driver ended before it listened; `output` is the end of what it wrote to its log."""

    def __init__(self, driver: str, output: str) -> None:
        super().__init__(f"{driver} did not start: {output}")
        self.driver = driver
        self.output = output


class ConnectionEndedError(TrialError):
    """The other end of a control connection has closed it, or sent a line that is too long."""


class UnexpectedMessageError(TrialError):
    """A control message came that its receiver has no use for at that time."""

    def __init__(self, message: Any, expected: str) -> None:
        super().__init__(f"expected {expected}, received {message}")
        self.message = message
        self.expected = expected


class UnknownTargetError(TrialError, ValueError):
    """A fault's target names no driver."""

    def __init__(self, target: str) -> None:
        super().__init__(f"no driver is named by {target!r}")
        self.target = target
