"""Types that the decision module takes in and gives out.

Times, spans and log positions are whole microseconds on the driver's clock. A position
is rounded down and a commit time up, so that comparing the two errs on the safe side.
Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a second execution of a request would do."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class KeyScope(Enum):
    """Which members recognise the key of a keyed request that another one has seen."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class Consistency(Enum):
    """How new the data must be that a class is served from."""

    WRITE = "write"
    FRESH = "fresh"
    SESSION = "session"
    BOUNDED = "bounded"
    ANY = "any"


class Guard(Enum):
    """What a replica that is too far behind does with a read."""

    OFF = "off"
    REFUSE = "refuse"
    WAIT = "wait"


class Readiness(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"
    SILENT = "silent"  # a watch that said nothing when its wait was over: broken, nobody turned it away


class Role(Enum):
    UNKNOWN = "unknown"
    PRIMARY = "primary"
    REPLICA = "replica"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    MISS = "miss"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    effect: Effect
    key_scope: KeyScope
    memory_span_us: int
    consistency: Consistency
    lag_allowed_us: int
    aim_us: int
    deadline_us: int
    worth: float
    late_worth: float
    aim_stretch: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    fraction: float
    quota_rps: float


@dataclass(frozen=True, slots=True)
class Prices:
    """What a driver's habits cost, as a part of the worth of one request."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    routers: int
    zone: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    prices: Prices
    max_attempts: int
    cancelling: bool
    probes: bool
    second_copies: bool
    retry_hints: bool
    max_retry_after_us: int
    answer_grace_us: int
    drain_grace_us: int
    only_draining_binds: bool
    cold_from: float
    cold_us: int
    fall_multiple: float
    overload_us: int
    must_ask: bool
    ask_every_us: int
    guard: Guard
    guard_wait_us: int
    carried_age: bool
    positions_in_answers: bool
    list_shows_role: bool
    answers_get_lost: bool = False  # an answer on the way counts as had, though it may never arrive


@dataclass(frozen=True, slots=True)
class Member:
    """One line of a member list."""

    id: str
    group: int
    zone: int
    kind: int
    readiness: Readiness
    listed_primary: bool
    size: float
    started_us: int


@dataclass(frozen=True, slots=True)
class Report:
    """What a member says of itself, as old as its last refresh; None where it says nothing."""

    position_us: int | None = None
    primary: bool | None = None
    in_hand: float | None = None
    waiting: float | None = None


# Events


@dataclass(frozen=True, slots=True)
class MemberList:
    kind: ListKind
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Request:
    id: str
    cls: int
    tenant: int
    group: int
    deadline_us: int
    session: str | None = None
    session_age_us: int | None = None
    expected_us: int | None = None
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: str
    attempt: int
    member: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """`position_us` is the member's position, or the commit time of a write that went through."""

    request: str
    attempt: int
    member: str
    outcome: Outcome
    took_us: int
    finished: bool
    role: Role
    position_us: int | None
    report: Report | None


@dataclass(frozen=True, slots=True)
class RequestGone:
    request: str


@dataclass(frozen=True, slots=True)
class DeadlineCut:
    """A request in hand must have its answer earlier than was said: its driver is told to end."""

    request: str
    deadline_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    key: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    member: str
    outcome: Outcome
    took_us: int
    report: Report | None


Event = (
    MemberList | Request | StreamStarted | AttemptEnded | RequestGone | DeadlineCut | TimerFired | ProbeEnded
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt; a time-out of 0 lasts until the client gives up."""

    request: str
    member: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: nothing took effect that a repeat could double; 0 gives no hint when to return."""

    request: str
    not_before_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: the effect is unknown."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    after_us: int
    key: int


@dataclass(frozen=True, slots=True)
class Probe:
    member: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Subscribe | FetchList | Log
