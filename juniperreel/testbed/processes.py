"""The program's processes of one trial: started, killed, frozen, thawed, their disks kept or lost.

Each has a working directory of its own, which stands for its disk. All of them end with the trial, by process
id, also when the trial itself is killed (`parent_watchdog.py`). Knows nothing of what the programs do.
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
    """What a process does now; one that was never started counts as ended."""

    RUNNING = "running"
    FROZEN = "frozen"
    ENDED = "ended"


class ManagedProcess:
    """One process under its name, over all its starts, which `starts` counts."""

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
        """Process id of the last start. Raises ProcessStateError if there was none."""
        return self._started_process().pid

    @property
    def status(self) -> int | None:
        """Exit status of the last start, negative for a signal; None while it runs and before the first."""
        return None if self._process is None else self._process.poll()

    @property
    def state(self) -> ProcessState:
        """What it does now."""
        if self._process is None or self._process.poll() is not None:
            return ProcessState.ENDED
        return ProcessState.FROZEN if self._frozen else ProcessState.RUNNING

    def start(self) -> None:
        """Start it on the disk it has.

        Raises ProcessStateError while it runs, OSError if it cannot be started.
        """
        if self.state is not ProcessState.ENDED:
            raise ProcessStateError(self.name, "runs already")
        self.directory.mkdir(parents=True, exist_ok=True)
        watchdog = [sys.executable, "-S", "-E", str(PARENT_WATCHDOG), str(os.getpid())]
        with self.log.open("ab") as log:
            # Started from this thread: the kernel takes the end of the starting thread for the parent's.
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
        """Kill it at once and keep its disk; does nothing if it has ended."""
        if self.state is not ProcessState.ENDED:
            self._signal(signal.SIGKILL)
            self._started_process().wait()

    def kill_and_wipe_disk(self) -> None:
        """Lose its machine with the disk: what it wrote is gone when it is started again."""
        self.kill()
        shutil.rmtree(self.directory, ignore_errors=True)

    def terminate(self) -> None:
        """Ask it to end (SIGTERM); does nothing if it has ended."""
        self._signal(signal.SIGTERM)

    def reload(self) -> None:
        """Tell it to reload its configuration (SIGHUP); does nothing if it has ended."""
        self._signal(signal.SIGHUP)

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal; does nothing if it has ended."""
        self._signal(number)

    def freeze(self) -> None:
        """Stop its execution until `thaw`. Raises ProcessStateError unless it is running."""
        self._require_state(ProcessState.RUNNING)
        self._signal(signal.SIGSTOP)
        self._frozen = True

    def thaw(self) -> None:
        """Let a frozen process go on. Raises ProcessStateError unless it is frozen."""
        self._require_state(ProcessState.FROZEN)
        self._signal(signal.SIGCONT)
        self._frozen = False

    def run_queue_wait_ns(self) -> int | None:
        """How long it has waited for a processor since its start; None where the kernel does not tell."""
        try:
            fields = Path(f"/proc/{self.pid}/schedstat").read_text().split()
            return int(fields[SCHEDSTAT_RUN_DELAY])
        except (OSError, IndexError):
            return None

    async def wait(self) -> int:
        """Wait for its end, for whatever reason, and return its exit status.

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
    """All processes of a trial, by name. `directory` is the trial's own."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.by_name: dict[str, ManagedProcess] = {}

    def __getitem__(self, name: str) -> ManagedProcess:
        return self.by_name[name]

    def add(self, name: str, command: Sequence[str], environment: Mapping[str, str]) -> ManagedProcess:
        """Add a process that is not started yet. Raises ValueError if the name is taken."""
        if name in self.by_name:
            raise ValueError(f"{name} is there already")
        process = ManagedProcess(name, command, self._directory / name, environment)
        self.by_name[name] = process
        return process

    def kill_all(self) -> None:
        """Kill all that run, frozen ones too."""
        for process in self.by_name.values():
            process.kill()


@asynccontextmanager
async def open_processes(directory: Path) -> AsyncIterator[Processes]:
    """Processes of a trial: whatever was started inside the block has ended outside of it."""
    processes = Processes(directory)
    try:
        yield processes
    finally:
        processes.kill_all()
        with trio.CancelScope(shield=True):
            await trio.lowlevel.checkpoint()
