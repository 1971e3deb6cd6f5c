"""Errors of the fakes package."""

from __future__ import annotations


class FakesError(Exception):
    """Base of all errors that this package raises."""


class StatementError(FakesError):
    """A statement cannot be executed, whoever executes it."""


class QueueFullError(FakesError):
    """An endpoint's queue for its cores accepts no more requests."""
