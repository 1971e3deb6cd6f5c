"""`juniperreel standins`: the fleet alone, for edges that are started by hand."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import trio

from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.proof.records import Recorder
from juniperreel.standins.fleet import Fleet
from juniperreel.standins.script import Day, ScriptError, Step, parse


async def play(day: Day, recorder: Recorder, port: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(day, TcpNetwork(), Clock(), recorder)
        fleet.hosts.port = port
        await nursery.start(fleet.run)
        click.echo(f"host list on 127.0.0.1:{fleet.hosts.port}")
        for member in fleet.members.values():
            click.echo(f"{member.name} on 127.0.0.1:{member.port}")

        async def no_edge(step: Step) -> None:
            click.echo(f"left out, since edges are started by hand: {step.text}")

        nursery.start_soon(fleet.play, no_edge)
        await trio.sleep(day["last"] / US)
        nursery.cancel_scope.cancel()


@click.command()
@click.argument("script", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--port", type=int, default=0, help="Of the host list; any free one if not given.")
@click.option(
    "--record", type=click.Path(path_type=Path, dir_okay=False), help="Keep what members saw in this file."
)
def standins(script: Path, port: int, record: Path | None) -> None:
    """Start the members and the host list of a SCRIPT and play its faults, until its end or Ctrl-C."""
    try:
        day = parse(script.read_text(encoding="utf-8"))
    except ScriptError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    out = record.open("wb") if record else None
    try:
        trio.run(play, day, Recorder(out), port)
    except KeyboardInterrupt:
        click.echo("stopped", err=True)
    finally:
        if out is not None:
            out.close()
