"""Signals with the times of their arrival: noted by the handlers, and handled by the event loop later.

The operators count the time to the kill from the signal, however long its handling has to wait: modules may
still be loading then, or listening be tried again.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


class ArrivedSignal(NamedTuple):
    """A signal's number, and the monotonic time at which it arrived."""

    number: int
    arrived_s: float

    @property
    def waited_us(self) -> int:
        """How long it has waited to be handled."""
        return int((time.monotonic() - self.arrived_s) * 1_000_000)


class SignalQueue:
    """The signals that are not handled yet, oldest first.

    `wake`, where it is set, is called from the signal handler and must be safe there.
    """

    def __init__(self) -> None:
        """Start without signals."""
        self.wake: Callable[[], None] | None = None
        self._arrived: list[ArrivedSignal] = []

    def install(self, numbers: Sequence[int] = HANDLED_SIGNALS) -> None:
        """Note these signals from now on, in place of what they do by default."""
        for number in numbers:
            signal.signal(number, self._on_signal)

    def ignore(self, numbers: Sequence[int] = HANDLED_SIGNALS) -> None:
        """Ignore these signals: a process that ends as it was told must not end by the next one."""
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, _frame: object) -> None:
        self._arrived.append(ArrivedSignal(number, time.monotonic()))
        if self.wake is not None:
            self.wake()

    def take(self) -> list[ArrivedSignal]:
        """Return the signals that have arrived since the last call."""
        arrived: list[ArrivedSignal] = []
        while self._arrived:
            arrived.append(self._arrived.pop(0))
        return arrived
