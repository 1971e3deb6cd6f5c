"""`juniperreel standins`: runs the fake endpoints and endpoint list alone, for manually started edges."""

from __future__ import annotations

import sys
from functools import partial
from pathlib import Path

import click
import trio

from juniperreel.cli.scripts import open_recorder, parse_script_or_exit
from juniperreel.cli.signals import run_until_terminated
from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.fleet_processes import FleetProcesses
from juniperreel.fakes.script import Script, Step
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.verification.records import Recorder


async def run_fleet(script: Script, recorder: Recorder, port: int) -> None:
    """Run a script's fleet in this process, with the endpoint list on `port` (0 selects a free port)."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(script, TcpNetwork(), Clock(), recorder)
        fleet.endpoint_list.port = port
        await nursery.start(fleet.run)
        click.echo(f"host list on 127.0.0.1:{fleet.endpoint_list.port}")
        for endpoint in fleet.endpoints.values():
            click.echo(f"{endpoint.name} on 127.0.0.1:{endpoint.port}")
        nursery.start_soon(fleet.play, _skip_edge_fault)
        await trio.sleep(script["last"] / US)
        nursery.cancel_scope.cancel()


async def _skip_edge_fault(step: Step) -> None:
    click.echo(f"left out, since edges are started by hand: {step.text}")


def run_in_processes(
    script: Path, parsed_script: Script, port: int, record: Path | None, processes: int
) -> None:
    """Run the groups in several processes, each of which writes its own numbered file next to `record`.

    Exits with status 1 if a process ends before the script does.
    """
    try:
        trio.run(_run_fleet_processes, script, parsed_script, port, record, processes)
    except* KeyboardInterrupt:
        click.echo("stopped", err=True)
    except* RuntimeError as errors:
        click.echo("; ".join(str(error) for error in errors.exceptions), err=True)
        sys.exit(1)


async def _run_fleet_processes(
    script: Path, parsed_script: Script, port: int, record: Path | None, processes: int
) -> None:
    fleet = FleetProcesses(script, parsed_script, port, processes, record)
    await run_until_terminated(partial(fleet.run, click.echo))


@click.command()
@click.argument("script", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--port", type=int, default=0, help="Port of the endpoint list; a free port by default.")
@click.option(
    "--record",
    type=click.Path(path_type=Path, dir_okay=False),
    help="File to which the endpoints' recording is written.",
)
@click.option(
    "--processes",
    type=click.IntRange(1, 64),
    default=1,
    help="Number of processes over which the groups are spread.",
)
def standins(script: Path, port: int, record: Path | None, processes: int) -> None:
    """Run the fake endpoints and the endpoint list of a SCRIPT with its faults.

    Ends with the script, on Ctrl-C and on SIGTERM.
    """
    parsed_script = parse_script_or_exit(script.read_text(encoding="utf-8"))
    if processes > 1:
        run_in_processes(script, parsed_script, port, record, processes)
        return
    try:
        with open_recorder(record) as recorder:
            trio.run(run_until_terminated, partial(run_fleet, parsed_script, recorder, port))
    except KeyboardInterrupt:
        click.echo("stopped", err=True)
