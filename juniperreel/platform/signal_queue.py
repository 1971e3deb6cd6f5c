"""Queue of signals with their arrival times, filled by signal handlers and drained by the event loop.

The platform measures the time to the kill from the signal, even if its handling is delayed while modules are
loading or listening is retried.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


class ArrivedSignal(NamedTuple):
    """A signal number and its monotonic arrival time."""

    number: int
    arrived_s: float

    @property
    def waited_us(self) -> int:
        """How long the signal has been waiting to be handled."""
        return int((time.monotonic() - self.arrived_s) * 1_000_000)


class SignalQueue:
    """Pending signals, oldest first.

    `wake`, if set, is called from the signal handler and must be safe to call there.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.wake: Callable[[], None] | None = None
        self._arrived: list[ArrivedSignal] = []

    def install(self, numbers: Sequence[int] = HANDLED_SIGNALS) -> None:
        """Install a handler that queues these signals instead of their default action."""
        for number in numbers:
            signal.signal(number, self._on_signal)

    def ignore(self, numbers: Sequence[int] = HANDLED_SIGNALS) -> None:
        """Ignore these signals, so that an orderly exit is not interrupted by another one."""
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
