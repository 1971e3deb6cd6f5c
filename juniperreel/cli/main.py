"""`juniperreel`: the command line. A command's own modules are imported when it is asked for, no sooner."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from juniperreel.settings import EdgeSettings

FILE = click.Path(path_type=Path, dir_okay=False)

# Where each command is, and the line that `--help` shows of it.
ELSEWHERE = {
    "call": ("call", "Send one STATEMENT of class CLS to the edge at ADDRESS."),
    "config": ("configd", "Look at and change the configuration."),
    "configd": ("configd", "Run one instance of the configuration, as the settings FILE says."),
    "demo": ("demo", "Play a scripted day on loopback, then judge it from its traffic."),
    "load": ("load", "Put load on any address that offers the service, as a plan FILE says."),
    "pool": ("pool", "Look at the pools of an edge whose members speak MySQL."),
    "raft": ("raft", "Look at Raft's core and at an instance's storage."),
    "standins": ("standins", "Start the members and the host list of a SCRIPT."),
    "statement": ("statement", "Say how a statement's TEXT is read, where it may go, and its digest."),
    "trial": ("trial", "Try several processes of the program together, with faults between them."),
    "verify": ("demo", "Judge the five rules from a RECORDING."),
}


class Commands(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted({*self.commands, *ELSEWHERE})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name in ELSEWHERE:
            module = importlib.import_module(f"juniperreel.cli.{ELSEWHERE[cmd_name][0]}")
            command: click.Command = getattr(module, cmd_name)
            return command
        return super().get_command(ctx, cmd_name)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        rows = {name: command.get_short_help_str(80) for name, command in self.commands.items()}
        rows |= {name: text for name, (_, text) in ELSEWHERE.items()}
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows.items()))


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A database proxy that divides reads and writes across primaries and replicas."""


def settings_of(file: Path) -> EdgeSettings:
    from juniperreel.settings import SettingsError, read_edge

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
    import trio

    from juniperreel.cli.edge import run_edge
    from juniperreel.net import TcpNetwork

    settings = settings_of(file)

    async def several() -> int:
        from juniperreel.cli.workers import Edges

        return await Edges(settings, file, file.read_bytes()).run()

    try:
        if settings.workers > 1:
            sys.exit(trio.run(several))
        sys.exit(trio.run(run_edge, settings, TcpNetwork()))
    except* (OSError, ValueError) as group:
        for error in group.exceptions:
            click.echo(f"edge {settings.name}: {error}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
