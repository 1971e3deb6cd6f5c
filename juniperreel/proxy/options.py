"""Options of a request driver, built from the settings file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from juniperreel.pool.config import BackendConfig, PoolConfig
from juniperreel.routing.types import Settings
from juniperreel.rpc.limits import Limits


@dataclass(frozen=True, slots=True)
class MysqlEndpointOptions:
    """Options of MySQL endpoints; `pool_sizes` applies to each endpoint's connection pool."""

    login: BackendConfig
    transaction_timeout_us: int
    pool_sizes: PoolConfig


@dataclass(frozen=True, slots=True)
class DriverOptions:
    """Options of one `RequestDriver`. Durations are in microseconds."""

    name: str
    router: Settings
    seed: int
    groups: int
    discovery_address: tuple[str, int]
    cached_list_path: Path | None  # last valid endpoint list, for a start without discovery
    skew_us: int  # upper bound on the difference between the clocks of groups and edges
    answer_margin_us: int  # subtracted from each deadline, for sending the answer to the client
    max_open_requests: int
    max_attempts_per_endpoint: int  # concurrent attempts on one endpoint's gRPC connection
    connect_timeout_us: int
    health_check_timeout_us: int
    discovery_timeout_us: int  # for a poll, and for a watch's first message
    limits: Limits
    writes_cached_list: bool = True  # only one of the drivers that share the file writes it
    mysql: MysqlEndpointOptions | None = None  # None for gRPC endpoints
    configuration_addresses: tuple[tuple[str, int], ...] = ()  # Raft instances; replace discovery if set
