"""What the processes of one trial have in common: arguments, orders, the day's times, counts."""

from __future__ import annotations

import random
import resource
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import trio

from juniperreel.fakes.script import Script, Step
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.testbed.control_messages import (
    ControlConnection,
    EndDay,
    HostUpdate,
    Message,
    Ready,
    StartDay,
)
from juniperreel.testbed.errors import UnexpectedMessageError
from juniperreel.testbed.scenario import DISCOVERY
from juniperreel.verification.records import Recorder

# Roles of processes.
MEMBERS = "members"
DRIVERS = "drivers"
POLL_S = 0.02
MAX_QUEUED_MESSAGES = 4

ExpectedMessage = TypeVar("ExpectedMessage", bound=Message)


@dataclass(frozen=True, slots=True)
class ProcessArguments:
    """The command line: `part` of `parts` processes with this role; `program` starts a driver."""

    script_path: Path
    role: str
    part: int
    parts: int
    control_port: int
    directory: Path
    program: tuple[str, ...]

    @staticmethod
    def parse(arguments: list[str]) -> ProcessArguments:
        """Raises ValueError where arguments are missing or no numbers."""
        script_path, role, part, parts, port, directory, *program = arguments
        return ProcessArguments(
            Path(script_path), role, int(part), int(parts), int(port), Path(directory), tuple(program)
        )

    @property
    def name(self) -> str:
        """The process's name in its trial."""
        return f"{self.role}-{self.part}"

    def owns(self, number: int) -> bool:
        """Whether the group or driver of this number is this process's."""
        return number % self.parts == self.part


class EventLoopLag:
    """By how much the event loop was late at most: what a trial's times cannot resolve."""

    def __init__(self) -> None:
        self.max_us = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = trio.current_time() + POLL_S
            await trio.sleep_until(due)
            self.max_us = max(self.max_us, int((trio.current_time() - due) * US))

    def reset(self) -> None:
        """Forget what was measured so far."""
        self.max_us = 0


class TrialProcess:
    """What processes of both roles do: receive orders, keep the day's times, count.

    `rng` is seeded by the script's seed and the process's name.
    """

    def __init__(
        self, script: Script, arguments: ProcessArguments, control: ControlConnection, record: Recorder
    ) -> None:
        self.script = script
        self.arguments = arguments
        self.control = control
        self.record = record
        self.network = TcpNetwork()
        self.clock = Clock()
        self.lag = EventLoopLag()
        self.rng = random.Random(f"{script['seed']} {arguments.name}")
        self._enqueue_message, self._messages = trio.open_memory_channel[Message](MAX_QUEUED_MESSAGES)

    async def receive_messages(self) -> None:
        """Handle updates of hosts as they come and queue all other messages for `expect`, until cancelled."""
        while True:
            message = await self.control.receive()
            if isinstance(message, HostUpdate):
                self.on_host_update(message)
            else:
                await self._enqueue_message.send(message)

    async def expect(self, kind: type[ExpectedMessage]) -> ExpectedMessage:
        """Wait for the next order. Raises UnexpectedMessageError if it is of another kind."""
        message = await self._messages.receive()
        if not isinstance(message, kind):
            raise UnexpectedMessageError(message, kind.__name__)
        return message

    def on_host_update(self, update: HostUpdate) -> None:
        """Handle what discovery is to say of a member. Raises UnexpectedMessageError unless overridden."""
        raise UnexpectedMessageError(update, "an order")

    async def run_script(self, play: Callable[[StartDay], Awaitable[None]]) -> None:
        """Report that all stands, run `play` from the day's beginning, and cancel it at its end."""
        await self.control.send(Ready())
        start = await self.expect(StartDay)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_from_start, play, start)
            await self.expect(EndDay)
            nursery.cancel_scope.cancel()

    async def _run_from_start(self, play: Callable[[StartDay], Awaitable[None]], start: StartDay) -> None:
        await trio.sleep_until(self.clock.trio_time(start.at_us))
        self.lag.reset()  # its lag while all were started says nothing of the day
        await play(start)


def steps_of_role(script: Script, role: str) -> list[Step]:
    """The faults that processes of this role play; those of configuration instances are nobody's."""
    wanted = role == DRIVERS
    return [
        step
        for step in script.steps
        if targets_driver_side(step) is wanted and not step.fault.startswith("instance-")
    ]


def targets_driver_side(step: Step) -> bool:
    """Whether a step strikes drivers, discovery or the links between them; all others strike members."""
    return step.fault.startswith("edge-") or DISCOVERY in (step.target, step.other)


def processor_time_s() -> float:
    """Processor time of this process and of those it started that have ended."""
    ended = resource.getrusage(resource.RUSAGE_CHILDREN)
    return time.process_time() + ended.ru_utime + ended.ru_stime
