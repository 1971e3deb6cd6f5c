"""Injects and counts operating system faults in the current process.

System calls fail transiently or transfer less than requested, the wall clock is stepped, the process is held
up after it has read its clock, and files cannot be read. Each kind has its own rate; `InjectedFaults.counts`
tells how often each occurred, which distinguishes a trial that passed from one whose faults did not occur.
"""

from __future__ import annotations

import errno
import mmap
import os
import random
import select
import socket
import struct
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Any

from juniperreel.net import Clock
from juniperreel.testbed.hold_ups import HeldUpEpoll, HoldUpRecorder

HOUR_S = 3600.0
WALL_CLOCK_STEPS_S = (-HOUR_S, -3.0, 3.0, HOUR_S)
MAX_HOLD_UP_S = 0.15


class FaultKind(Enum):
    """Kinds of faults that can be injected."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    SHORT_READ = "short-read"
    SHORT_WRITE = "short-write"
    WRITE = "write"
    BROKEN_CONNECTION = "broken-connection"  # only of connections that this process opened
    SOCKET_OPTION = "socket-option"
    FILE = "file"
    HALF_FILE = "half-file"
    WALL_CLOCK = "wall-clock"  # stepped while the process runs
    WALL_CLOCK_AT_START = "wall-clock-at-start"  # stepped before the process started
    HOLD_UP = "hold-up"  # after a reading of the clock
    HOLD_UP_IN_WAIT = "hold-up-in-wait"  # while it waits for events


KINDS = list(FaultKind)
COUNT = struct.Struct("<Q")

ERRNOS: Mapping[FaultKind, Sequence[int]] = {
    FaultKind.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS),
    FaultKind.SOCKET: (errno.ENFILE, errno.ENOBUFS),
    FaultKind.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH),
    FaultKind.WRITE: (errno.ENOBUFS,),
    FaultKind.BROKEN_CONNECTION: (errno.ETIMEDOUT, errno.EHOSTUNREACH),
    FaultKind.SOCKET_OPTION: (errno.ENOBUFS,),
    FaultKind.FILE: (errno.EIO, errno.ENFILE),
}


class SharedCounts:
    """One counter for each kind of fault, in a memory-mapped file."""

    def __init__(self, path: Path) -> None:
        """Map the file, creating it with zeros if it does not exist."""
        with path.open("a+b") as file:
            file.truncate(len(FaultKind) * COUNT.size)
            self._map = mmap.mmap(file.fileno(), len(FaultKind) * COUNT.size)

    def increment(self, kind: FaultKind) -> None:
        """Increment the counter of a kind."""
        offset = KINDS.index(kind) * COUNT.size
        (count,) = COUNT.unpack_from(self._map, offset)
        COUNT.pack_into(self._map, offset, count + 1)

    def read(self) -> Counter[FaultKind]:
        """Return the current values of all counters."""
        numbers = [count for (count,) in COUNT.iter_unpack(self._map[:])]
        return Counter(dict(zip(KINDS, numbers, strict=True)))


class InjectedFaults:
    """Decides at random which calls fail. `rates`: fraction of calls by kind; missing kinds never fail."""

    def __init__(
        self,
        rates: Mapping[FaultKind, float],
        seed: int,
        counts_file: Path | None = None,
        hold_ups_file: Path | None = None,
    ) -> None:
        """Write counts and hold-ups to these files, so that both survive a kill of the process."""
        self._hold_ups = None if hold_ups_file is None else HoldUpRecorder(hold_ups_file)
        self._shared = None if counts_file is None else SharedCounts(counts_file)
        self.rates = dict(rates)
        self.counts: Counter[FaultKind] = Counter()
        self.next_errnos: dict[FaultKind, int] = {}  # forces the next call of a kind to fail with this error
        self.random = random.Random(seed)

    def occurs(self, kind: FaultKind) -> bool:
        """Decide at random whether a fault occurs now, and count it."""
        rate = self.rates.get(kind, 0.0)
        if kind not in self.next_errnos and (not rate or self.random.random() >= rate):
            return False
        self.counts[kind] += 1
        if self._shared is not None:
            self._shared.increment(kind)
        return True

    def draw_errno(self, kind: FaultKind) -> int:
        """Return one of the errors that a fault of this kind causes."""
        return self.next_errnos.pop(kind, 0) or self.random.choice(ERRNOS[kind])

    def hold_up_if_occurs(self, kind: FaultKind) -> None:
        """Hold the process up if a fault of this kind occurs now."""
        if not self.occurs(kind):
            return
        seconds = self.random.uniform(0, MAX_HOLD_UP_S)
        if self._hold_ups is None:
            time.sleep(seconds)
        else:
            self._hold_ups.hold_up(seconds)

    def raise_if_occurs(self, kind: FaultKind) -> None:
        """Raise OSError if a fault of this kind occurs now."""
        if self.occurs(kind):
            number = self.draw_errno(kind)
            raise OSError(number, os.strerror(number))


class FaultySocket(socket.socket):
    """A socket whose calls fail as decided by `faults`. Replaces `socket.socket`."""

    faults = InjectedFaults({}, 0)

    def __init__(
        self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
    ) -> None:  # parameter names of the standard library
        """Open a socket, or fail, if no file descriptor is given."""
        if fileno is None:
            self.faults.raise_if_occurs(FaultKind.SOCKET)
        super().__init__(family, type, proto, fileno)
        self._is_connection = False  # false for listeners and for wake-up socket pairs
        self._is_outgoing = False

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection, or fail without taking one from the queue."""
        self.faults.raise_if_occurs(FaultKind.ACCEPT)
        connection, address = super().accept()
        if not isinstance(connection, FaultySocket):
            connection = FaultySocket(fileno=connection.detach())
        connection._is_connection = True
        return connection, address

    def connect(self, address: Any) -> None:
        """Connect, or fail."""
        self.faults.raise_if_occurs(FaultKind.CONNECT)
        self._is_connection = self._is_outgoing = True
        super().connect(address)

    def connect_ex(self, address: Any) -> int:
        """Connect, or return an error."""
        if self.faults.occurs(FaultKind.CONNECT):
            return self.faults.draw_errno(FaultKind.CONNECT)
        self._is_connection = self._is_outgoing = True
        return super().connect_ex(address)

    def setsockopt(self, *arguments: Any) -> None:
        """Set an option, or fail."""
        if self._is_connection and not self._is_outgoing:
            self.faults.raise_if_occurs(FaultKind.SOCKET_OPTION)
        super().setsockopt(*arguments)

    def send(self, data: Any, flags: int = 0) -> int:
        """Send some of the data, or fail."""
        if not self._is_connection:
            return super().send(data, flags)
        self._break_if_occurs()
        self.faults.raise_if_occurs(FaultKind.WRITE)
        if len(data) > 1 and self.faults.occurs(FaultKind.SHORT_WRITE):
            data = bytes(data[: self.faults.random.randrange(1, len(data))])
        return super().send(data, flags)

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Receive some of the available data, or fail."""
        if not self._is_connection:
            return super().recv(bufsize, flags)
        self._break_if_occurs()
        if not flags & socket.MSG_PEEK and self.faults.occurs(FaultKind.SHORT_READ):
            bufsize = min(bufsize, self.faults.random.randrange(1, 200))
        return super().recv(bufsize, flags)

    def _break_if_occurs(self) -> None:
        if self._is_outgoing:
            self.faults.raise_if_occurs(FaultKind.BROKEN_CONNECTION)


def install(faults: InjectedFaults) -> None:
    """Install the faults in this process. Must be called before `socket.socket` is imported by name."""
    FaultySocket.faults = faults
    socket.socket = FaultySocket  # type: ignore[misc]
    _install_wall_clock(faults)
    _install_hold_ups(faults)
    _install_files(faults)


def _install_wall_clock(faults: InjectedFaults) -> None:
    """Step the wall clock by seconds or an hour, at any reading."""
    read_ns = time.time_ns
    step_s = 0.0
    if faults.occurs(FaultKind.WALL_CLOCK_AT_START):
        step_s = faults.random.choice(WALL_CLOCK_STEPS_S)

    def stepped_s() -> float:
        nonlocal step_s
        if faults.occurs(FaultKind.WALL_CLOCK):
            step_s = faults.random.choice(WALL_CLOCK_STEPS_S)
        return step_s

    time.time_ns = lambda: read_ns() + int(stepped_s() * 1e9)
    time.time = lambda: read_ns() / 1e9 + stepped_s()


def _install_hold_ups(faults: InjectedFaults) -> None:
    """Hold the process up between a reading of its clock and the use of the result."""
    now_us = Clock.now_us

    def held_up(clock: Clock) -> int:
        read_us = now_us(clock)
        faults.hold_up_if_occurs(FaultKind.HOLD_UP)
        return read_us

    Clock.now_us = held_up  # type: ignore[method-assign, assignment]
    _install_hold_ups_in_waits(faults)


def _install_hold_ups_in_waits(faults: InjectedFaults) -> None:
    """Hold the process up while it waits for events, so that it returns from the poll late."""
    open_epoll = select.epoll
    hold_up = partial(faults.hold_up_if_occurs, FaultKind.HOLD_UP_IN_WAIT)
    select.epoll = partial(HeldUpEpoll, open_epoll, hold_up)  # type: ignore[assignment, misc]


def _install_files(faults: InjectedFaults) -> None:
    """Make reading a file fail, or return only the first half of its content."""
    read_bytes = Path.read_bytes

    def faulty(path: Path) -> bytes:
        faults.raise_if_occurs(FaultKind.FILE)
        data = read_bytes(path)
        return data[: len(data) // 2] if faults.occurs(FaultKind.HALF_FILE) else data

    Path.read_bytes = faulty  # type: ignore[method-assign, assignment]
