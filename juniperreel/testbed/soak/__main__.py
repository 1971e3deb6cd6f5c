"""`python -m juniperreel.testbed.soak --seeds 1-20`: runs soaks and prints their reports.

A single seed repeats one soak. Logs and settings of a soak that did not pass are kept in its directory.
"""

from __future__ import annotations

import argparse
import resource
import shutil
import sys
import tempfile
from pathlib import Path

import trio

from juniperreel.net import TcpNetwork
from juniperreel.testbed.injected_faults import FaultKind
from juniperreel.testbed.soak.oracle import MAX_LOOP_LAG, SoakReport
from juniperreel.testbed.soak.plan import FAULT_RATES
from juniperreel.testbed.soak.run import run_soak

MAX_VIOLATIONS_SHOWN = 12


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m juniperreel.testbed.soak")
    parser.add_argument("--seeds", default="1", help="one seed, or the first and the last: 1-20")
    parser.add_argument("--drivers", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--directory", type=Path, default=None, help="keeps files of failed soaks")
    kinds = [kind.value for kind in FaultKind]
    parser.add_argument(
        "--without", nargs="*", choices=kinds, default=[], help="kinds of faults to leave out"
    )
    parser.add_argument("--counts", action="store_true", help="show how often each fault occurred")
    return parser.parse_args()


def _show(report: SoakReport, with_counts: bool) -> None:
    counts = report.counts
    served = f"{counts['requests served']} of {counts['requests answered']} served"
    verdict = "passed" if report.passed else "FAILED"
    print(f"seed {report.seed}: {verdict}, {served}, {len(report.violations)} violations", flush=True)
    if report.violations:
        print(f"    {counts[MAX_LOOP_LAG]} {MAX_LOOP_LAG}", flush=True)
    for text in report.violations[:MAX_VIOLATIONS_SHOWN]:
        print(f"    {text}", flush=True)
    if report.missing:
        print(f"    did not happen: {', '.join(report.missing)}", flush=True)
    if with_counts:
        for name, count in counts.items():
            print(f"    {count:7} {name}", flush=True)


def main() -> int:
    """Run all seeds; return 1 if any did not pass."""
    arguments = _parse_arguments()
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    first, _, last = arguments.seeds.partition("-")
    root = arguments.directory or Path(tempfile.mkdtemp(prefix="soak-"))
    rates = {kind: rate for kind, rate in FAULT_RATES.items() if kind.value not in arguments.without}
    all_passed = True
    for seed in range(int(first), int(last or first) + 1):
        directory = root / str(seed)
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        duration_ms = int(arguments.seconds * 1000)
        report = trio.run(run_soak, seed, arguments.drivers, duration_ms, TcpNetwork(), directory, rates)
        _show(report, arguments.counts)
        if report.passed:
            shutil.rmtree(directory)
        else:
            all_passed = False
            print(f"    kept in {directory}", flush=True)
    return 0 if all_passed else 1


if __name__ == "__main__":
    sys.exit(main())
