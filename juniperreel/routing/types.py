"""Settings, events and actions of the router.

Times, durations and log positions are whole microseconds on the host's clock. A position is rounded
down and a commit time up, so that comparing the two errs on the safe side. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "repeatable"  # nothing more than the first
    KEYED = "keyed"  # nothing more, where the endpoint recognises the request's idempotency key
    NON_IDEMPOTENT = "once"  # its effect a second time


class KeyScope(Enum):
    """Which endpoints recognise the idempotency key of a request that another one has executed."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class Consistency(Enum):
    """How recent the data must be that a request class is served from."""

    WRITE = "write"  # a write: the primary alone
    FRESH = "fresh"  # every committed write: the primary alone
    SESSION = "session"  # at least the writes of the request's own session
    BOUNDED = "bounded"  # at most `RequestClass.max_staleness_us` behind
    ANY = "any"


class StalenessGuard(Enum):
    """What a replica that is too far behind does with a read."""

    OFF = "off"  # serves it from old data
    REFUSE = "refuse"
    WAIT = "wait"  # until it has caught up, or a time-out


class Readiness(Enum):
    """What the endpoint list says of an endpoint."""

    READY = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateKind(Enum):
    """What an `EndpointUpdate` is, or why there is none."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "saved"  # a snapshot from before this process started
    FAILED = "failed"
    TIMED_OUT = "silent"  # a watch that sent nothing within its wait: broken, though nobody rejected it


class Role(Enum):
    """What an endpoint is in its replication group."""

    UNKNOWN = "unknown"
    PRIMARY = "primary"
    REPLICA = "replica"


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # not executed: the endpoint is overloaded
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection, so not executed
    RESET = "reset"  # the connection broke after the request was sent
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    INELIGIBLE = "miss"  # not executed: the endpoint is no primary, or too far behind


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What requests of one kind ask for, and what serving them is worth."""

    name: str
    idempotency: Idempotency
    key_scope: KeyScope
    deduplication_window_us: int  # for how long an idempotency key is recognised
    consistency: Consistency
    max_staleness_us: int
    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_weight: float  # part of the weight that a response after the objective still has
    latency_objective_stretch: float = 0.0
    streaming: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its part of the capacity."""

    name: str
    capacity_share: float
    quota_rps: float


@dataclass(frozen=True, slots=True)
class Prices:
    """What operations cost, as a part of the weight of one request."""

    cross_zone: float = 0.0
    waste: float = 0.0
    health_check: float = 0.0
    late_failure: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a router is told of its deployment when it starts."""

    router_count: int  # in the whole fleet
    zone: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    over_quota_weight: float
    prices: Prices
    max_attempts: int
    cancellation: bool
    health_checks: bool
    hedging: bool
    retry_after_hints: bool
    max_retry_after_us: int
    response_grace_us: int
    drain_grace_us: int
    removed_endpoints_serve: bool  # only draining forbids new requests; leaving the list doesn't
    slow_start_initial_capacity: float  # part of its capacity that an endpoint has when it starts
    slow_start_us: int
    overload_multiple: float  # of its capacity of the moment, at which a warming endpoint fails
    overload_window_us: int
    must_poll: bool
    poll_interval_us: int
    staleness_guard: StalenessGuard
    staleness_wait_us: int
    requests_carry_session_age: bool
    responses_carry_position: bool
    list_names_primary: bool
    responses_may_be_lost: bool = False  # a response on its way counts as received, but may never arrive


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list: a process that serves one group's data."""

    id: str
    group: int
    zone: int
    machine_type: int
    readiness: Readiness
    listed_primary: bool
    capacity: float  # relative to the other endpoints
    started_us: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint reports of itself, as old as its last refresh; None where it reports nothing."""

    position_us: int | None = None
    is_primary: bool | None = None
    in_flight: float | None = None
    queued: float | None = None


# Events


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A message from discovery, or the end of a call to it that brought none."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; `session_age_us`, where carried, is the time since its session's last write."""

    id: str
    class_index: int
    tenant_index: int
    group: int
    deadline_us: int
    session: str | None = None
    session_age_us: int | None = None
    expected_duration_us: int | None = None
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first byte of a streamed response has gone to the client."""

    request: str
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one end of an attempt.

    `position_us` is the endpoint's applied position, or the commit time of a successful write.
    """

    request: str
    attempt: int
    endpoint: str
    outcome: Outcome
    duration_us: int
    request_finished: bool
    role: Role
    position_us: int | None
    load_report: LoadReport | None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Nobody waits for the request's answer any more."""

    request: str


@dataclass(frozen=True, slots=True)
class DeadlineShortened:
    """An open request must be answered earlier than was said, because its host is shutting down."""

    request: str
    deadline_us: int


@dataclass(frozen=True, slots=True)
class EndpointClockAdjusted:
    """The host found that times of endpoints lie `shift_us` later on its clock than it said up to now."""

    shift_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of `SetTimer` is due."""

    key: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The one end of a health check."""

    endpoint: str
    outcome: Outcome
    duration_us: int
    load_report: LoadReport | None


Event = (
    EndpointUpdate
    | Request
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | DeadlineShortened
    | EndpointClockAdjusted
    | TimerFired
    | HealthCheckEnded
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt; a time-out of 0 lasts until the client gives up."""

    request: str
    endpoint: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; its end is still owed."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """The final answer: nothing took effect that a retry could double; 0 gives no retry-after hint."""

    request: str
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """The final answer: the effect is unknown."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` with this key."""

    delay_us: int
    key: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Ask an endpoint for its load report; one `HealthCheckEnded` is owed."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open the watch of the endpoint list anew, or end it."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Poll the endpoint list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators' log."""

    message: str


Action = Send | Cancel | Reject | Fail | SetTimer | StartHealthCheck | Subscribe | FetchEndpointList | Log
