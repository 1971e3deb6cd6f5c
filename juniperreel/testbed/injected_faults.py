"""Faults of the operating system, injected into the process that loads this module, and counted there.

System calls fail for a moment or are short, the wall clock is stepped, the process is held up after it read
its clock, and files can't be read. Each kind has a rate of its own; `InjectedFaults.counts` says how often
each one happened, so that a trial whose faults did not happen can be told from one that passed.
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
    """What can be injected."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    SHORT_READ = "short-read"
    SHORT_WRITE = "short-write"
    WRITE = "write"
    BROKEN_CONNECTION = "broken-connection"  # of those that this process opened
    SOCKET_OPTION = "socket-option"
    FILE = "file"
    HALF_FILE = "half-file"
    WALL_CLOCK = "wall-clock"  # it is stepped while the process runs
    WALL_CLOCK_AT_START = "wall-clock-at-start"  # it was stepped before
    HOLD_UP = "hold-up"  # behind a reading of the clock
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
    """One number for each kind of fault, in a file that is mapped into memory."""

    def __init__(self, path: Path) -> None:
        """Map the file, made with zeros where it does not exist."""
        with path.open("a+b") as file:
            file.truncate(len(FaultKind) * COUNT.size)
            self._map = mmap.mmap(file.fileno(), len(FaultKind) * COUNT.size)

    def increment(self, kind: FaultKind) -> None:
        """Add one to a kind's number."""
        offset = KINDS.index(kind) * COUNT.size
        (count,) = COUNT.unpack_from(self._map, offset)
        COUNT.pack_into(self._map, offset, count + 1)

    def read(self) -> Counter[FaultKind]:
        """All numbers as they are now."""
        numbers = [count for (count,) in COUNT.iter_unpack(self._map[:])]
        return Counter(dict(zip(KINDS, numbers, strict=True)))


class InjectedFaults:
    """Draws which call fails. `rates` has the part of calls by kind; kinds that it leaves out never fail."""

    def __init__(
        self,
        rates: Mapping[FaultKind, float],
        seed: int,
        counts_file: Path | None = None,
        hold_ups_file: Path | None = None,
    ) -> None:
        """Count into `counts_file`, and record hold-ups, so that both outlive a process that is killed."""
        self._hold_ups = None if hold_ups_file is None else HoldUpRecorder(hold_ups_file)
        self._shared = None if counts_file is None else SharedCounts(counts_file)
        self.rates = dict(rates)
        self.counts: Counter[FaultKind] = Counter()
        self.next_errnos: dict[FaultKind, int] = {}  # the next call of a kind fails with this error
        self.random = random.Random(seed)

    def occurs(self, kind: FaultKind) -> bool:
        """Draw whether a fault happens now, and count it."""
        rate = self.rates.get(kind, 0.0)
        if kind not in self.next_errnos and (not rate or self.random.random() >= rate):
            return False
        self.counts[kind] += 1
        if self._shared is not None:
            self._shared.increment(kind)
        return True

    def draw_errno(self, kind: FaultKind) -> int:
        """One of the errors by which a fault of this kind shows."""
        return self.next_errnos.pop(kind, 0) or self.random.choice(ERRNOS[kind])

    def hold_up_if_occurs(self, kind: FaultKind) -> None:
        """Hold the process up where a fault of this kind happens now."""
        if not self.occurs(kind):
            return
        seconds = self.random.uniform(0, MAX_HOLD_UP_S)
        if self._hold_ups is None:
            time.sleep(seconds)
        else:
            self._hold_ups.hold_up(seconds)

    def raise_if_occurs(self, kind: FaultKind) -> None:
        """Raise OSError where a fault of this kind happens now."""
        if self.occurs(kind):
            number = self.draw_errno(kind)
            raise OSError(number, os.strerror(number))


class FaultySocket(socket.socket):
    """A socket whose calls fail by `faults`. Takes the place of `socket.socket`."""

    faults = InjectedFaults({}, 0)

    def __init__(
        self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
    ) -> None:  # the standard library's own names
        """Open a socket, or fail where none is handed in."""
        if fileno is None:
            self.faults.raise_if_occurs(FaultKind.SOCKET)
        super().__init__(family, type, proto, fileno)
        self._is_connection = False  # and no listener, nor a pair by which a process wakes itself
        self._is_outgoing = False

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection, or fail before one is taken."""
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
        """Receive some of what is there, or fail."""
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
    """Inject the faults into this process from now on. To be called before sockets are imported by name."""
    FaultySocket.faults = faults
    socket.socket = FaultySocket  # type: ignore[misc]
    _install_wall_clock(faults)
    _install_hold_ups(faults)
    _install_files(faults)


def _install_wall_clock(faults: InjectedFaults) -> None:
    """Have the wall clock stepped, by seconds or an hour, at any reading."""
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
    """Hold the process up now and then, between a reading of its clock and what it does with it."""
    now_us = Clock.now_us

    def held_up(clock: Clock) -> int:
        read_us = now_us(clock)
        faults.hold_up_if_occurs(FaultKind.HOLD_UP)
        return read_us

    Clock.now_us = held_up  # type: ignore[method-assign, assignment]
    _install_hold_ups_in_waits(faults)


def _install_hold_ups_in_waits(faults: InjectedFaults) -> None:
    """Hold the process up while it waits for events, which are found at the end of the wait."""
    open_epoll = select.epoll
    hold_up = partial(faults.hold_up_if_occurs, FaultKind.HOLD_UP_IN_WAIT)
    select.epoll = partial(HeldUpEpoll, open_epoll, hold_up)  # type: ignore[assignment, misc]


def _install_files(faults: InjectedFaults) -> None:
    """Have files fail to be read, or be found half written."""
    read_bytes = Path.read_bytes

    def faulty(path: Path) -> bytes:
        faults.raise_if_occurs(FaultKind.FILE)
        data = read_bytes(path)
        return data[: len(data) // 2] if faults.occurs(FaultKind.HALF_FILE) else data

    Path.read_bytes = faulty  # type: ignore[method-assign, assignment]
