"""Errors of the verification package."""

from __future__ import annotations

from pathlib import Path


class VerificationError(Exception):
    """Base of all errors that this package raises."""


class RecordingFormatError(VerificationError, ValueError):
    """A line of a recording cannot be decoded as a record."""

    def __init__(self, path: Path, line: int, reason: str) -> None:
        super().__init__(f"{path}:{line}: {reason}")
        self.path = path
        self.line = line  # from 1
        self.reason = reason


class IncompleteRecordingError(VerificationError, ValueError):
    """A recording lacks a record without which a rule cannot be checked."""

    def __init__(self, missing: str, needed_by: str) -> None:
        super().__init__(f"the recording has no {missing}, which {needed_by} needs")
        self.missing = missing
        self.needed_by = needed_by


class SafetyViolationError(VerificationError):
    """A safety property of Raft is violated; the message says which one, and where."""
