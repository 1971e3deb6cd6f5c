"""What a driver is started with. All of it comes from the settings file; nothing here is a decision."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from juniperreel.pool.config import BackendConfig, PoolConfig
from juniperreel.routing.types import (
    Settings,
)
from juniperreel.rpc.limits import Limits


@dataclass(frozen=True, slots=True)
class MysqlMembers:
    """Members speak MySQL. `transaction_us`: how long one may last; `sizes` of each member's pool."""

    login: BackendConfig
    transaction_us: int
    sizes: PoolConfig


@dataclass(frozen=True, slots=True)
class DriverOptions:
    """Spans are microseconds."""

    name: str
    router: Settings
    seed: int
    groups: int
    hosts: tuple[str, int]  # address of the host list
    saved_list: Path | None  # the last good list, kept for a start without the host list
    skew_us: int  # how far clocks of groups and edges differ at most
    answer_margin_us: int  # taken off each deadline, for the answer's way back
    max_open: int  # requests in hand
    member_attempts: int  # attempts at once on one member's connection
    connect_timeout_us: int
    probe_timeout_us: int
    list_timeout_us: int  # for a fetch, and for a watch's first list
    limits: Limits
    saves_list: bool = True  # one of several drivers that share the file does
    mysql: MysqlMembers | None = None  # else they speak gRPC
    instances: tuple[tuple[str, int], ...] = ()  # of the configuration; if any, in place of the host list
