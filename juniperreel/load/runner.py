"""Runs a plan: starts the client processes, shows a live line, and puts what they wrote into one result."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path

import msgspec

from juniperreel.load.plan import Plan, Stage
from juniperreel.load.result_file import ENCODER, ProcessUsage, RunStart

SECOND_US = 1_000_000
LEAD_US = 1_500_000  # for all processes to draw their arrivals and connect
GRACE_S = 30.0  # beyond the plan's end and the longest deadline, before a process counts as hung
POLL_S = 0.05
REPORT_DELAY_S = 0.2  # after a second's end, for its lines to come
TICKS_PER_S = 100  # of /proc's processor times
UTIME_FIELD = 11  # of /proc/PID/stat, counted from behind the command's name
STIME_FIELD = 12


class LoadRunError(RuntimeError):
    """A run came to no result."""


class ClientsFailedError(LoadRunError):
    """Client processes, given by their numbers, ended with an error."""

    def __init__(self, numbers: list[int]) -> None:
        super().__init__(f"client processes {numbers} failed")
        self.numbers = numbers


class ClientsHungError(LoadRunError):
    """Client processes went on beyond the plan's end."""

    def __init__(self) -> None:
        super().__init__("the clients did not come to an end")


UsageBySecond = dict[int, list[ProcessUsage]]


class ProcessorTimes:
    """CPU of processes that are not ours, from /proc: the edge's and the members'."""

    def __init__(self, process_ids: Mapping[str, int]) -> None:
        self._process_ids = process_ids
        self._previous_s = {name: self._processor_time_s(pid) for name, pid in process_ids.items()}

    def usage(self, second: int) -> list[ProcessUsage]:
        """What each spent since the last call, or since the start; 0 for one that has ended."""
        usage = []
        for name, pid in self._process_ids.items():
            time_s = self._processor_time_s(pid)
            usage.append(ProcessUsage(second, name, max(0.0, time_s - self._previous_s[name])))
            self._previous_s[name] = time_s
        return usage

    @staticmethod
    def _processor_time_s(pid: int) -> float:
        try:
            fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])) / TICKS_PER_S


def run(plan: Plan, text: str, out: Path, report: Callable[[str], None], watch: Mapping[str, int]) -> None:
    """Run a plan and leave its result in `out`; blocks until it is over.

    `text` is the plan's; `report` is given a line a second; `watch` has names and process ids whose CPU goes
    into the result. Raises LoadRunError and OSError.
    """
    start_us = time.time_ns() // 1000 + LEAD_US
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        (folder / "plan.conf").write_text(text, encoding="utf-8")
        parts = [folder / f"part{number}.jsonl" for number in range(plan.processes)]
        usage: UsageBySecond = defaultdict(list)
        with (
            client_processes(folder / "plan.conf", start_us, parts) as processes,
            usage_readers(processes, usage),
        ):
            follow(plan, start_us, processes, usage, report, ProcessorTimes(watch))
        failed = [number for number, process in enumerate(processes) if process.returncode]
        if failed:
            raise ClientsFailedError(failed)
        write_result(out, RunStart(start_us, text), parts, usage)


@contextmanager
def client_processes(plan: Path, start_us: int, parts: list[Path]) -> Iterator[list[subprocess.Popen[bytes]]]:
    """A client process for each part of the result; all have ended outside the block."""
    module = [sys.executable, "-m", "juniperreel.load.client", str(plan)]
    processes = [
        subprocess.Popen([*module, str(number), str(start_us), str(part)], stdout=subprocess.PIPE)
        for number, part in enumerate(parts)
    ]
    try:
        yield processes
    finally:
        stop_processes(processes)


def stop_processes(processes: list[subprocess.Popen[bytes]]) -> None:
    """Kill those that run and wait for all."""
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.wait()


@contextmanager
def usage_readers(processes: list[subprocess.Popen[bytes]], usage: UsageBySecond) -> Iterator[None]:
    """Threads that add what the processes print to `usage`; the processes are stopped behind the block."""
    threads = [threading.Thread(target=read_usage, args=(process, usage)) for process in processes]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop_processes(processes)  # a reader ends with its process
        for thread in threads:
            thread.join()


def read_usage(process: subprocess.Popen[bytes], usage: UsageBySecond) -> None:
    """Add a process's lines to `usage` until it closes its output."""
    assert process.stdout is not None
    decoder = msgspec.json.Decoder(ProcessUsage)
    for line in process.stdout:
        line_usage = decoder.decode(line)
        usage[line_usage.second].append(line_usage)


def write_result(out: Path, start: RunStart, parts: list[Path], usage: UsageBySecond) -> None:
    """Write the start, all attempts, and what processes spent second by second."""
    with out.open("wb") as result:
        result.write(ENCODER.encode(start) + b"\n")
        for part in parts:
            with part.open("rb") as lines:
                shutil.copyfileobj(lines, result)
        for second in sorted(usage):
            for process_usage in usage[second]:
                result.write(ENCODER.encode(process_usage) + b"\n")


def follow(
    plan: Plan,
    start_us: int,
    processes: list[subprocess.Popen[bytes]],
    usage: UsageBySecond,
    report: Callable[[str], None],
    watched: ProcessorTimes,
) -> None:
    """Report a line a second until all processes have ended. Raises ClientsHungError."""
    start_s = start_us / SECOND_US
    end_s = start_s + plan.span_us / SECOND_US + plan.longest_deadline_us / SECOND_US + GRACE_S
    second = 0
    while any(process.poll() is None for process in processes):
        if time.time() > end_s:
            raise ClientsHungError
        time.sleep(POLL_S)
        if time.time() < start_s + second + 1 + REPORT_DELAY_S:
            continue
        second += 1
        clients = list(usage[second])
        usage[second] += watched.usage(second)
        report(live_line(second, stage_at(plan, second), clients, usage[second]))


def stage_at(plan: Plan, second: int) -> Stage:
    """The first stage that is not over by this second, or the last one."""
    for stage in plan.stages:
        if second * SECOND_US <= stage.start_us + stage.span_us:
            return stage
    return plan.stages[-1]


def live_line(second: int, stage: Stage, clients: list[ProcessUsage], processes: list[ProcessUsage]) -> str:
    """What clients did in this second, and the CPU of all processes."""
    requests = sum(client.requests for client in clients)
    served = sum(client.served for client in clients)
    rejected = sum(client.rejected for client in clients)
    lag_ms = max((client.lag_us for client in clients), default=0) / 1000
    cpus = " ".join(f"{process.name} {process.cpu:.2f}" for process in processes)
    return (
        f"{second:4d} s {stage.name:<10} asked {requests:6d} served {served:6d} refused {rejected:6d}; "
        f"client late {lag_ms:.0f} ms; cpu {cpus}"
    )
