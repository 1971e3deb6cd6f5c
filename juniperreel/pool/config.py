"""Settings of connections and pools. Plain records; times are microseconds."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

DEFAULT_MAX_PACKET_BYTES = 64 << 20
DEFAULT_MAX_RESULT_BYTES = 1 << 20
DEFAULT_MAX_PREPARED_STATEMENTS = 200


@dataclass(frozen=True, slots=True)
class BackendConfig:
    """How connections log in to a backend's servers, and what each of them may buffer.

    Attributes:
        max_result_bytes: Of one result that may not be streamed; a longer one is an error.
        max_prepared_statements: Cached on one connection.
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
        max_connections: Leased, idle and opening ones together.
        min_connections: Kept open even when idle.
        max_waiters: Requests that may wait for a connection at once.
        acquire_timeout_us: How long a request may wait.
        idle_timeout_us: After which an idle connection beyond `min_connections` is closed.
        max_lifetime_us: After which a connection is not leased again; each gets 80 to 100% of it.
        open_rate: Connections opened per second, sustained.
        open_burst: Connections opened at once.
        tenant_shares: Relative share of each tenant, by tenant number.
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
