"""Starts, kills, freezes and thaws the program's processes of one trial, with or without losing their disks.

Each has its own working directory, which represents its disk. All of them are killed by process id when the
trial ends, and by the kernel if the trial itself is killed (`parent_watchdog.py`).
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

from juniperreel.testbed.errors import ProcessStateError

SCHEDSTAT_RUN_DELAY = 1  # index of the field in /proc/PID/schedstat, in nanoseconds
PARENT_WATCHDOG = Path(__file__).with_name("parent_watchdog.py")


class ProcessState(Enum):
    """State of a process; one that was never started counts as ended."""

    RUNNING = "running"
    FROZEN = "frozen"
    ENDED = "ended"


class ManagedProcess:
    """A named process across all its starts, which `starts` counts."""

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        directory: Path,
        environment: Mapping[str, str],
    ) -> None:
        self.name = name
        self.directory = directory
        self.log = directory.with_suffix(".log")
        self.starts = 0
        self._command = list(command)
        self._environment = dict(environment)
        self._process: subprocess.Popen[bytes] | None = None
        self._frozen = False

    @property
    def pid(self) -> int:
        """Process id of the last start. Raises ProcessStateError if it was never started."""
        return self._started_process().pid

    @property
    def status(self) -> int | None:
        """Exit status of the last start, negative for a signal; None while running or never started."""
        return None if self._process is None else self._process.poll()

    @property
    def state(self) -> ProcessState:
        """Current state."""
        if self._process is None or self._process.poll() is not None:
            return ProcessState.ENDED
        return ProcessState.FROZEN if self._frozen else ProcessState.RUNNING

    def start(self) -> None:
        """Start it with its existing disk.

        Raises ProcessStateError if it is running, OSError if it cannot be started.
        """
        if self.state is not ProcessState.ENDED:
            raise ProcessStateError(self.name, "runs already")
        self.directory.mkdir(parents=True, exist_ok=True)
        watchdog = [sys.executable, "-S", "-E", str(PARENT_WATCHDOG), str(os.getpid())]
        with self.log.open("ab") as log:
            # Not from a worker thread: the parent-death signal is sent when the starting thread exits.
            self._process = subprocess.Popen(
                [*watchdog, *self._command],
                cwd=self.directory,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._frozen = False
        self.starts += 1

    def kill(self) -> None:
        """Send SIGKILL and keep its disk; no effect if it has ended."""
        if self.state is not ProcessState.ENDED:
            self._signal(signal.SIGKILL)
            self._started_process().wait()

    def kill_and_wipe_disk(self) -> None:
        """Kill it and delete its disk, as when its machine is lost."""
        self.kill()
        shutil.rmtree(self.directory, ignore_errors=True)

    def terminate(self) -> None:
        """Send SIGTERM; no effect if it has ended."""
        self._signal(signal.SIGTERM)

    def reload(self) -> None:
        """Send SIGHUP, which reloads its configuration; no effect if it has ended."""
        self._signal(signal.SIGHUP)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal; no effect if it has ended."""
        self._signal(number)

    def freeze(self) -> None:
        """Suspend it (SIGSTOP) until `thaw`. Raises ProcessStateError unless it is running."""
        self._require_state(ProcessState.RUNNING)
        self._signal(signal.SIGSTOP)
        self._frozen = True

    def thaw(self) -> None:
        """Resume it (SIGCONT). Raises ProcessStateError unless it is frozen."""
        self._require_state(ProcessState.FROZEN)
        self._signal(signal.SIGCONT)
        self._frozen = False

    def run_queue_wait_ns(self) -> int | None:
        """Time in the scheduler's run queue since its start; None if the kernel does not report it."""
        try:
            fields = Path(f"/proc/{self.pid}/schedstat").read_text().split()
            return int(fields[SCHEDSTAT_RUN_DELAY])
        except (OSError, IndexError):
            return None

    async def wait(self) -> int:
        """Wait until it exits for any reason and return its exit status.

        Raises ProcessStateError if it was never started.
        """
        process = self._started_process()
        while process.poll() is None:
            handle = os.pidfd_open(process.pid)
            try:
                await trio.lowlevel.wait_readable(handle)
            finally:
                os.close(handle)
        status: int = process.wait()
        return status

    def _started_process(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise ProcessStateError(self.name, "was never started")
        return self._process

    def _require_state(self, state: ProcessState) -> None:
        if self.state is not state:
            raise ProcessStateError(self.name, f"is {self.state.value}")

    def _signal(self, number: int) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)


class Processes:
    """The processes of a trial, by name. `directory` belongs to the trial."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.by_name: dict[str, ManagedProcess] = {}

    def __getitem__(self, name: str) -> ManagedProcess:
        return self.by_name[name]

    def add(self, name: str, command: Sequence[str], environment: Mapping[str, str]) -> ManagedProcess:
        """Add a process without starting it. Raises ValueError if the name is taken."""
        if name in self.by_name:
            raise ValueError(f"{name} is there already")
        process = ManagedProcess(name, command, self._directory / name, environment)
        self.by_name[name] = process
        return process

    def kill_all(self) -> None:
        """Kill all running and frozen processes."""
        for process in self.by_name.values():
            process.kill()


@asynccontextmanager
async def open_processes(directory: Path) -> AsyncIterator[Processes]:
    """Manage the processes of a trial; all of them have ended when the block exits."""
    processes = Processes(directory)
    try:
        yield processes
    finally:
        processes.kill_all()
        with trio.CancelScope(shield=True):
            await trio.lowlevel.checkpoint()
