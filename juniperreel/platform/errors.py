"""Errors of the platform's driver, under one base class."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of all errors that this package raises."""


class ConfigError(PlatformError):
    """The file is not a valid configuration; the message says where."""


class InvalidRequestError(PlatformError):
    """A client's request is rejected for a fault of its own.

    `sqlstate` is the code and `message` the text that the client is sent.
    """

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate
        self.message = message


class DiscoveryCallError(PlatformError):
    """A call to discovery brought no endpoint list; the message says why."""


class EndpointListError(PlatformError):
    """The response of discovery is no endpoint list; the message says why."""
