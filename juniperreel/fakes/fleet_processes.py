"""A fleet in several processes: the first serves the endpoint list, the others run the groups.

    python -m juniperreel.fakes.fleet_processes SCRIPT PART OF [RECORD]

runs the groups of one part and prints the updates for the endpoint list as JSON Lines. A script's endpoints
do not depend on the number of parts; their random choices do, because each part has its own generator.
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
SEED_STRIDE = 1000  # multiplier of the script's seed, to which the number of a part is added
EXTERNAL_FAULT_PREFIXES = ("edge-", "instance-")
LIST_TARGET = "list"


class PublishedHost(msgspec.Struct):
    """A host update printed by a part; `delay_us` is None for the list's default delay."""

    host: str
    delay_us: int | None


class EndpointListRelay:
    """Replaces the endpoint list server in a part: prints the updates that are published to it."""

    port = 0
    frozen = False

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Report as started; there is nothing to serve."""
        await trio.lowlevel.checkpoint()
        task_status.started()

    def publish(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        """Print an endpoint's state for the process that serves the list."""
        published = PublishedHost(base64.b64encode(host.SerializeToString()).decode(), delay_us)
        os.write(STDOUT, msgspec.json.encode(published) + b"\n")

    def endpoint_names(self) -> list[str]:
        """Return no names: list faults are injected in the process that serves the list."""
        return []

    def hide(self, names: set[str]) -> None:
        """Do nothing: faults of the list are injected where it is served."""

    def set_empty(self, empty: bool) -> None:
        """Do nothing: faults of the list are injected where it is served."""


def select_steps(script: Script, list_faults: bool) -> list[Step]:
    """The faults of the endpoint list, or else those of endpoints; never those of edges and instances."""
    steps = [step for step in script.steps if not step.fault.startswith(EXTERNAL_FAULT_PREFIXES)]
    return [step for step in steps if (step.target == LIST_TARGET) == list_faults]


def groups_of_part(script: Script, part: int, parts: int) -> frozenset[int]:
    """The numbers of the groups that a part runs."""
    return frozenset(number for number in range(script["groups"]) if number % parts == part)


async def run_part(script: Script, part: int, parts: int, record: Recorder) -> None:
    """Run the groups of one part for the duration of the script."""
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
    """Ignore a fault of an edge: edges run in another process."""


class FleetProcesses:
    """Serves the endpoint list in this process and runs the groups in child processes."""

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
        """Run for the duration of the script. Raises PartEndedError if a part exits before its end."""
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
    """Run the part given on the command line."""
    path, part, parts, *record = sys.argv[1:]
    script = parse(Path(path).read_text(encoding="utf-8"))
    with ExitStack() as stack:
        file = stack.enter_context(Path(record[0]).open("wb")) if record else None
        # SIGINT is sent to the whole process group; the parent process reports it.
        stack.enter_context(suppress(KeyboardInterrupt))
        trio.run(run_part, script, int(part), int(parts), Recorder(file))


if __name__ == "__main__":
    main()
