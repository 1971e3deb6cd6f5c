"""What passes between the request driver and its endpoint connections, whatever protocol endpoints speak."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import trio

from juniperreel.proxy.errors import EndpointError
from juniperreel.proxy.positions import ReplicationStatus, RequiredPosition
from juniperreel.proxy.requests import ClientRequest, Transaction, release_result
from juniperreel.rpc.channel import CallUnprocessedError


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """One attempt at a request, as endpoint connections need to know it.

    `may_send` is asked when a connection is there for it, which may be long after it was decided on.
    """

    request: ClientRequest
    number: int
    class_name: str
    is_write: bool
    priority_weight: float
    required: RequiredPosition
    may_send: Callable[[], bool] = _always

    def require_may_send(self) -> None:
        """Raise CallUnprocessedError where the attempt does not fit any more."""
        if not self.may_send():
            raise CallUnprocessedError("the attempt does not fit any more")


@dataclass(slots=True)
class AttemptResponse:
    """An endpoint's response, with its replication status at that time.

    `commit_position` is that of a write. An `error` beside a `transaction` says that the transaction is open
    and its first statement failed.
    """

    result: Any
    status: ReplicationStatus
    commit_position: int = 0
    transaction: Transaction | None = None
    error: EndpointError | None = None

    def discard(self) -> None:
        """Release what the response holds of its endpoint; nobody will read it."""
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
        """Own the connections' tasks until cancelled."""
        ...

    def set_address(self, endpoint: str, host: str, port: int) -> None:
        """Set where the endpoint is now. A new address gets new connections; old ones end when idle."""
        ...

    def remove(self, endpoint: str) -> None:
        """Send nothing new to the endpoint, which left the endpoint list."""
        ...

    @property
    def connection_count(self) -> int:
        """How many connections are open."""
        ...

    async def execute(
        self, endpoint: str, attempt: AttemptRequest, timeout_us: int, sent: trio.Event
    ) -> AttemptResponse:
        """Make one attempt.

        Sets `sent` from when the endpoint may have seen it. Raises ConnectError, CallUnprocessedError,
        CallInterruptedError, RpcError or EndpointError, which `outcomes` reads.
        """
        ...

    async def check_health(self, endpoint: str) -> EndpointReport:
        """Ask the endpoint for its report. Raises the errors of `execute`."""
        ...
