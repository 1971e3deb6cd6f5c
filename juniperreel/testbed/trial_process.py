"""Common base of the processes of a trial: arguments, control messages, script timing, counters."""

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

# Process roles, as given on the command line.
MEMBERS = "members"
DRIVERS = "drivers"
POLL_S = 0.02
MAX_QUEUED_MESSAGES = 4

ExpectedMessage = TypeVar("ExpectedMessage", bound=Message)


@dataclass(frozen=True, slots=True)
class ProcessArguments:
    """The command line: process `part` of `parts` with this role; `program` is the driver's command."""

    script_path: Path
    role: str
    part: int
    parts: int
    control_port: int
    directory: Path
    program: tuple[str, ...]

    @staticmethod
    def parse(arguments: list[str]) -> ProcessArguments:
        """Parse the command line. Raises ValueError if arguments are missing or not numeric."""
        script_path, role, part, parts, port, directory, *program = arguments
        return ProcessArguments(
            Path(script_path), role, int(part), int(parts), int(port), Path(directory), tuple(program)
        )

    @property
    def name(self) -> str:
        """The name of the process within its trial."""
        return f"{self.role}-{self.part}"

    def owns(self, number: int) -> bool:
        """Whether this process runs the group or driver with this number."""
        return number % self.parts == self.part


class EventLoopLag:
    """Measures the maximum lag of the event loop, which bounds the resolution of recorded times."""

    def __init__(self) -> None:
        self.max_us = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = trio.current_time() + POLL_S
            await trio.sleep_until(due)
            self.max_us = max(self.max_us, int((trio.current_time() - due) * US))

    def reset(self) -> None:
        """Discard the measurements so far."""
        self.max_us = 0


class TrialProcess:
    """Base of both roles: receives control messages, follows the script's start and end, keeps counters.

    `rng` is seeded with the script's seed and the process name.
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
        """Handle host updates on arrival and queue all other messages for `expect`, until cancelled."""
        while True:
            message = await self.control.receive()
            if isinstance(message, HostUpdate):
                self.on_host_update(message)
            else:
                await self._enqueue_message.send(message)

    async def expect(self, kind: type[ExpectedMessage]) -> ExpectedMessage:
        """Wait for the next queued message. Raises UnexpectedMessageError if it is of another type."""
        message = await self._messages.receive()
        if not isinstance(message, kind):
            raise UnexpectedMessageError(message, kind.__name__)
        return message

    def on_host_update(self, update: HostUpdate) -> None:
        """Handle an update of a member for discovery. Raises UnexpectedMessageError unless overridden."""
        raise UnexpectedMessageError(update, "a message other than a host update")

    async def run_script(self, body: Callable[[StartDay], Awaitable[None]]) -> None:
        """Report readiness, run `body` from the start of the script, and cancel it at the end."""
        await self.control.send(Ready())
        start = await self.expect(StartDay)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_from_start, body, start)
            await self.expect(EndDay)
            nursery.cancel_scope.cancel()

    async def _run_from_start(self, body: Callable[[StartDay], Awaitable[None]], start: StartDay) -> None:
        await trio.sleep_until(self.clock.trio_time(start.at_us))
        self.lag.reset()  # discards the lag of the start-up phase, which is not part of the trial
        await body(start)


def steps_of_role(script: Script, role: str) -> list[Step]:
    """The steps that processes of this role run; no role runs faults of configuration instances."""
    wanted = role == DRIVERS
    return [
        step
        for step in script.steps
        if targets_driver_side(step) is wanted and not step.fault.startswith("instance-")
    ]


def targets_driver_side(step: Step) -> bool:
    """Whether a step affects drivers, discovery or the links between them; all others affect members."""
    return step.fault.startswith("edge-") or DISCOVERY in (step.target, step.other)


def processor_time_s() -> float:
    """CPU time of this process and of its terminated children."""
    ended = resource.getrusage(resource.RUSAGE_CHILDREN)
    return time.process_time() + ended.ru_utime + ended.ru_stime
