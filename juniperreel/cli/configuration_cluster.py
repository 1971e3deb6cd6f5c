"""Runs a configuration cluster on loopback with one process per instance."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from juniperreel.net import Network
from juniperreel.net.clock import US

INSTANCE_COUNT = 3

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
    """A cluster of INSTANCE_COUNT instances with their settings and directories in `folder`.

    `ports` is empty until `start` has been called.
    """

    def __init__(self, folder: Path, network: Network) -> None:
        self.ports: list[int] = []
        self._folder = folder
        self._network = network
        self._processes: list[trio.Process] = []
        self._commands: list[list[str]] = []

    async def start(self, key: bytes) -> None:
        """Start all instances as a new cluster whose messages are signed with `key`."""
        (self._folder / "cluster.key").write_bytes(key)
        self.ports = await self._free_ports()
        names = [f"c{number}@127.0.0.1:{port}" for number, port in enumerate(self.ports)]
        members = "\n".join(f"member {name}" for name in names)
        for number, name in enumerate(names):
            # A new directory per run: `folder` may hold directories of earlier runs.
            directory = tempfile.mkdtemp(prefix=f"c{number}-", dir=self._folder)
            path = self._folder / f"c{number}.conf"
            text = SETTINGS_TEMPLATE.format(name=name, folder=directory, members=members)
            path.write_text(text, encoding="utf-8")
            command = [sys.executable, "-m", "juniperreel.cli.main", "configd", str(path)]
            self._commands.append(command)
            self._processes.append(await self._start_process([*command, "--create"]))

    async def kill(self, number: int, restart_after_us: float) -> None:
        """Kill an instance, and restart it on its directory after `restart_after_us` unless that is 0."""
        self._processes[number].kill()
        await self._processes[number].wait()
        if restart_after_us:
            await trio.sleep(restart_after_us / US)
            self._processes[number] = await self._start_process(self._commands[number])

    def addresses(self) -> list[tuple[str, int]]:
        """The host and port of each instance."""
        return [("127.0.0.1", port) for port in self.ports]

    async def stop(self) -> None:
        """Kill all running instances."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            await process.wait()

    async def _free_ports(self) -> list[int]:
        listeners = [await self._network.listen("127.0.0.1", 0) for _ in range(INSTANCE_COUNT)]
        ports = [listener.port for listener in listeners]
        for listener in listeners:
            await listener.aclose()
        return ports

    @staticmethod
    async def _start_process(command: list[str]) -> trio.Process:
        return await trio.lowlevel.open_process(command, stderr=subprocess.DEVNULL)
