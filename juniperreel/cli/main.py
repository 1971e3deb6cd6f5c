"""`juniperreel`: the command line. The modules of a command are imported only when it is invoked."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from typing import NamedTuple

import click

FILE = click.Path(path_type=Path, dir_okay=False)


class LazyCommand(NamedTuple):
    """A command's module, and the help line that `--help` shows without importing it."""

    module: str  # within juniperreel.cli
    short_help: str


LAZY_COMMANDS = {
    "call": LazyCommand("call", "Send one STATEMENT of class CLS to the edge at ADDRESS."),
    "config": LazyCommand("configd", "Look at and change the configuration."),
    "configd": LazyCommand("configd", "Run one instance of the configuration, as the settings FILE says."),
    "demo": LazyCommand("demo", "Play a scripted day on loopback, then judge it from its traffic."),
    "load": LazyCommand("load", "Put load on any address that offers the service, as a plan FILE says."),
    "pool": LazyCommand("pool", "Look at the pools of an edge whose members speak MySQL."),
    "raft": LazyCommand("raft", "Look at Raft's core and at an instance's storage."),
    "standins": LazyCommand("standins", "Start the members and the host list of a SCRIPT."),
    "statement": LazyCommand(
        "statement", "Say how a statement's TEXT is read, where it may go, and its digest."
    ),
    "trial": LazyCommand("trial", "Try several processes of the program together, with faults between them."),
    "verify": LazyCommand("demo", "Judge the five rules from a RECORDING."),
}


class LazyGroup(click.Group):
    """A group whose commands in LAZY_COMMANDS are imported on use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted({*super().list_commands(ctx), *LAZY_COMMANDS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a lazy command, or look up one that is defined in this module."""
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        module = importlib.import_module(f"juniperreel.cli.{LAZY_COMMANDS[cmd_name].module}")
        command: click.Command = getattr(module, cmd_name)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the command table without importing any command."""
        rows = {name: lazy.short_help for name, lazy in LAZY_COMMANDS.items()}
        for name in super().list_commands(ctx):
            rows[name] = self.commands[name].get_short_help_str(80)
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows.items()))


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A database proxy that divides reads and writes across primaries and replicas."""


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Read a settings FILE and say everything that is wrong with it."""
    from juniperreel.cli.settings_file import read_settings_or_exit

    settings = read_settings_or_exit(file)
    click.echo(f"{file}: good; {len(settings.router.classes)} classes, {settings.groups} groups")


@main.command()
@click.argument("file", type=FILE)
def edge(file: Path) -> None:
    """Serve requests as the settings FILE says, until SIGTERM."""
    import trio

    from juniperreel.cli.edge import run_edge
    from juniperreel.cli.settings_file import read_settings_or_exit
    from juniperreel.net import TcpNetwork

    settings = read_settings_or_exit(file)
    try:
        if settings.workers > 1:
            from juniperreel.cli.workers import run_workers

            sys.exit(trio.run(run_workers, settings, file))
        sys.exit(trio.run(run_edge, settings, TcpNetwork()))
    except* (OSError, ValueError) as errors:
        for error in errors.exceptions:
            click.echo(f"edge {settings.name}: {error}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
