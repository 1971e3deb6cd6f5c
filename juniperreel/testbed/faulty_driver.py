"""The platform's driver with injected operating system faults: `python -m juniperreel.testbed.faulty_driver`.

The environment variable JUNIPERREEL_FAULTS holds JSON: `rates` by kind of fault, the random `seed`, and the
directory `counts`, which receives two files per process: how often each fault occurred, and the hold-ups.
"""

from __future__ import annotations

import json
import os
import runpy
import zlib
from pathlib import Path

from juniperreel.testbed.hold_ups import HOLD_UPS_SUFFIX
from juniperreel.testbed.injected_faults import FaultKind, InjectedFaults, install

FAULTS_VARIABLE = "JUNIPERREEL_FAULTS"
COUNTS_SUFFIX = ".faults"
DRIVER_MODULE = "juniperreel.platform"


def main() -> None:
    """Install the faults, then run the driver in this process."""
    settings = json.loads(os.environ[FAULTS_VARIABLE])
    rates = {FaultKind(kind): rate for kind, rate in settings["rates"].items()}
    name = Path(os.environ["GW_CONFIG"]).stem
    directory = Path(settings["counts"])
    starts = len(list(directory.glob(f"{name}.*{COUNTS_SUFFIX}")))
    counts_file = directory / f"{name}.{starts}{COUNTS_SUFFIX}"
    seed = zlib.crc32(f"{settings['seed']} {name} {starts}".encode())
    install(InjectedFaults(rates, seed, counts_file, counts_file.with_suffix(HOLD_UPS_SUFFIX)))
    runpy.run_module(DRIVER_MODULE, run_name="__main__")


if __name__ == "__main__":
    main()
