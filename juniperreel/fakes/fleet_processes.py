"""A fleet in several processes: each runs some of the groups, the first one the endpoint list as well.

    python -m juniperreel.fakes.fleet_processes SCRIPT PART OF [RECORD]

runs the groups of one part and prints what the endpoint list is to show, a line of JSON each. A script's
endpoints are the same wherever they run; the draws they make are not, since each part draws from its own
random source.
"""

from __future__ import annotations

import base64
import os
import subprocess
import sys
from collections.abc import Callable
from contextlib import ExitStack, suppress
from dataclasses import replace
from pathlib import Path

import msgspec
import trio

from juniperreel.fakes.errors import PartEndedError
from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.script import Script, Step, parse
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.verification.records import Recorder

MAX_LINE_BYTES = 1 << 16
STARTUP_TIMEOUT_S = 30
STARTUP_CHECK_INTERVAL_S = 0.02
SHUTDOWN_TIMEOUT_S = 5
STDOUT = 1
SEED_STRIDE = 1000  # between the seeds of parts
OUTSIDE_PREFIXES = ("edge-", "instance-")
LIST_TARGET = "list"


class PublishedHost(msgspec.Struct):
    """A host message as a part prints it; `delay_us` is None where the list's own delay holds."""

    host: str
    delay_us: int | None


class EndpointListRelay:
    """Stands for the endpoint list in a part: prints what is published to it."""

    port = 0
    frozen = False

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Start at once; there is nothing to serve."""
        await trio.lowlevel.checkpoint()
        task_status.started()

    def publish(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        """Print an endpoint's state for the process that serves the list."""
        published = PublishedHost(base64.b64encode(host.SerializeToString()).decode(), delay_us)
        os.write(STDOUT, msgspec.json.encode(published) + b"\n")

    def endpoint_names(self) -> list[str]:
        """None: faults of the list are injected where it is served."""
        return []

    def hide(self, names: set[str]) -> None:
        """Do nothing: faults of the list are injected where it is served."""

    def set_empty(self, empty: bool) -> None:
        """Do nothing: faults of the list are injected where it is served."""


def select_steps(script: Script, list_faults: bool) -> list[Step]:
    """The faults of the list, or all others but those of edges and instances."""
    steps = [step for step in script.steps if not step.fault.startswith(OUTSIDE_PREFIXES)]
    return [step for step in steps if (step.target == LIST_TARGET) == list_faults]


def groups_of_part(script: Script, part: int, parts: int) -> frozenset[int]:
    """The numbers of the groups that a part runs."""
    return frozenset(number for number in range(script["groups"]) if number % parts == part)


async def run_part(script: Script, part: int, parts: int, record: Recorder) -> None:
    """Run the groups of one part for the length of the script."""
    own = replace(script, steps=select_steps(script, list_faults=False))
    own.settings = script.settings | {"seed": script["seed"] * SEED_STRIDE + part}
    groups = groups_of_part(script, part, parts)
    fleet = Fleet(own, TcpNetwork(), Clock(), record, groups, EndpointListRelay())
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        nursery.start_soon(fleet.play, ignore_edge_fault)
        await trio.sleep(script["last"] / US)
        nursery.cancel_scope.cancel()


async def ignore_edge_fault(step: Step) -> None:
    """Handle a fault of an edge where another process runs the edges."""


class FleetProcesses:
    """Serves the endpoint list here, and runs the groups in processes of their own."""

    def __init__(self, path: Path, script: Script, port: int, parts: int, record: Path | None) -> None:
        self.script = script
        self.parts = min(parts, script["groups"])
        self._path = path
        self._record = record
        list_script = replace(script, steps=select_steps(script, list_faults=True))
        self.recorder = Recorder(record.open("wb") if record is not None else None)
        self.fleet = Fleet(list_script, TcpNetwork(), Clock(), self.recorder, frozenset())
        self.fleet.endpoint_list.port = port
        self.endpoints: set[str] = set()

    async def run(self, report: Callable[[str], None]) -> None:
        """Run for the length of the script. Raises PartEndedError if a part ends before."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.fleet.run)
            for part in range(self.parts):
                nursery.start_soon(self._run_part, part)
            with trio.fail_after(STARTUP_TIMEOUT_S):
                while len(self.endpoints) < self.script["groups"] * self.script["members"]:
                    await trio.sleep(STARTUP_CHECK_INTERVAL_S)
            report(f"host list on 127.0.0.1:{self.fleet.endpoint_list.port}")
            nursery.start_soon(self.fleet.play, ignore_edge_fault)
            await trio.sleep(self.script["last"] / US)
            nursery.cancel_scope.cancel()

    async def _run_part(self, part: int) -> None:
        arguments = [str(self._path), str(part), str(self.parts)]
        if self._record is not None:
            arguments.append(f"{self._record}.{part}")
        command = [sys.executable, "-m", "juniperreel.fakes.fleet_processes", *arguments]
        process = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE)
        assert process.stdout is not None
        rest = b""
        try:
            async for chunk in process.stdout:
                *lines, rest = (rest + chunk).split(b"\n")
                if len(rest) > MAX_LINE_BYTES:
                    break
                for line in lines:
                    self._publish(line)
            raise PartEndedError(part)
        finally:
            process.terminate()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + SHUTDOWN_TIMEOUT_S):
                await process.wait()

    def _publish(self, line: bytes) -> None:
        published = msgspec.json.decode(line, type=PublishedHost)
        host = hosts_pb2.Host.FromString(base64.b64decode(published.host))
        self.endpoints.add(host.id)
        self.fleet.endpoint_list.publish(host, published.delay_us)


def main() -> None:
    """Run one part, as the command line says."""
    path, part, parts, *record = sys.argv[1:]
    script = parse(Path(path).read_text(encoding="utf-8"))
    with ExitStack() as stack:
        file = stack.enter_context(Path(record[0]).open("wb")) if record else None
        # An interrupt reaches the whole process group; the first process reports it.
        stack.enter_context(suppress(KeyboardInterrupt))
        trio.run(run_part, script, int(part), int(parts), Recorder(file))


if __name__ == "__main__":
    main()
