"""Errors of the testbed: failures of a trial itself, not of the program under test."""

from __future__ import annotations

from typing import Any


class TrialError(RuntimeError):
    """A trial cannot continue."""


class ProcessStateError(TrialError):
    """An operation is invalid in the current state of a process, such as freezing a frozen process."""

    def __init__(self, process: str, state: str) -> None:
        super().__init__(f"{process} {state}")
        self.process = process
        self.state = state


class ProcessLostError(TrialError):
    """A process of the trial exited early; `output` is the tail of its log."""

    def __init__(self, process: str, output: str) -> None:
        super().__init__(f"{process} ended: {output}")
        self.process = process
        self.output = output


class DriverStartError(TrialError):
    """A driver exited before it listened; `output` is the tail of its log."""

    def __init__(self, driver: str, output: str) -> None:
        super().__init__(f"{driver} did not start: {output}")
        self.driver = driver
        self.output = output


class ConnectionEndedError(TrialError):
    """The peer closed a control connection, or sent a line that exceeds the length limit."""


class UnexpectedMessageError(TrialError):
    """A control message arrived that is not valid in the receiver's current state."""

    def __init__(self, message: Any, expected: str) -> None:
        super().__init__(f"expected {expected}, received {message}")
        self.message = message
        self.expected = expected


class UnknownTargetError(TrialError, ValueError):
    """The target of a fault matches no driver."""

    def __init__(self, target: str) -> None:
        super().__init__(f"no driver is named by {target!r}")
        self.target = target
