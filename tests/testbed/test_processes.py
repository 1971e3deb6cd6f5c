"""Processes of a trial: each of their faults, and that none survives the trial."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import trio

from juniperreel.testbed.errors import ProcessStateError
from juniperreel.testbed.processes import Processes, ProcessState, open_processes

SECONDS = 60
WRITE_NOTE = (
    "import pathlib, signal; p = pathlib.Path('note'); print(p.exists(), flush=True); p.write_text('x'); "
)
WAITING_PROGRAM = (sys.executable, "-c", WRITE_NOTE + "signal.pause()")
ENV = {"PATH": os.environ["PATH"]}


async def lines(path: Path, count: int) -> list[str]:
    with trio.fail_after(SECONDS):
        while not path.exists() or len(path.read_text().splitlines()) < count:
            await trio.sleep(0.01)
    return path.read_text().splitlines()


def alive(pid: int) -> bool:
    """Whether the process exists and is not a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except (FileNotFoundError, ProcessLookupError):
        return False


async def test_disk_survives_a_kill_but_not_the_loss_of_the_machine(tmp_path: Path) -> None:
    async with open_processes(tmp_path) as processes:
        process = processes.add("a", WAITING_PROGRAM, ENV)
        process.start()
        assert await lines(process.log, 1) == ["False"]
        process.kill()
        assert process.state is ProcessState.ENDED
        assert process.status == -signal.SIGKILL
        process.start()
        assert await lines(process.log, 2) == ["False", "True"]
        process.kill_and_wipe_disk()
        process.start()
        assert await lines(process.log, 3) == ["False", "True", "False"]
        assert process.starts == 3


async def test_a_frozen_process_does_nothing_until_it_is_thawed(tmp_path: Path) -> None:
    async with open_processes(tmp_path) as processes:
        process = processes.add("a", (sys.executable, "-c", "while True: print(flush=True)"), ENV)
        with pytest.raises(ProcessStateError):
            process.freeze()
        process.start()
        await lines(process.log, 1)
        process.freeze()
        assert process.state is ProcessState.FROZEN
        with trio.fail_after(SECONDS):
            size = -1
            while size != process.log.stat().st_size:  # SIGSTOP takes effect asynchronously
                size = process.log.stat().st_size
                await trio.sleep(0.1)
        process.terminate()
        assert process.status is None
        process.thaw()
        with trio.fail_after(SECONDS):
            assert await process.wait() == -signal.SIGTERM
        with pytest.raises(ProcessStateError):
            process.thaw()


async def test_all_processes_end_with_the_trial_including_frozen_ones(tmp_path: Path) -> None:
    pids: list[int] = []

    async def failing_trial() -> None:
        async with open_processes(tmp_path) as processes:
            started = [processes.add(name, WAITING_PROGRAM, ENV) for name in "abc"]
            for process in started:
                process.start()
            await lines(started[0].log, 1)
            started[1].freeze()
            pids.extend(process.pid for process in started)
            raise RuntimeError("the trial fails")

    with pytest.raises(RuntimeError, match="the trial fails"):
        await failing_trial()
    assert len(pids) == 3
    assert not any(map(alive, pids))


def test_duplicate_process_name_is_rejected(tmp_path: Path) -> None:
    processes = Processes(tmp_path)
    processes.add("a", WAITING_PROGRAM, ENV)
    with pytest.raises(ValueError, match="a is there already"):
        processes.add("a", WAITING_PROGRAM, ENV)


async def test_processes_end_when_the_trial_is_killed(tmp_path: Path) -> None:
    trial = f"""
import signal, sys
from pathlib import Path
from juniperreel.testbed.processes import (Processes)
process = Processes(Path({str(tmp_path)!r})).add("a", {list(WAITING_PROGRAM)!r}, {{}})
process.start()
print(process.pid, flush=True)
signal.pause()
"""
    parent = subprocess.Popen([sys.executable, "-c", trial], stdout=subprocess.PIPE)
    assert parent.stdout is not None
    try:
        pid = int(parent.stdout.readline())
        await lines(tmp_path / "a.log", 1)
        assert alive(pid)
    finally:
        parent.kill()
        parent.wait()
        parent.stdout.close()
    with trio.fail_after(SECONDS):
        while alive(pid):
            await trio.sleep(0.01)
