"""The program's processes of one trial: started, killed, frozen, thawed, their disks kept or lost.

Each has a directory of its own. All of them end with the trial, by id, also when the trial is killed
(`parent_watchdog.py`). Must never know what the programs do.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from enum import Enum
from pathlib import Path

import trio

LEASH = Path(__file__).with_name("parent_watchdog.py")


class State(Enum):
    RUNNING = "running"
    FROZEN = "frozen"
    ENDED = "ended"


class NotInThatState(RuntimeError):
    """A fault that the process's state has no room for: a frozen one is not frozen again."""


class Child:
    """One process under its name, over all its starts. `starts` counts them; `status` is the last one's exit
    status, negative for a signal."""

    def __init__(
        self, name: str, command: Sequence[str], directory: Path, env: Mapping[str, str], nice: int = 0
    ) -> None:
        self.name, self.directory, self._nice = name, directory, nice
        self._command, self._env = list(command), dict(env)
        self._process: subprocess.Popen[bytes] | None = None
        self._frozen = False
        self.starts = 0
        self.log = directory.with_suffix(".log")

    @property
    def pid(self) -> int:
        if self._process is None:
            raise NotInThatState(f"{self.name} was never started")
        return self._process.pid

    @property
    def status(self) -> int | None:
        return None if self._process is None else self._process.poll()

    @property
    def state(self) -> State:
        if self._process is None or self._process.poll() is not None:
            return State.ENDED
        return State.FROZEN if self._frozen else State.RUNNING

    def start(self) -> None:
        """On the disk it has. Raises OSError where it can't be started."""
        if self.state is not State.ENDED:
            raise NotInThatState(f"{self.name} runs already")
        self.directory.mkdir(parents=True, exist_ok=True)
        leashed = [sys.executable, "-S", "-E", str(LEASH), str(os.getpid()), str(self._nice), *self._command]
        with self.log.open("ab") as log:
            # From this thread: the kernel takes the end of the thread that started it for the parent's.
            self._process = subprocess.Popen(
                leashed, cwd=self.directory, env=self._env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._frozen = False
        self.starts += 1

    def kill(self) -> None:
        """At once, its disk kept."""
        if self.state is not State.ENDED:
            self._signal(signal.SIGKILL)
            assert self._process is not None
            self._process.wait()

    def lose(self) -> None:
        """The machine is lost with its disk: what it wrote is gone when it is started again."""
        self.kill()
        shutil.rmtree(self.directory, ignore_errors=True)

    def ask_to_end(self) -> None:
        self._signal(signal.SIGTERM)

    def hang_up(self) -> None:
        self._signal(signal.SIGHUP)

    def freeze(self) -> None:
        if self.state is not State.RUNNING:
            raise NotInThatState(f"{self.name} is {self.state.value}")
        self._signal(signal.SIGSTOP)
        self._frozen = True

    def thaw(self) -> None:
        if self.state is not State.FROZEN:
            raise NotInThatState(f"{self.name} is {self.state.value}")
        self._signal(signal.SIGCONT)
        self._frozen = False

    def _signal(self, number: int) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def ended(self) -> int:
        """Its exit status, once it has ended by itself or by signal."""
        process = self._process
        if process is None:
            raise NotInThatState(f"{self.name} was never started")
        while process.poll() is None:
            handle = os.pidfd_open(process.pid)
            try:
                await trio.lowlevel.wait_readable(handle)
            finally:
                os.close(handle)
        status: int = process.wait()
        return status


class Processes:
    """All of a trial's, by name. `directory` is the trial's own."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.children: dict[str, Child] = {}

    def __getitem__(self, name: str) -> Child:
        return self.children[name]

    def add(self, name: str, command: Sequence[str], env: Mapping[str, str], nice: int = 0) -> Child:
        """`nice`: by which it gives way to other processes, as the system counts it."""
        if name in self.children:
            raise ValueError(f"{name} is there already")
        child = Child(name, command, self._directory / name, env, nice)
        self.children[name] = child
        return child

    def end(self) -> None:
        for child in self.children.values():
            child.kill()


@asynccontextmanager
async def processes(directory: Path) -> AsyncIterator[Processes]:
    """Whatever was started inside has ended outside."""
    them = Processes(directory)
    try:
        yield them
    finally:
        them.end()
        with trio.CancelScope(shield=True):
            await trio.lowlevel.checkpoint()
