"""`juniperreel`: the command line."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import trio

from juniperreel.cli.call import call
from juniperreel.cli.configd import config, configd
from juniperreel.cli.demo import demo, verify
from juniperreel.cli.edge import run_edge
from juniperreel.cli.raft import raft
from juniperreel.cli.standins import standins
from juniperreel.net import TcpNetwork
from juniperreel.settings import EdgeSettings, SettingsError, read_edge

FILE = click.Path(path_type=Path, dir_okay=False)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A database proxy that divides reads and writes across primaries and replicas."""


def settings_of(file: Path) -> EdgeSettings:
    try:
        return read_edge(file)
    except SettingsError as error:
        click.echo(str(error), err=True)
        count = len(error.problems)
        click.echo(f"{file}: refused, {count} problem{'s' if count > 1 else ''}", err=True)
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
    sys.exit(2)


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Read a settings FILE and say everything that is wrong with it."""
    settings = settings_of(file)
    click.echo(f"{file}: good; {len(settings.router.classes)} classes, {settings.groups} groups")


@main.command()
@click.argument("file", type=FILE)
def edge(file: Path) -> None:
    """Serve requests as the settings FILE says, until SIGTERM."""
    settings = settings_of(file)
    try:
        sys.exit(trio.run(run_edge, settings, TcpNetwork()))
    except* (OSError, ValueError) as group:
        for error in group.exceptions:
            click.echo(f"edge {settings.name}: {error}", err=True)
        sys.exit(1)


for command in (call, config, configd, demo, raft, standins, verify):
    main.add_command(command)


if __name__ == "__main__":
    main()
