"""Runs a plan: starts the client processes, reports progress, and merges their output into one result."""

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
START_DELAY_US = 1_500_000  # time for all processes to generate their requests and connect
EXIT_GRACE_S = 30.0  # after the plan's end plus the longest deadline, a process counts as hung
POLL_INTERVAL_S = 0.05
REPORT_DELAY_S = 0.2  # time after the end of a second for the processes' lines to arrive
CLOCK_TICKS_PER_S = 100  # unit of the CPU times in /proc
UTIME_FIELD = 11  # of /proc/PID/stat, counted after the command name
STIME_FIELD = 12


class LoadRunError(RuntimeError):
    """A run failed to produce a result."""


class ClientsFailedError(LoadRunError):
    """Client processes, identified by their numbers, exited with an error."""

    def __init__(self, numbers: list[int]) -> None:
        super().__init__(f"client processes {numbers} exited with an error")
        self.numbers = numbers


class ClientsHungError(LoadRunError):
    """Client processes did not exit after the end of the plan."""

    def __init__(self) -> None:
        super().__init__("client processes did not exit within the grace period after the end of the plan")


UsageBySecond = dict[int, list[ProcessUsage]]


class ProcessorTimes:
    """CPU usage of processes outside the run, such as the edge and its endpoints, read from /proc."""

    def __init__(self, process_ids: Mapping[str, int]) -> None:
        self._process_ids = process_ids
        self._previous_s = {name: self._processor_time_s(pid) for name, pid in process_ids.items()}

    def usage(self, second: int) -> list[ProcessUsage]:
        """Return each process's usage since the previous call or construction; 0 if it has exited."""
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
        return (int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])) / CLOCK_TICKS_PER_S


def run(
    plan: Plan, text: str, out: Path, report: Callable[[str], None], watched_pids: Mapping[str, int]
) -> None:
    """Run a plan to its end and write the result to `out`.

    `text` is the text of the plan; `report` is called with a progress line every second; `watched_pids` maps
    names to the ids of processes whose CPU usage is included in the result. Raises LoadRunError or OSError.
    """
    start_us = time.time_ns() // 1000 + START_DELAY_US
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        (folder / "plan.conf").write_text(text, encoding="utf-8")
        part_paths = [folder / f"part{number}.jsonl" for number in range(plan.processes)]
        usage: UsageBySecond = defaultdict(list)
        with (
            client_processes(folder / "plan.conf", start_us, part_paths) as processes,
            usage_readers(processes, usage),
        ):
            monitor(plan, start_us, processes, usage, report, ProcessorTimes(watched_pids))
        failed = [number for number, process in enumerate(processes) if process.returncode]
        if failed:
            raise ClientsFailedError(failed)
        write_result(out, RunStart(start_us, text), part_paths, usage)


@contextmanager
def client_processes(
    plan: Path, start_us: int, part_paths: list[Path]
) -> Iterator[list[subprocess.Popen[bytes]]]:
    """Run one client process for each part of the result; all have exited when the block ends."""
    command = [sys.executable, "-m", "juniperreel.load.client", str(plan)]
    processes = [
        subprocess.Popen([*command, str(number), str(start_us), str(part_path)], stdout=subprocess.PIPE)
        for number, part_path in enumerate(part_paths)
    ]
    try:
        yield processes
    finally:
        stop_processes(processes)


def stop_processes(processes: list[subprocess.Popen[bytes]]) -> None:
    """Kill the running processes and wait for all to exit."""
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.wait()


@contextmanager
def usage_readers(processes: list[subprocess.Popen[bytes]], usage: UsageBySecond) -> Iterator[None]:
    """Collect the processes' usage lines into `usage` by threads; stops the processes when the block ends."""
    threads = [threading.Thread(target=read_usage, args=(process, usage)) for process in processes]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop_processes(processes)  # a reader thread ends when its process exits
        for thread in threads:
            thread.join()


def read_usage(process: subprocess.Popen[bytes], usage: UsageBySecond) -> None:
    """Add a process's usage lines to `usage` until it closes its output."""
    assert process.stdout is not None
    decoder = msgspec.json.Decoder(ProcessUsage)
    for line in process.stdout:
        line_usage = decoder.decode(line)
        usage[line_usage.second].append(line_usage)


def write_result(out: Path, start: RunStart, part_paths: list[Path], usage: UsageBySecond) -> None:
    """Write the run's start, all attempts, and the usage of the processes by second."""
    with out.open("wb") as result:
        result.write(ENCODER.encode(start) + b"\n")
        for part_path in part_paths:
            with part_path.open("rb") as lines:
                shutil.copyfileobj(lines, result)
        for second in sorted(usage):
            for process_usage in usage[second]:
                result.write(ENCODER.encode(process_usage) + b"\n")


def monitor(
    plan: Plan,
    start_us: int,
    processes: list[subprocess.Popen[bytes]],
    usage: UsageBySecond,
    report: Callable[[str], None],
    watched: ProcessorTimes,
) -> None:
    """Report progress every second until all processes have exited. Raises ClientsHungError."""
    start_s = start_us / SECOND_US
    end_s = start_s + plan.duration_us / SECOND_US + plan.longest_deadline_us / SECOND_US + EXIT_GRACE_S
    second = 0
    while any(process.poll() is None for process in processes):
        if time.time() > end_s:
            raise ClientsHungError
        time.sleep(POLL_INTERVAL_S)
        if time.time() < start_s + second + 1 + REPORT_DELAY_S:
            continue
        second += 1
        clients = list(usage[second])
        usage[second] += watched.usage(second)
        report(live_line(second, stage_at(plan, second), clients, usage[second]))


def stage_at(plan: Plan, second: int) -> Stage:
    """Return the stage that is running at `second`, or the last one after the end of the plan."""
    for stage in plan.stages:
        if second * SECOND_US <= stage.start_us + stage.duration_us:
            return stage
    return plan.stages[-1]


def live_line(second: int, stage: Stage, clients: list[ProcessUsage], processes: list[ProcessUsage]) -> str:
    """Format a progress line with the clients' counts in a second and the CPU usage of all processes."""
    requests = sum(client.requests for client in clients)
    served = sum(client.served for client in clients)
    rejected = sum(client.rejected for client in clients)
    max_lag_ms = max((client.lag_us for client in clients), default=0) / 1000
    cpu_usage = " ".join(f"{process.name} {process.cpu:.2f}" for process in processes)
    return (
        f"{second:4d} s {stage.name:<10} asked {requests:6d} served {served:6d} refused {rejected:6d}; "
        f"client late {max_lag_ms:.0f} ms; cpu {cpu_usage}"
    )
