"""Requests to a pool, leases on its connections, and the actions it asks its caller to carry out."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT", bound=Hashable)
NO_DEADLINE_US = 1 << 62
NO_TENANT = -1


class RejectionReason(StrEnum):
    """Why a request got no connection. The values are label values of a metric: do not change them."""

    TIMED_OUT = "no connection came free in time"
    QUEUE_FULL = "too many wait"
    UNREACHABLE = "it cannot be reached"
    DRAINING = "it has left"


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """A request for one connection.

    Attributes:
        id: Unique among the requests of one pool.
        priority_weight: Higher goes first within a tenant.
        session_state: A connection whose state equals it is preferred, since nothing has to be replayed.
    """

    id: Hashable
    tenant: int = NO_TENANT
    priority_weight: float = 1.0
    deadline_us: int = NO_DEADLINE_US
    session_state: Hashable = None


@dataclass(eq=False, slots=True)
class Lease(Generic[ConnectionT]):
    """The exclusive use of one connection for one transaction.

    Danger: releasing a lease twice would put its connection into the pool twice, so that two clients share
    it. `released` is set by the first release; the pool raises ValueError on a second.
    """

    connection: ConnectionT
    request: AcquireRequest
    released: bool = False


@dataclass(frozen=True, slots=True)
class LeaseGranted(Generic[ConnectionT]):
    """Hand the lease to whoever made its request."""

    lease: Lease[ConnectionT]


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open one connection; report `connection_opened`, `open_failed` or `open_abandoned`."""


@dataclass(frozen=True, slots=True)
class CloseConnection(Generic[ConnectionT]):
    """Close this connection; the pool has forgotten it."""

    connection: ConnectionT


@dataclass(frozen=True, slots=True)
class AcquireRejected:
    """Tell whoever made the request that it gets no connection."""

    request: AcquireRequest
    reason: RejectionReason


PoolAction = LeaseGranted[ConnectionT] | OpenConnection | CloseConnection[ConnectionT] | AcquireRejected
