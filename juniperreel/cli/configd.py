"""`juniperreel configd`: runs an instance of the configuration cluster."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import trio

from juniperreel.cli.instance import CREATE, JOIN, OPEN, open_storage, run_instance
from juniperreel.raft.errors import DiskFullError, StorageError
from juniperreel.settings import SettingsError
from juniperreel.settings.configd import read_instance


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--create", "mode", flag_value=CREATE, help="Create a cluster with the members listed in FILE.")
@click.option(
    "--join",
    "mode",
    flag_value=JOIN,
    help="Create an empty directory, for an instance that is to be added to a cluster.",
)
def configd(file: Path, mode: str | None) -> None:
    """Run an instance of the configuration cluster from a settings FILE, until SIGTERM."""
    try:
        settings = read_instance(file)
        storage = open_storage(settings, mode or OPEN)
    except (SettingsError, StorageError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
        sys.exit(2)
    try:
        trio.run(run_instance, settings, storage)
    except* (OSError, StorageError, DiskFullError) as errors:
        click.echo(f"{settings.name}: {errors.exceptions[0]}", err=True)
        sys.exit(1)
