"""What passes between the driver and its member links, whatever the members speak."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import trio

from juniperreel.proxy.positions import Needs, Standing
from juniperreel.proxy.requests import Transaction, Work, let_go
from juniperreel.routing.types import (
    Outcome,
)


@dataclass(frozen=True, slots=True)
class Job:
    """One attempt at a request, as a member link needs to know it. `cls` is its class by name."""

    work: Work
    attempt: int
    cls: str
    write: bool
    worth: float
    needs: Needs


class Fault(Exception):
    """What a member answered with instead of a result. With Outcome.OK the statement itself is at fault:
    `code` and `state` are then MySQL's, for clients that know them."""

    def __init__(self, outcome: Outcome, words: str, code: int = 0, state: str = "") -> None:
        super().__init__(words)
        self.outcome, self.words, self.code, self.state = outcome, words, code, state


@dataclass(slots=True)
class Reply:
    """`commit`: of a write, its position. `error` with `held`: the transaction stands, its first statement
    was at fault."""

    result: Any
    standing: Standing
    commit: int = 0
    held: Transaction | None = None
    error: Fault | None = None

    def drop(self) -> None:
        """Nobody wants the answer."""
        let_go(self.result, self.held)


class Links(Protocol):
    """All members' connections of one driver; `run` must be running."""

    async def run(self, task_status: trio.TaskStatus[None] = ...) -> None: ...

    def place(self, member: str, host: str, port: int) -> None:
        """Where the member is now. A new address gets new connections; old ones end when idle."""
        ...

    def retire(self, member: str) -> None:
        """The member is gone: nothing new goes there."""
        ...

    @property
    def connected(self) -> int: ...

    async def execute(self, member: str, job: Job, timeout_us: int, sent: trio.Event) -> Reply:
        """One attempt. Sets `sent` from when the member may have seen it. Raises what `outcomes` reads."""
        ...

    async def report(self, member: str) -> tuple[Standing, float, float]:
        """Standing, requests in hand, requests waiting."""
        ...
