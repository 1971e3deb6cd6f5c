"""The state of the simulated fleet: records of endpoints, routers and attempts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from juniperreel.routing.types import Endpoint, Readiness


class AttemptKey(NamedTuple):
    """Identifies an attempt of a request at a router."""

    router: int
    request: str
    number: int


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt as it was sent; it is ignored once its router has restarted."""

    key: AttemptKey
    incarnation: int
    endpoint: str


@dataclass(slots=True)
class EndpointModel:
    """A simulated endpoint."""

    name: str
    primary: bool = False
    cores: int = 4
    speed: float = 1.0
    error_rate: float = 0.0  # fraction of attempts that it answers with a fast error
    alive: bool = True
    started_us: int = 0
    readiness: Readiness = Readiness.READY
    busy: int = 0
    queue: deque[AttemptKey] = field(default_factory=deque)

    def list_entry(self) -> Endpoint:
        """Return the endpoint's entry in the endpoint list."""
        return Endpoint(self.name, 0, 0, 0, self.readiness, self.primary, 1.0, self.started_us)


@dataclass(slots=True)
class RouterRecord:
    """The simulation's record of one router."""

    rate_per_s: float  # arrival rate of reads
    incarnation: int = 0  # number of restarts
    arrived: int = 0
    served_in_time: int = 0  # requests served within the latency objective
    open_requests: dict[str, int] = field(default_factory=dict)  # unanswered requests, with arrival times
    attempt_counts: dict[str, int] = field(default_factory=dict)  # by request

    def restart(self) -> None:
        """Begin a new incarnation and drop the open requests."""
        self.incarnation += 1
        self.open_requests = {}
        self.attempt_counts = {}
