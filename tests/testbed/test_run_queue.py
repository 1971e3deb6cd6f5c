"""Run queue waits: the lower bounds derived from samples, and the sampling of processes."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

from juniperreel.testbed.hold_ups import HoldUp, monotonic_us
from juniperreel.testbed.processes import Processes
from juniperreel.testbed.run_queue import RunQueueRecorder, RunQueueWaits, WaitSample

PID = 7
BUSY = "while True: pass"


def waits_of(*samples: tuple[int, int]) -> RunQueueWaits:
    """Create samples of one process from pairs of time and wait counter."""
    waits = RunQueueWaits()
    for at_us, waited_us in samples:
        waits.add("n0", WaitSample(at_us, PID, waited_us))
    return waits


def test_waits_within_a_span_are_counted() -> None:
    waits = waits_of((0, 0), (100, 8), (200, 8), (300, 15))
    assert waits.waited_us("n0", -50, 400) == 15
    assert waits.waited_us("n0", 100, 190) == 0
    assert waits.waited_us("n0", 190, 400) == 7
    assert waits.waited_us("n1", -50, 400) == 0


def test_wait_is_counted_when_it_ends_and_reaches_back_by_its_length() -> None:
    waits = waits_of((0, 0), (100, 0), (200, 0), (300, 250))
    assert waits.waited_us("n0", 50, 200) == 150
    assert waits.waited_us("n0", 0, 60) == 10, "it may have begun at time 50"


def test_a_wait_that_may_have_been_outside_of_the_span_is_not_counted() -> None:
    waits = waits_of((0, 0), (100, 60))
    assert waits.waited_us("n0", 50, 100) == 0, "it may have ended right after the first sample"
    assert waits.waited_us("n0", -60, 70) == 30, "or right before the second"


def test_a_wait_that_may_be_part_of_a_hold_up_is_not_counted() -> None:
    waits = waits_of((0, 0), (100, 60))
    assert waits.waited_us("n0", -60, 100, [HoldUp(0, 50)]) == 10
    assert waits.waited_us("n0", -60, 100, [HoldUp(200, 250)]) == 60


def test_counts_of_different_pids_are_not_compared() -> None:
    waits = waits_of((0, 50))
    waits.add("n0", WaitSample(10, PID + 1, 90))
    assert waits.waited_us("n0", 0, 10) == 0


async def test_processes_are_sampled_as_they_come_and_go(tmp_path: Path) -> None:
    processes = Processes(tmp_path)
    recorder = RunQueueRecorder(processes.by_name)
    start_us = monotonic_us()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(recorder.run)
        for name in ("a", "b"):
            process = processes.add(name, [sys.executable, "-c", BUSY], {})
            process.start()
        with trio.fail_after(30):
            while min(len(recorder.waits.samples(name)) for name in ("a", "b")) < 5:
                await trio.sleep(0.01)
        processes.kill_all()
        nursery.cancel_scope.cancel()
    for name in ("a", "b"):
        counts = [sample.waited_us for sample in recorder.waits.samples(name)]
        assert counts == sorted(counts)
        assert 0 <= recorder.waits.waited_us(name, start_us, monotonic_us()) <= counts[-1]
