"""Configuration of connections and pools. Times are in microseconds."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

DEFAULT_MAX_PACKET_BYTES = 64 << 20
DEFAULT_MAX_RESULT_BYTES = 1 << 20
DEFAULT_MAX_PREPARED_STATEMENTS = 200


@dataclass(frozen=True, slots=True)
class BackendConfig:
    """Credentials and buffer limits of the connections to a backend's servers.

    Attributes:
        max_result_bytes: The maximum size of a result that may not be streamed; a larger one is an error.
        max_prepared_statements: The maximum number of statements cached per connection.
    """

    user: str
    password: bytes
    database: str = ""
    tls: ssl.SSLContext | None = None
    max_packet_bytes: int = DEFAULT_MAX_PACKET_BYTES
    max_result_bytes: int = DEFAULT_MAX_RESULT_BYTES
    max_prepared_statements: int = DEFAULT_MAX_PREPARED_STATEMENTS


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """Limits of the pool of one endpoint.

    Attributes:
        max_connections: The maximum number of leased, idle and opening connections.
        min_connections: The number of connections kept open even when idle.
        max_waiters: The maximum number of requests waiting for a connection.
        acquire_timeout_us: The maximum time that a request waits.
        idle_timeout_us: The time after which an idle connection above `min_connections` is closed.
        max_lifetime_us: The age after which a connection is not leased again; each gets 80 to 100% of it.
        open_rate: The sustained rate of connection openings, per second.
        open_burst: The number of connections that may be opened at once.
        tenant_shares: The relative share of each tenant, by tenant number.
    """

    max_connections: int
    min_connections: int = 0
    max_waiters: int = 1000
    acquire_timeout_us: int = 250_000
    idle_timeout_us: int = 60_000_000
    max_lifetime_us: int = 3_600_000_000
    open_rate: float = 50.0
    open_burst: float = 8.0
    tenant_shares: tuple[float, ...] = ()
