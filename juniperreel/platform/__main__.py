"""`python -m juniperreel.platform`: one driver in the foreground, as the platform starts it."""

from __future__ import annotations

import signal
import sys

from juniperreel.platform.pending_signals import PendingSignal, note

# A signal that arrives while modules are still loading would end the process: it is noted, and handled later.
PENDING_SIGNALS: list[PendingSignal] = []


def _note_signal(number: int, _frame: object) -> None:
    note(PENDING_SIGNALS, number)


for _number in (signal.SIGTERM, signal.SIGHUP):
    signal.signal(_number, _note_signal)

if __name__ == "__main__":
    from juniperreel.platform.run import main

    sys.exit(main(PENDING_SIGNALS))
