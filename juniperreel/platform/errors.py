"""Errors of the platform's driver, under one base class."""

from __future__ import annotations


class PlatformError(Exception):
    """Base class of all errors raised by this package."""


class ConfigError(PlatformError):
    """The configuration file is invalid; the message says why."""


class InvalidRequestError(PlatformError):
    """A client's request is invalid.

    `sqlstate` and `message` are sent to the client.
    """

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate
        self.message = message


class DiscoveryCallError(PlatformError):
    """A call to discovery returned no endpoint list; the message says why."""


class EndpointListError(PlatformError):
    """The response of discovery is not a valid endpoint list; the message says why."""
