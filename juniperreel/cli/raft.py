"""`juniperreel raft`: schedules against the core, and a look into a directory."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import click

from juniperreel.emulator.raft import Failure, run
from juniperreel.raft.errors import StorageError
from juniperreel.raft.offline import inspect_directory, rescue


@click.group()
def raft() -> None:
    """The consensus behind the configuration."""


def part(length: int, seeds: range) -> tuple[int, Failure | None]:
    """How many seeds were played, and the first that broke something."""
    for count, seed in enumerate(seeds, 1):
        failure = run(seed, length)
        if failure is not None:
            return count, failure
    return len(seeds), None


@raft.command()
@click.argument("directory", type=click.Path(path_type=Path, exists=True, file_okay=False))
def inspect(directory: Path) -> None:
    """What a stopped instance's DIRECTORY holds."""
    try:
        contents = inspect_directory(directory)
    except StorageError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    h, s = contents.recovered.hard_state, contents.recovered.snapshot
    click.echo(f"node {contents.node} of cluster {contents.cluster}")
    click.echo(f"term {h.term}, vote {h.vote or '-'}, commit at least {h.commit}")
    voters = ", ".join(sorted(s.membership.voters))
    click.echo(f"snapshot at {s.index} of term {s.term}, {len(s.data)} bytes; voters {voters}")
    for entry in contents.recovered.entries:
        click.echo(f"{entry.index} term {entry.term} {entry.kind.name.lower()} {len(entry.data)} bytes")


@raft.command(name="rescue")
@click.argument("directory", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--into", type=click.Path(path_type=Path), required=True, help="The new instance's directory.")
@click.option("--cluster", required=True, help="The new cluster's name.")
@click.option("--name", required=True, help="The new instance, name@host:port.")
def rescue_command(directory: Path, into: Path, cluster: str, name: str) -> None:
    """Make a new cluster of one instance from a stopped one's DIRECTORY, when the quorum is lost for good."""
    try:
        result = rescue(directory, into, cluster, name)
    except StorageError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    version, beyond = result.version, result.uncommitted_entries
    click.echo(f"version {version}; {beyond} entries were not known to be committed and are kept")
    click.echo("start it with a settings file of that cluster and name, then add and promote others")


def show(failure: Failure) -> None:
    click.echo(f"seed {failure.seed}: {failure.violation}")
    click.echo(f"cut down to {len(failure.operations)} operations:")
    for kind, a, b in failure.operations:
        click.echo(f"    {kind} {a} {b}")


@raft.command()
@click.option("--schedules", default=10_000, show_default=True, help="How many seeds.")
@click.option("--first", default=0, help="The first seed.")
@click.option("--length", default=400, show_default=True, help="Operations of each.")
@click.option("--processes", default=8, show_default=True)
def check(schedules: int, first: int, length: int, processes: int) -> None:
    """Play seeded schedules with loss, crashes, partitions and membership changes; judge every step."""
    started, played, failed = time.monotonic(), 0, False
    step = 100
    parts = [range(s, min(s + step, first + schedules)) for s in range(first, first + schedules, step)]
    with ProcessPoolExecutor(processes) as pool:
        for count, failure in pool.map(partial(part, length), parts):
            played += count
            if failure is not None:
                failed = True
                show(failure)
    took = time.monotonic() - started
    verdict = "BROKEN" if failed else "nothing broken"
    click.echo(f"{played} schedules of {length} operations in {took:.1f} s: {verdict}")
    sys.exit(1 if failed else 0)
