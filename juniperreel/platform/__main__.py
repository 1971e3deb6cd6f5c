"""`python -m juniperreel.platform`: one real driver in the foreground, as the platform starts it."""

from __future__ import annotations

import signal
import sys

# Danger: a signal that comes while modules are still loading would end the process.
PENDING: list[int] = []


def _note(number: int, _frame: object) -> None:
    PENDING.append(number)


for _number in (signal.SIGTERM, signal.SIGHUP):
    signal.signal(_number, _note)

if __name__ == "__main__":
    from juniperreel.platform.run import main

    sys.exit(main(PENDING))
