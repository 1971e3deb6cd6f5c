"""Input and output records of the admission controller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RejectionReason(StrEnum):
    """Why a request was rejected. The values are labels of `juniperreel_rejected_total`."""

    GROUP_AT_LIMIT = "the group is at its limit"
    PROCESS_AT_LIMIT = "this edge is at its limit"
    DEADLINE_TOO_CLOSE = "too late to be answered in time"
    QUEUED_TOO_LONG = "the wait for the group's members was too long"
    OUTRANKED = "others are worth more"
    SHUTTING_DOWN = "the edge is stopping"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has just arrived.

    `readable_us` is when its bytes became readable on the socket; time spent in the socket buffer counts as
    time queued. `bypasses_limits` marks a request that is always admitted, such as the commit of an open
    transaction.
    """

    id: str
    class_index: int
    tenant_index: int
    group: int
    readable_us: int
    deadline_us: int
    is_retry: bool = False
    bypasses_limits: bool = False


@dataclass(frozen=True, slots=True)
class Admission:
    """Forward the request to the router now."""

    request: str


@dataclass(frozen=True, slots=True)
class Rejection:
    """Reject the request now; it was not forwarded to any endpoint."""

    request: str
    reason: RejectionReason
    retry_after_us: int


Decision = Admission | Rejection
