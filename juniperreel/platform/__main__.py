"""`python -m juniperreel.platform`: runs one driver in the foreground, as the platform starts it."""

from __future__ import annotations

import sys

from juniperreel.platform.signal_queue import SignalQueue

# Installed before other modules load: a signal that arrives meanwhile would otherwise terminate the process.
SIGNALS = SignalQueue()
SIGNALS.install()

if __name__ == "__main__":
    from juniperreel.platform.run import main

    sys.exit(main(SIGNALS))
