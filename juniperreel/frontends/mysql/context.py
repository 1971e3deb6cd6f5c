"""Settings and collaborators that all connections of the MySQL front end share."""

from __future__ import annotations

import ssl
from collections.abc import Mapping
from dataclasses import dataclass

from juniperreel.causal import Keyring
from juniperreel.frontends.mysql.classification import RequestClassifier
from juniperreel.mysql.auth import SHA2, Credential
from juniperreel.net import Clock
from juniperreel.proxy import RequestDriver
from juniperreel.statements import StatementClassifier


@dataclass(frozen=True, slots=True)
class MysqlOptions:
    """The settings of the front end."""

    users: Mapping[str, Credential]  # by name
    classifier: RequestClassifier
    max_connections: int
    max_packet: int  # bytes
    tls: ssl.SSLContext | None = None
    schema: str = ""  # of the endpoints; empty if they have none
    login_plugin: str = SHA2  # the one offered first; clients may ask for the other


@dataclass(frozen=True, slots=True)
class FrontendContext:
    """The shared collaborators of a connection, which owns none of them."""

    driver: RequestDriver
    keyring: Keyring
    clock: Clock
    options: MysqlOptions
    statement_classifier: StatementClassifier

    @property
    def supports_transactions(self) -> bool:
        """Whether endpoints can hold transactions: those that speak MySQL can."""
        return self.driver.options.mysql is not None
