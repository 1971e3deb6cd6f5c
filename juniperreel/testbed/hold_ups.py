"""Injected hold-ups of a process, as caused by an overloaded machine, and the log of their times.

Times are on the monotonic clock, which all processes of a machine share. A checker in another process can
thus distinguish an answer delayed by a hold-up at its deadline from one that is late for another reason.
"""

from __future__ import annotations

import select
import struct
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from juniperreel.net.clock import US

HOLD_UPS_SUFFIX = ".hold-ups"
RECORD = struct.Struct("<QQ")
NS_PER_US = 1_000


def monotonic_us() -> int:
    """Return the time of the monotonic clock, which all processes of a machine share."""
    return time.monotonic_ns() // NS_PER_US


class HoldUp(NamedTuple):
    """One hold-up, in microseconds of the monotonic clock."""

    start_us: int
    end_us: int

    def overlap_us(self, start_us: int, end_us: int) -> int:
        """Return how much of it lies within an interval."""
        return max(0, min(self.end_us, end_us) - max(self.start_us, start_us))


class HoldUpRecorder:
    """Holds this process up, and appends each hold-up to a file."""

    def __init__(self, path: Path) -> None:
        """Open the file for appending."""
        self._file = path.open("ab", buffering=0)

    def hold_up(self, seconds: float) -> None:
        """Block the process. The record is written first, since the process may be killed meanwhile."""
        start_us = monotonic_us()
        due_us = start_us + int(seconds * US)
        self._file.write(RECORD.pack(start_us, due_us))
        time.sleep(seconds)
        self._file.write(RECORD.pack(due_us, max(due_us, monotonic_us())))


def read_hold_ups(directory: Path) -> Mapping[str, Sequence[HoldUp]]:
    """Return the hold-ups recorded in `directory`, keyed by process name."""
    found: defaultdict[str, list[HoldUp]] = defaultdict(list)
    for path in directory.glob(f"*{HOLD_UPS_SUFFIX}"):
        name = path.name.partition(".")[0]
        found[name].extend(_records(path))
    return found


def _records(path: Path) -> Iterator[HoldUp]:
    data = path.read_bytes()
    whole = len(data) - len(data) % RECORD.size  # the process may have been killed during a write
    return (HoldUp(start_us, end_us) for start_us, end_us in RECORD.iter_unpack(data[:whole]))


def held_up_us(hold_ups: Iterable[HoldUp], start_us: int, end_us: int) -> int:
    """Return how long a process was held up within an interval."""
    return sum(hold_up.overlap_us(start_us, end_us) for hold_up in hold_ups)


class HeldUpEpoll:
    """An epoll object that injects hold-ups into its waits. Replaces `select.epoll`."""

    def __init__(self, open_epoll: Callable[[], select.epoll], hold_up_in_wait: Callable[[], None]) -> None:
        """`hold_up_in_wait` is called at the end of each wait, before it returns."""
        self._epoll = open_epoll()
        self._hold_up_in_wait = hold_up_in_wait

    def __getattr__(self, name: str) -> Any:
        """Delegate everything else to the wrapped epoll object."""
        return getattr(self._epoll, name)

    def poll(self, timeout: float | None = None, maxevents: int = -1) -> list[tuple[int, int]]:
        """Wait for events."""
        found = self._epoll.poll(timeout, maxevents)
        if timeout != 0:
            self._hold_up_in_wait()
        return found
