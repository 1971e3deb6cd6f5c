"""What the model of a fleet knows of its endpoints, routers and attempts: plain records, no decision."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from juniperreel.routing.types import Endpoint, Readiness


class AttemptKey(NamedTuple):
    """Which attempt of which router's request."""

    router: int
    request: str
    number: int


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt as it was sent; it is void once its router's incarnation is over."""

    key: AttemptKey
    incarnation: int
    endpoint: str


@dataclass(slots=True)
class EndpointModel:
    """One endpoint."""

    name: str
    primary: bool = False
    cores: int = 4
    speed: float = 1.0
    error_rate: float = 0.0  # part of its attempts that it answers with a fast error
    alive: bool = True
    started_us: int = 0
    readiness: Readiness = Readiness.READY
    busy: int = 0
    queue: deque[AttemptKey] = field(default_factory=deque)

    def list_entry(self) -> Endpoint:
        """Return the endpoint as the endpoint list has it."""
        return Endpoint(self.name, 0, 0, 0, self.readiness, self.primary, 1.0, self.started_us)


@dataclass(slots=True)
class RouterRecord:
    """What the play knows of one router, beside the router itself."""

    rate_per_s: float  # of the reads that arrive at it
    incarnation: int = 0  # counts its restarts
    arrived: int = 0
    served_in_time: int = 0  # of the requests: within the latency objective
    open_requests: dict[str, int] = field(default_factory=dict)  # without an answer; when they arrived
    attempt_counts: dict[str, int] = field(default_factory=dict)  # by request

    def restart(self) -> None:
        """Begin a new incarnation, without the requests of the old one."""
        self.incarnation += 1
        self.open_requests = {}
        self.attempt_counts = {}
