"""The settings of an edge as typed records. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from juniperreel.routing.types import Settings
from juniperreel.settings.values import Address


class TokenKey(NamedTuple):
    """A secret that signs causal tokens, and the id that is written into them."""

    id: int
    secret: bytes


class UserPassword(NamedTuple):
    """A client's user name and password."""

    name: str
    password: bytes


class TlsFiles(NamedTuple):
    """A certificate chain and its private key, both PEM."""

    certificate: Path
    key: Path


@dataclass(frozen=True, slots=True)
class StatementMatch:
    """Assigns statements to a class and a tenant. A condition that is None matches anything.

    Attributes:
        write: Whether it matches writes, or reads.
        digest: Of the statement's normalized text.
    """

    write: bool
    user: str | None
    schema: str | None
    hint: str | None
    digest: str | None
    class_name: str
    tenant: str | None


@dataclass(frozen=True, slots=True)
class MysqlFrontendSettings:
    """The MySQL frontend.

    Attributes:
        read_class: The class of reads that no match assigns to another.
        write_class: The class of such writes.
        tenant: Of statements that no match assigns to another; empty if there are no tenants.
        matches: The first one that matches decides.
    """

    listen: Address
    users: tuple[UserPassword, ...]
    read_class: str
    write_class: str
    tenant: str
    max_connections: int
    tls: TlsFiles | None = None
    matches: tuple[StatementMatch, ...] = ()
    auth_plugin: str = "caching_sha2_password"


@dataclass(frozen=True, slots=True)
class MysqlEndpointSettings:
    """Endpoints that speak MySQL: the login, and the connection pool of each.

    Attributes:
        max_transaction_us: After which an open transaction is rolled back.
        certificate_authorities: What endpoints are verified against; None for connections without TLS.
    """

    user: str
    password: bytes
    database: str
    max_transaction_us: int
    certificate_authorities: Path | None
    max_connections: int
    min_connections: int
    acquire_timeout_us: int
    idle_timeout_us: int
    max_lifetime_us: int
    open_rate: float


@dataclass(frozen=True, slots=True)
class EdgeSettings:
    """All that an edge is started with.

    Attributes:
        host_list: Where the list of endpoints is fetched from, unless there are `configuration_instances`.
        saved_list: The file with the last good endpoint list.
        saves_list: Whether this process writes it: one of several workers does.
        answer_margin_us: Taken off each deadline, for the response's way back.
        shutdown_timeout_us: After which a graceful shutdown is cut short.
        max_clock_skew_us: The bound on the difference between clocks of groups and edges.
        mysql_endpoints: None if endpoints speak gRPC.
    """

    name: str
    listen: Address
    metrics: Address | None
    groups: int
    workers: int
    seed: int | None
    host_list: Address
    configuration_instances: tuple[Address, ...]
    saved_list: Path | None
    list_timeout_us: int
    router: Settings
    answer_margin_us: int
    max_open_requests: int
    max_attempts_per_endpoint: int
    max_connections: int
    max_message_bytes: int
    max_metadata_bytes: int
    connect_timeout_us: int
    health_check_timeout_us: int
    shutdown_timeout_us: int
    token_keys: tuple[TokenKey, ...]
    max_clock_skew_us: int
    log_format: str
    log_level: str
    span_file: Path | None
    mysql_frontend: MysqlFrontendSettings | None
    mysql_endpoints: MysqlEndpointSettings | None = None
    saves_list: bool = True
