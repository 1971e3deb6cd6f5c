"""`juniperreel raft`: checks the Raft core with seeded schedules; inspects and recovers directories."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import NamedTuple

import click

from juniperreel.emulator.raft import Failure, run
from juniperreel.raft.errors import StorageError
from juniperreel.raft.offline import inspect_directory, rescue

SEEDS_PER_TASK = 100


@click.group()
def raft() -> None:
    """Check the Raft core; inspect or recover an instance's storage directory."""


class ScheduleResult(NamedTuple):
    """The number of schedules that ran, and the first failure."""

    schedules: int
    failure: Failure | None


def run_schedules(length: int, seeds: range) -> ScheduleResult:
    """Run a schedule of `length` operations for each seed, stopping at the first failure."""
    for count, seed in enumerate(seeds, 1):
        failure = run(seed, length)
        if failure is not None:
            return ScheduleResult(count, failure)
    return ScheduleResult(len(seeds), None)


@raft.command()
@click.argument("directory", type=click.Path(path_type=Path, exists=True, file_okay=False))
def inspect(directory: Path) -> None:
    """Print the contents of a stopped instance's storage DIRECTORY."""
    try:
        contents = inspect_directory(directory)
    except StorageError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    recovered = contents.recovered
    hard_state = recovered.hard_state
    snapshot = recovered.snapshot
    click.echo(f"node {contents.node} of cluster {contents.cluster}")
    vote = hard_state.vote or "-"
    click.echo(f"term {hard_state.term}, vote {vote}, commit at least {hard_state.commit}")
    voters = ", ".join(sorted(snapshot.membership.voters))
    size = len(snapshot.data)
    click.echo(f"snapshot at {snapshot.index} of term {snapshot.term}, {size} bytes; voters {voters}")
    for entry in recovered.entries:
        click.echo(f"{entry.index} term {entry.term} {entry.kind.name.lower()} {len(entry.data)} bytes")


@raft.command(name="rescue")
@click.argument("directory", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--into", type=click.Path(path_type=Path), required=True, help="Directory of the new instance.")
@click.option("--cluster", required=True, help="Name of the new cluster; must differ from the old.")
@click.option("--name", required=True, help="Name of the new instance, as name@host:port.")
def rescue_command(directory: Path, into: Path, cluster: str, name: str) -> None:
    """Create a single-instance cluster from a stopped instance's DIRECTORY after permanent loss of quorum."""
    try:
        result = rescue(directory, into, cluster, name)
    except StorageError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    uncommitted = result.uncommitted_entries
    click.echo(f"version {result.version}; {uncommitted} entries were not known to be committed and are kept")
    click.echo("start it with a settings file of that cluster and name, then add and promote others")


def print_failure(failure: Failure) -> None:
    """Print a failure with its operations, reduced to the shortest list that still fails."""
    click.echo(f"seed {failure.seed}: {failure.violation}")
    click.echo(f"cut down to {len(failure.operations)} operations:")
    for kind, first, second in failure.operations:
        click.echo(f"    {kind} {first} {second}")


@raft.command()
@click.option(
    "--schedules", default=10_000, show_default=True, help="Number of schedules, each with its own seed."
)
@click.option("--first", default=0, help="Seed of the first schedule.")
@click.option("--length", default=400, show_default=True, help="Number of operations per schedule.")
@click.option("--processes", default=8, show_default=True)
def check(schedules: int, first: int, length: int, processes: int) -> None:
    """Run seeded schedules with loss, crashes, partitions and membership changes; check every step."""
    started_s = time.monotonic()
    total_schedules = 0
    failed = False
    end = first + schedules
    seed_ranges = [range(seed, min(seed + SEEDS_PER_TASK, end)) for seed in range(first, end, SEEDS_PER_TASK)]
    with ProcessPoolExecutor(processes) as pool:
        for schedule_count, failure in pool.map(partial(run_schedules, length), seed_ranges):
            total_schedules += schedule_count
            if failure is not None:
                failed = True
                print_failure(failure)
    elapsed_s = time.monotonic() - started_s
    verdict = "BROKEN" if failed else "nothing broken"
    click.echo(f"{total_schedules} schedules of {length} operations in {elapsed_s:.1f} s: {verdict}")
    sys.exit(1 if failed else 0)
