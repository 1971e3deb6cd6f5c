"""A configuration cluster on loopback, each instance a process of its own."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from juniperreel.net import Network
from juniperreel.net.clock import US

INSTANCES = 3

SETTINGS_TEMPLATE = """\
[instance]
name {name}
cluster demo
directory {folder}
key cluster.key
tick 20ms
[cluster]
{members}
[log]
level warning
"""


class ConfigurationCluster:
    """INSTANCES instances, their settings and directories in `folder`; `ports` are set by `start`."""

    def __init__(self, folder: Path, network: Network) -> None:
        self.ports: list[int] = []
        self._folder = folder
        self._network = network
        self._processes: list[trio.Process] = []
        self._commands: list[list[str]] = []

    async def start(self, key: bytes) -> None:
        """Start all instances as a new cluster that signs with this key."""
        (self._folder / "cluster.key").write_bytes(key)
        self.ports = await self._free_ports()
        names = [f"c{number}@127.0.0.1:{port}" for number, port in enumerate(self.ports)]
        members = "\n".join(f"member {name}" for name in names)
        for number, name in enumerate(names):
            # A directory of its own for each run: earlier days leave theirs behind.
            directory = tempfile.mkdtemp(prefix=f"c{number}-", dir=self._folder)
            path = self._folder / f"c{number}.conf"
            text = SETTINGS_TEMPLATE.format(name=name, folder=directory, members=members)
            path.write_text(text, encoding="utf-8")
            command = [sys.executable, "-m", "juniperreel.cli.main", "configd", str(path)]
            self._commands.append(command)
            self._processes.append(await self._open([*command, "--create"]))

    async def kill(self, number: int, restart_after_us: float) -> None:
        """Kill an instance, and start it again with its directory after that time; 0 means never."""
        self._processes[number].kill()
        await self._processes[number].wait()
        if restart_after_us:
            await trio.sleep(restart_after_us / US)
            self._processes[number] = await self._open(self._commands[number])

    def addresses(self) -> list[tuple[str, int]]:
        """Host and port of each instance."""
        return [("127.0.0.1", port) for port in self.ports]

    async def stop(self) -> None:
        """Kill all instances that run."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            await process.wait()

    async def _free_ports(self) -> list[int]:
        listeners = [await self._network.listen("127.0.0.1", 0) for _ in range(INSTANCES)]
        ports = [listener.port for listener in listeners]
        for listener in listeners:
            await listener.aclose()
        return ports

    @staticmethod
    async def _open(command: list[str]) -> trio.Process:
        return await trio.lowlevel.open_process(command, stderr=subprocess.DEVNULL)
