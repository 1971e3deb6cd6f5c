"""The fleet on several cores: each process plays some of the groups, the first one the host list as well.

    python -m juniperreel.fakes.fleet_processes SCRIPT PART OF [RECORD]

plays the groups of one part and prints what the host list is to be told, a line of JSON each. A script's
members are the same wherever they run; which draws they make is not, since each part draws from its own.
"""

from __future__ import annotations

import base64
import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import msgspec
import trio

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.script import Day, Step, parse
from juniperreel.net import Clock, TcpNetwork
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.verification.records import Recorder

US = 1_000_000
LINE = 1 << 16


class Told(msgspec.Struct):
    """A host, as its part reports it; `delay_us` is None where the list's own delay holds."""

    host: str
    delay_us: int | None


class Relay:
    """Stands for the host list in a part: passes on what it is told."""

    port = 0
    frozen = False

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        await trio.lowlevel.checkpoint()
        task_status.started()

    def tell(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        told = Told(base64.b64encode(host.SerializeToString()).decode(), delay_us)
        os.write(1, msgspec.json.encode(told) + b"\n")

    def names(self) -> list[str]:
        return []

    def hide(self, names: set[str]) -> None:
        return

    def set_empty(self, empty: bool) -> None:
        return


def steps_of(day: Day, listed: bool) -> list[Step]:
    """The faults of the list, or all others but those of edges and instances."""
    ours = [s for s in day.steps if not s.fault.startswith(("edge-", "instance-"))]
    return [s for s in ours if (s.target == "list") == listed]


def groups_of(day: Day, part: int, parts: int) -> frozenset[int]:
    return frozenset(n for n in range(day["groups"]) if n % parts == part)


async def play_part(day: Day, part: int, parts: int, record: Recorder) -> None:
    mine = replace(day, steps=steps_of(day, listed=False))
    mine.settings = day.settings | {"seed": day["seed"] * 1000 + part}
    fleet = Fleet(mine, TcpNetwork(), Clock(), record, groups_of(day, part, parts), Relay())
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        nursery.start_soon(fleet.play, no_edge)
        await trio.sleep(day["last"] / US)
        nursery.cancel_scope.cancel()


async def no_edge(step: Step) -> None:
    """Edges are somebody else's."""


class Parts:
    """The host list here, the groups in processes of their own."""

    def __init__(self, script: Path, day: Day, port: int, parts: int, record: Path | None) -> None:
        self.day, self.parts = day, min(parts, day["groups"])
        self._script, self._record = script, record
        listing = replace(day, steps=steps_of(day, listed=True))
        self.recorder = Recorder(record.open("wb") if record is not None else None)
        self.fleet = Fleet(listing, TcpNetwork(), Clock(), self.recorder, frozenset())
        self.fleet.hosts.port = port
        self.members: set[str] = set()

    async def run(self, say: Callable[[str], None]) -> None:
        """Until the day is over. Raises RuntimeError if a part ends before."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.fleet.run)
            for part in range(self.parts):
                nursery.start_soon(self._part, part)
            with trio.fail_after(30):
                while len(self.members) < self.day["groups"] * self.day["members"]:
                    await trio.sleep(0.02)
            say(f"host list on 127.0.0.1:{self.fleet.hosts.port}")
            nursery.start_soon(self.fleet.play, no_edge)
            await trio.sleep(self.day["last"] / US)
            nursery.cancel_scope.cancel()

    async def _part(self, part: int) -> None:
        words = [str(self._script), str(part), str(self.parts)]
        if self._record is not None:
            words.append(f"{self._record}.{part}")
        command = [sys.executable, "-m", "juniperreel.fakes.fleet_processes", *words]
        process = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE)
        assert process.stdout is not None
        rest = b""
        try:
            async for chunk in process.stdout:
                *lines, rest = (rest + chunk).split(b"\n")
                if len(rest) > LINE:
                    break
                for line in lines:
                    self._told(line)
            raise RuntimeError(f"part {part} of the stand-ins ended")
        finally:
            process.terminate()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 5):
                await process.wait()

    def _told(self, line: bytes) -> None:
        told = msgspec.json.decode(line, type=Told)
        host = hosts_pb2.Host.FromString(base64.b64decode(told.host))
        self.members.add(host.id)
        self.fleet.hosts.tell(host, told.delay_us)


def main() -> None:
    script, part, parts, *record = sys.argv[1:]
    day = parse(Path(script).read_text(encoding="utf-8"))
    out = Path(record[0]).open("wb") if record else None  # noqa: SIM115
    try:
        trio.run(play_part, day, int(part), int(parts), Recorder(out))
    except KeyboardInterrupt:
        pass  # Ctrl-C reaches the whole group; the first process says that it stopped
    finally:
        if out is not None:
            out.close()


if __name__ == "__main__":
    main()
