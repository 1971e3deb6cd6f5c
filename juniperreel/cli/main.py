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
    "call": LazyCommand("call", "Send one STATEMENT of a CLASS to the EDGE and print its rows."),
    "config": LazyCommand("config", "Read and change the configuration."),
    "configd": LazyCommand("configd", "Run an instance of the configuration cluster from a settings FILE."),
    "demo": LazyCommand(
        "demo", "Run a SCRIPT of load and faults on loopback and check the recorded traffic."
    ),
    "load": LazyCommand("load", "Generate load from a plan FILE against any server of the Records service."),
    "pool": LazyCommand("pool", "Show the connection pools of an edge whose endpoints speak MySQL."),
    "raft": LazyCommand("raft", "Check the Raft core; inspect or recover an instance's storage directory."),
    "standins": LazyCommand("standins", "Run the fake endpoints and the endpoint list of a SCRIPT."),
    "statement": LazyCommand(
        "statement", "Print how a statement's TEXT is classified, where it is routed, and its digest."
    ),
    "trial": LazyCommand("trial", "Run several drivers with injected faults and check the recorded traffic."),
    "verify": LazyCommand("demo", "Check a RECORDING against the five rules."),
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
    """A database proxy that routes reads and writes across primaries and replicas."""


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Validate a settings FILE of an edge or an instance and print every error."""
    from juniperreel.cli.settings_file import summarize_settings_or_exit

    click.echo(f"{file}: good; {summarize_settings_or_exit(file)}")


@main.command()
@click.argument("file", type=FILE)
def edge(file: Path) -> None:
    """Serve requests as configured in the settings FILE, until SIGTERM."""
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
