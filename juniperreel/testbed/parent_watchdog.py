"""Starts a program on a leash: `python -S -E parent_watchdog.py PARENT NICE PROGRAM ARGUMENTS...`.

The kernel ends the program when the process PARENT, which started it, has ended, however that came about: so
nothing outlives a trial that was itself killed. By NICE it gives way to others (0: it doesn't).
Standard library only; a script, not imported by anybody.
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1


def main(arguments: list[str]) -> int:
    parent = int(arguments[0])
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent:
        return 1  # it ended before the leash was on
    os.nice(int(arguments[1]))
    os.execvp(arguments[2], arguments[2:])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
