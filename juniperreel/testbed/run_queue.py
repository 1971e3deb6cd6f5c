"""Measures from outside how long processes wait in the scheduler's run queue.

An overloaded machine holds processes up just as injected hold-ups do. For each process, the kernel counts the
time for which it was runnable but did not run; samples of that counter tell when it waited.
"""

from __future__ import annotations

import threading
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Mapping, Sequence
from itertools import pairwise
from typing import NamedTuple

import trio

from juniperreel.testbed.hold_ups import NS_PER_US, HoldUp, held_up_us, monotonic_us
from juniperreel.testbed.processes import ManagedProcess

SAMPLE_INTERVAL_S = 0.005
MAX_WAIT_US = 10_000_000  # longest wait considered: it may begin in an interval and end after it


class WaitSample(NamedTuple):
    """The kernel's wait counter of a process at a time of the monotonic clock."""

    at_us: int
    pid: int
    waited_us: int  # total since the process started


class RunQueueWaits:
    """Samples by process name, and the waits derived from them."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._samples: defaultdict[str, list[WaitSample]] = defaultdict(list)

    def add(self, name: str, sample: WaitSample) -> None:
        """Add a sample; samples of one process must be added in order of time."""
        self._samples[name].append(sample)

    def samples(self, name: str) -> Sequence[WaitSample]:
        """Return the samples of a process so far."""
        return tuple(self._samples.get(name, ()))

    def waited_us(self, name: str, start_us: int, end_us: int, hold_ups: Sequence[HoldUp] = ()) -> int:
        """Return a lower bound of its wait within an interval, excluding recorded hold-ups.

        The kernel counts a wait when it ends, at some time between two samples. Time that may lie outside the
        interval, or within a hold-up, is not counted.
        """
        samples = self._samples.get(name, [])
        first = max(bisect_left(samples, (start_us,)) - 1, 0)
        total_us = 0
        for earlier, later in pairwise(samples[first:]):
            if earlier.at_us > end_us + MAX_WAIT_US:
                break
            if earlier.pid == later.pid and later.waited_us > earlier.waited_us:
                total_us += _min_wait_us(earlier, later, start_us, end_us, hold_ups)
        return min(total_us, end_us - start_us)


def _min_wait_us(
    earlier: WaitSample, later: WaitSample, start_us: int, end_us: int, hold_ups: Sequence[HoldUp]
) -> int:
    waited_us = later.waited_us - earlier.waited_us
    earliest_wait = HoldUp(earlier.at_us - waited_us, earlier.at_us)
    latest_wait = HoldUp(later.at_us - waited_us, later.at_us)
    within_us = min(wait.overlap_us(start_us, end_us) for wait in (earliest_wait, latest_wait))
    return max(0, within_us - held_up_us(hold_ups, earliest_wait.start_us, later.at_us))


class RunQueueRecorder:
    """Samples processes, which may start and exit, from its own thread, so that loop lag does not matter."""

    def __init__(self, processes: Mapping[str, ManagedProcess]) -> None:
        """`processes` is keyed by name and may gain entries while this runs."""
        self.waits = RunQueueWaits()
        self._processes = processes

    async def run(self) -> None:
        """Sample until cancelled."""
        stop = threading.Event()
        try:
            await trio.to_thread.run_sync(self._sample_until, stop, abandon_on_cancel=True)
        finally:
            stop.set()

    def _sample_until(self, stop: threading.Event) -> None:
        while not stop.wait(SAMPLE_INTERVAL_S):
            for process in list(self._processes.values()):
                self._sample(process)

    def _sample(self, process: ManagedProcess) -> None:
        if not process.starts:
            return
        # Does not poll the process, which would reap its exit status before the task that waits for it.
        pid = process.pid
        waited_ns = process.run_queue_wait_ns()
        if waited_ns is not None:
            self.waits.add(process.name, WaitSample(monotonic_us(), pid, waited_ns // NS_PER_US))
