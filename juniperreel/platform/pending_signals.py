"""Signals that arrive while modules are still loading: noted with their time, and handled later."""

from __future__ import annotations

import time
from typing import NamedTuple


class PendingSignal(NamedTuple):
    """A signal's number, and the monotonic time at which it arrived."""

    number: int
    arrived_s: float

    @property
    def waited_us(self) -> int:
        """How long it has waited to be handled."""
        return int((time.monotonic() - self.arrived_s) * 1_000_000)


def note(pending: list[PendingSignal], number: int) -> None:
    """Add a signal that arrives now."""
    pending.append(PendingSignal(number, time.monotonic()))
