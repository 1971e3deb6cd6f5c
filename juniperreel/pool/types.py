"""Pool requests, leases, and the actions that the pool's caller executes."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT", bound=Hashable)
NO_DEADLINE_US = 1 << 62
NO_TENANT = -1


class RejectionReason(StrEnum):
    """Why a request was rejected. The values are label values of a metric: do not change them."""

    TIMED_OUT = "no connection came free in time"
    QUEUE_FULL = "too many wait"
    UNREACHABLE = "it cannot be reached"
    DRAINING = "it has left"


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """A request for one connection.

    Attributes:
        id: Unique among the requests of a pool.
        priority_weight: Higher weights are served first within a tenant.
        session_state: A connection with an equal state is preferred, since nothing has to be replayed.
        waiting_since_us: When the caller first waited; it keeps its place if it requests again. None: now.
    """

    id: Hashable
    tenant: int = NO_TENANT
    priority_weight: float = 1.0
    deadline_us: int = NO_DEADLINE_US
    session_state: Hashable = None
    waiting_since_us: int | None = None


@dataclass(eq=False, slots=True)
class Lease(Generic[ConnectionT]):
    """Exclusive use of a connection for one transaction.

    Danger: releasing a lease twice would add its connection to the pool twice, and two clients would share
    it. The first release sets `released`; the pool raises ValueError on a second one.
    """

    connection: ConnectionT
    request: AcquireRequest
    released: bool = False


@dataclass(frozen=True, slots=True)
class LeaseGranted(Generic[ConnectionT]):
    """Deliver the lease to its requester."""

    lease: Lease[ConnectionT]


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection, then call `connection_opened`, `open_failed` or `open_cancelled`."""


@dataclass(frozen=True, slots=True)
class CloseConnection(Generic[ConnectionT]):
    """Close the connection, which the pool has already removed."""

    connection: ConnectionT


@dataclass(frozen=True, slots=True)
class AcquireRejected:
    """Notify the requester that its request was rejected."""

    request: AcquireRequest
    reason: RejectionReason


PoolAction = LeaseGranted[ConnectionT] | OpenConnection | CloseConnection[ConnectionT] | AcquireRejected
