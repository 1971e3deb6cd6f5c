"""Settings, events and actions of the router.

Times, durations and log positions are whole microseconds on the host's clock. Positions are rounded down and
commit times up, so that comparing the two errs on the safe side.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """The effect of executing a request a second time."""

    IDEMPOTENT = "repeatable"  # no further effect
    KEYED = "keyed"  # no further effect where the endpoint recognises the idempotency key
    NON_IDEMPOTENT = "once"  # takes effect a second time


class KeyScope(Enum):
    """Which endpoints recognise the idempotency key of a request that another endpoint executed."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class Consistency(Enum):
    """How recent the data that serves a request class must be."""

    WRITE = "write"  # a write: primary only
    FRESH = "fresh"  # includes every committed write: primary only
    SESSION = "session"  # includes the writes of the request's own session
    BOUNDED = "bounded"  # at most `RequestClass.max_staleness_us` behind
    ANY = "any"


class StalenessGuard(Enum):
    """How a replica that lags too far behind handles a read."""

    OFF = "off"  # serves it from stale data
    REFUSE = "refuse"
    WAIT = "wait"  # until it has caught up or a time-out expires


class Readiness(Enum):
    """The state of an endpoint in the endpoint list."""

    READY = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateKind(Enum):
    """The kind of an `EndpointUpdate`, or the reason why a call brought none."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "saved"  # a snapshot stored before this process started
    FAILED = "failed"
    TIMED_OUT = "silent"  # a watch that sent nothing within its wait time: broken, but not rejected


class Role(Enum):
    """The role of an endpoint in its replication group."""

    UNKNOWN = "unknown"
    PRIMARY = "primary"
    REPLICA = "replica"


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # not executed: the endpoint is overloaded
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection, therefore not executed
    RESET = "reset"  # the connection broke after the request was sent
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    INELIGIBLE = "miss"  # not executed: the endpoint is not the primary, or lags too far behind


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The requirements and the priority of one class of requests."""

    name: str
    idempotency: Idempotency
    key_scope: KeyScope
    deduplication_window_us: int  # how long an idempotency key is recognised
    consistency: Consistency
    max_staleness_us: int
    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_weight: float  # fraction of the weight left for a response after the objective
    latency_objective_stretch: float = 0.0
    streaming: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share of the capacity."""

    name: str
    capacity_share: float
    quota_rps: float


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs of operations, relative to the weight of one request."""

    cross_zone: float = 0.0
    waste: float = 0.0
    health_check: float = 0.0
    late_failure: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment settings that a router starts with."""

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
    removed_endpoints_serve: bool  # leaving the list does not forbid new requests; only draining does
    slow_start_initial_capacity: float  # fraction of its capacity that an endpoint has when it starts
    slow_start_us: int
    overload_multiple: float  # of its current capacity, at which a warming endpoint fails
    overload_window_us: int
    must_poll: bool
    poll_interval_us: int
    staleness_guard: StalenessGuard
    staleness_wait_us: int
    requests_carry_session_age: bool
    responses_carry_position: bool
    list_names_primary: bool
    responses_may_be_lost: bool = False  # a response in transit counts as received but may never arrive


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
    """An endpoint's own report, as of its last refresh; None for values that it does not report."""

    position_us: int | None = None
    is_primary: bool | None = None
    in_flight: float | None = None
    queued: float | None = None


# Events


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update from discovery, or a discovery call that ended without one."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; `session_age_us`, if known, is the time since its session's last write."""

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
    """The first byte of a streamed response was forwarded to the client."""

    request: str
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt, reported exactly once.

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
    """The client no longer waits for an answer to the request."""

    request: str


@dataclass(frozen=True, slots=True)
class DeadlineShortened:
    """An open request has an earlier deadline, because its host is shutting down."""

    request: str
    deadline_us: int


@dataclass(frozen=True, slots=True)
class EndpointClockAdjusted:
    """The host corrected its conversion of endpoint times: they are `shift_us` later on its clock."""

    shift_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    key: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The end of a health check, reported exactly once."""

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
    """Start the request's next attempt; a time-out of 0 means none but the client's."""

    request: str
    endpoint: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; an `AttemptEnded` must still follow."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """The final answer: a retry is safe; a `retry_after_us` of 0 gives no hint."""

    request: str
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """The final answer: the effect is unknown."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` with this key."""

    delay_us: int
    key: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Request an endpoint's load report; one `HealthCheckEnded` must follow."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Reopen the watch of the endpoint list, or close it."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Poll the endpoint list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A message for the operators' log."""

    message: str


Action = Send | Cancel | Reject | Fail | SetTimer | StartHealthCheck | Subscribe | FetchEndpointList | Log
