"""Runs a program that is killed when its parent process exits.

    python -S -E parent_watchdog.py PARENT PROGRAM ARGUMENTS...

The kernel kills the program when the process PARENT, which started it, exits for any reason, so that no
process survives a trial that was itself killed.
Uses the standard library only: it runs as a script, without site packages, and nothing imports it.
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # from <sys/prctl.h>
PARENT_ENDED_STATUS = 1


def main(arguments: list[str]) -> None:
    """Request the parent-death signal from the kernel, then execute the program.

    Exits with PARENT_ENDED_STATUS if the parent exited before the request. Raises OSError.
    """
    parent, *command = arguments
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != int(parent):
        sys.exit(PARENT_ENDED_STATUS)
    os.execvp(command[0], command)


if __name__ == "__main__":
    main(sys.argv[1:])
