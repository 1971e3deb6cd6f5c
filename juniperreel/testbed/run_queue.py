"""How long processes wait for a processor, recorded from outside of them.

A machine that has too much to do holds processes up as the injected hold-ups do. The kernel counts, for each
process, how long it was ready to run and did not; the samples of that count tell when.
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
MAX_WAIT_US = 10_000_000  # that is looked for behind a span in which it may have begun


class WaitSample(NamedTuple):
    """The kernel's count at a time of the monotonic clock, of the process that had this id."""

    at_us: int
    pid: int
    waited_us: int  # since that process began


class RunQueueWaits:
    """The samples of processes, by name, and what follows from them."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: defaultdict[str, list[WaitSample]] = defaultdict(list)

    def add(self, name: str, sample: WaitSample) -> None:
        """Add a sample; those of one process come in the order of time."""
        self._samples[name].append(sample)

    def samples(self, name: str) -> Sequence[WaitSample]:
        """Return what was sampled of a process so far."""
        return tuple(self._samples.get(name, ()))

    def waited_us(self, name: str, start_us: int, end_us: int, hold_ups: Sequence[HoldUp] = ()) -> int:
        """Return how long it waited within a span at the least, beside recorded hold-ups.

        The kernel counts a wait when it is over, at some time between two samples. What may have been outside
        of the span, or within a hold-up, is not counted.
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
    """Samples processes, which may come and go, from a thread of its own, whether the loop is late or not."""

    def __init__(self, processes: Mapping[str, ManagedProcess]) -> None:
        """`processes` by name; may gain entries while this runs."""
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
        # Whether it has ended is not asked: that would take its exit status from who waits for it.
        pid = process.pid
        waited_ns = process.run_queue_wait_ns()
        if waited_ns is not None:
            self.waits.add(process.name, WaitSample(monotonic_us(), pid, waited_ns // NS_PER_US))
