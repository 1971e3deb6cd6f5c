"""`python -m juniperreel.platform`: one driver in the foreground, as the platform starts it."""

from __future__ import annotations

import sys

from juniperreel.platform.signal_queue import SignalQueue

# A signal that arrives while modules are still loading would end the process: it is noted, and handled later.
SIGNALS = SignalQueue()
SIGNALS.install()

if __name__ == "__main__":
    from juniperreel.platform.run import main

    sys.exit(main(SIGNALS))
