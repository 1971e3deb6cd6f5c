"""`juniperreel standins`: the fleet alone, for edges that are started by hand."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import trio

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.fleet_processes import FleetProcesses
from juniperreel.fakes.script import Script, ScriptError, Step, parse
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.verification.records import Recorder


async def play(day: Script, recorder: Recorder, port: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(day, TcpNetwork(), Clock(), recorder)
        fleet.endpoint_list.port = port
        await nursery.start(fleet.run)
        click.echo(f"host list on 127.0.0.1:{fleet.endpoint_list.port}")
        for member in fleet.endpoints.values():
            click.echo(f"{member.name} on 127.0.0.1:{member.port}")

        async def no_edge(step: Step) -> None:
            click.echo(f"left out, since edges are started by hand: {step.text}")

        nursery.start_soon(fleet.play, no_edge)
        await trio.sleep(day["last"] / US)
        nursery.cancel_scope.cancel()


def several(script: Path, day: Script, port: int, record: Path | None, processes: int) -> None:
    """Each part keeps its records beside `record`, with its number behind the name."""

    async def run() -> None:
        await FleetProcesses(script, day, port, processes, record).run(click.echo)

    try:
        trio.run(run)
    except* KeyboardInterrupt:
        click.echo("stopped", err=True)
    except* RuntimeError as group:
        click.echo("; ".join(str(e) for e in group.exceptions), err=True)
        sys.exit(1)


@click.command()
@click.argument("script", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--port", type=int, default=0, help="Of the host list; any free one if not given.")
@click.option(
    "--record", type=click.Path(path_type=Path, dir_okay=False), help="Keep what members saw in this file."
)
@click.option("--processes", type=click.IntRange(1, 64), default=1, help="Groups are spread over so many.")
def standins(script: Path, port: int, record: Path | None, processes: int) -> None:
    """Start the members and the host list of a SCRIPT and play its faults, until its end or Ctrl-C."""
    try:
        day = parse(script.read_text(encoding="utf-8"))
    except ScriptError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if processes > 1:
        several(script, day, port, record, processes)
        return
    out = record.open("wb") if record else None
    try:
        trio.run(play, day, Recorder(out), port)
    except KeyboardInterrupt:
        click.echo("stopped", err=True)
    finally:
        if out is not None:
            out.close()
