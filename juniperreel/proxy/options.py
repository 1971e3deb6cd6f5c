"""What a request driver is started with. All of it is set in the settings file; nothing here decides."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from juniperreel.pool.config import BackendConfig, PoolConfig
from juniperreel.routing.types import Settings
from juniperreel.rpc.limits import Limits


@dataclass(frozen=True, slots=True)
class MysqlEndpointOptions:
    """How to reach endpoints that speak MySQL; `pool_sizes` applies to each endpoint's connection pool."""

    login: BackendConfig
    transaction_timeout_us: int
    pool_sizes: PoolConfig


@dataclass(frozen=True, slots=True)
class DriverOptions:
    """Settings of one `RequestDriver`. Durations are microseconds."""

    name: str
    router: Settings
    seed: int
    groups: int
    discovery_address: tuple[str, int]
    cached_list_path: Path | None  # the last good endpoint list, for a start without discovery
    skew_us: int  # upper bound on the difference between the clocks of groups and edges
    answer_margin_us: int  # subtracted from each deadline, for the way of the answer to the client
    max_open_requests: int
    max_attempts_per_endpoint: int  # concurrent attempts on one endpoint's gRPC connection
    connect_timeout_us: int
    health_check_timeout_us: int
    discovery_timeout_us: int  # of a poll, and of the wait for a watch's first message
    limits: Limits
    writes_cached_list: bool = True  # of several drivers that share the file, one writes it
    mysql: MysqlEndpointOptions | None = None  # None: endpoints speak gRPC
    configuration_addresses: tuple[tuple[str, int], ...] = ()  # Raft instances; replace discovery if given
