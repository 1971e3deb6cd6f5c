"""Runs a program that ends with its parent.

    python -S -E parent_watchdog.py PARENT PROGRAM ARGUMENTS...

The kernel kills the program when the process PARENT, which started it, has ended for whatever reason: no
process outlives a trial that was itself killed.
Standard library only: this is a script, which nothing imports.
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # from <sys/prctl.h>
PARENT_ENDED_STATUS = 1


def main(arguments: list[str]) -> None:
    """Ask the kernel for the signal, then become the program.

    Ends with PARENT_ENDED_STATUS where the parent ended before the kernel was asked. Raises OSError.
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
