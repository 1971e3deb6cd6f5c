"""Interface between the request driver and its endpoint connections, independent of their protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import trio

from juniperreel.proxy.errors import EndpointError
from juniperreel.proxy.positions import ReplicationStatus, RequiredPosition
from juniperreel.proxy.requests import ClientRequest, Transaction, release_result
from juniperreel.rpc.channel import CallUnprocessedError


def _always() -> bool:
    return True


@dataclass(slots=True)
class AttemptProgress:
    """How far an attempt has come, which decides its outcome if this side ends it.

    Attributes:
        sent: Set before the first byte that the endpoint may receive.
        waits_for_lease: Whether it waits for a pooled connection while other requests use some. If none is
            used, it waits for the first one to be established.
    """

    sent: trio.Event = field(default_factory=trio.Event)
    waits_for_lease: bool = False


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """One attempt at a request, as passed to the endpoint connections.

    `may_send` is called once a connection is available, which may be long after the router's decision.
    `waiting_since_us` is when the router got the request; `is_last` tells that it permits no further attempt.
    """

    request: ClientRequest
    number: int
    class_name: str
    is_write: bool
    priority_weight: float
    required: RequiredPosition
    may_send: Callable[[], bool] = _always
    waiting_since_us: int = 0
    is_last: bool = False

    def require_may_send(self) -> None:
        """Raise CallUnprocessedError if the attempt is no longer permitted."""
        if not self.may_send():
            raise CallUnprocessedError("the router no longer permits the attempt")


@dataclass(slots=True)
class AttemptResponse:
    """An endpoint's response, with its replication status at that time.

    `commit_position` is set for writes. If both `error` and `transaction` are set, the transaction is open
    and its first statement failed.
    """

    result: Any
    status: ReplicationStatus
    commit_position: int = 0
    transaction: Transaction | None = None
    error: EndpointError | None = None

    def discard(self) -> None:
        """Release the response's unread rows and its transaction."""
        release_result(self.result, self.transaction)


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """The response to a health check."""

    status: ReplicationStatus
    in_flight: float
    queued: float


class EndpointConnections(Protocol):
    """The connections of one driver to all endpoints; `run` must be running."""

    async def run(self, task_status: trio.TaskStatus[None] = ...) -> None:
        """Run the connections' tasks until cancelled."""
        ...

    def set_address(self, endpoint: str, host: str, port: int) -> None:
        """Set the endpoint's address; connections to a previous address are closed once idle."""
        ...

    def remove(self, endpoint: str) -> None:
        """Send nothing new to an endpoint that was removed from the endpoint list."""
        ...

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        ...

    async def execute(
        self, endpoint: str, attempt: AttemptRequest, timeout_us: int, progress: AttemptProgress
    ) -> AttemptResponse:
        """Make one attempt.

        Updates `progress` as described there. Raises ConnectError,
        CallUnprocessedError, CallInterruptedError, RpcError or EndpointError, which `outcomes` maps to an
        `Outcome`.
        """
        ...

    async def check_health(self, endpoint: str) -> EndpointReport:
        """Request the endpoint's report. Raises the errors of `execute`."""
        ...
