"""Typed settings of an edge. Durations are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from juniperreel.routing.types import Settings
from juniperreel.settings.values import Address


class TokenKey(NamedTuple):
    """A key for signing causal tokens, and the key id included in them."""

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
        write: Whether it matches writes; otherwise it matches reads.
        digest: Digest of the normalized statement text.
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
    """Settings of the MySQL front end.

    Attributes:
        read_class: Default class of reads.
        write_class: Default class of writes.
        tenant: Default tenant of statements; empty if no tenants are configured.
        matches: Overrides of the defaults; the first match wins.
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
        max_transaction_us: Open transactions are rolled back after this time.
        certificate_authorities: CA certificates for verifying endpoints; None disables TLS.
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
    """The settings of an edge.

    Attributes:
        host_list: Address to fetch the endpoint list from; unused with `configuration_instances`.
        list_cache_path: File that caches the last valid endpoint list.
        writes_list_cache: Whether this process writes that file; only one of several workers does.
        answer_margin_us: Subtracted from each deadline, to cover the response's way back to the client.
        shutdown_timeout_us: A graceful shutdown is aborted after this time.
        max_clock_skew_us: Upper bound on the clock difference between groups and edges.
        mysql_endpoints: None if endpoints use gRPC.
    """

    name: str
    listen: Address
    metrics: Address | None
    groups: int
    workers: int
    seed: int | None
    host_list: Address
    configuration_instances: tuple[Address, ...]
    list_cache_path: Path | None
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
    writes_list_cache: bool = True
