"""`juniperreel demo` and `juniperreel verify`."""

from __future__ import annotations

import sys
import tempfile
from importlib import resources
from pathlib import Path

import click
import trio

from juniperreel.cli.report import conclude, recorded
from juniperreel.cli.world import World
from juniperreel.fakes.script import Script, ScriptError, parse
from juniperreel.net.clock import US
from juniperreel.verification.records import Fault, Recorder


def read_day(script: Path | None) -> Script:
    """The script's day, or the bad day that comes with the program."""
    if script is None:
        text = resources.files("juniperreel.fakes").joinpath("days/bad.day").read_text(encoding="utf-8")
    else:
        text = script.read_text(encoding="utf-8")
    return parse(text)


async def watch(world: World) -> None:
    """One live line a second."""
    counts: dict[str, int] = {}
    served: list[int] = []

    def count(cls: str, outcome: str, took_us: int) -> None:
        counts[outcome] = counts.get(outcome, 0) + 1
        served.append(took_us)

    start = trio.current_time()
    while True:
        await trio.sleep(1)
        if world.population is None:
            start = trio.current_time()
            continue
        world.population.on_response(count)
        alive = sum(m.alive for m in world.fleet.endpoints.values())
        mean = sum(served) / len(served) / 1000 if served else 0.0
        told = ", ".join(f"{name} {counts.get(name, 0)}" for name in ("served", "refused", "failed"))
        faults = [
            r.text.split(None, 2)[2] for r in world.record.records if isinstance(r, Fault) and r.active
        ][-1:]
        last = f"; last fault: {faults[0]}" if faults else ""
        click.echo(
            f"{trio.current_time() - start:5.0f} s  {told}; mean {mean:.0f} ms; {alive} members up{last}"
        )
        counts.clear()
        served.clear()


async def play(
    day: Script,
    folder: Path,
    recorder: Recorder,
    careless: bool,
    quiet: bool,
    raft: bool = False,
    code: Path | None = None,
) -> None:
    async with trio.open_nursery() as nursery:
        world = World(day, folder, recorder, careless, raft, code)
        if not quiet:
            nursery.start_soon(watch, world)
        await world.run()
        nursery.cancel_scope.cancel()


@click.command()
@click.argument("script", required=False, type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--careless", is_flag=True, help="Play the day against edges that pick at random and retry blindly."
)
@click.option(
    "--record", type=click.Path(path_type=Path, dir_okay=False), help="Keep the recording in this file."
)
@click.option(
    "--code",
    type=click.Path(path_type=Path, exists=True, file_okay=False, resolve_path=True),
    help="Play edges of another tree.",
)
@click.option("--raft", is_flag=True, help="Members from a configuration cluster, not the host list.")
@click.option("--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep settings and logs here.")
@click.option("--seed", type=int, help="Another seed than the script's.")
@click.option("--last", type=float, help="Another length, in seconds.")
@click.option("--quiet", is_flag=True, help="No live lines.")
def demo(
    script: Path | None,
    careless: bool,
    code: Path | None,
    raft: bool,
    record: Path | None,
    logs: Path | None,
    seed: int | None,
    last: float | None,
    quiet: bool,
) -> None:
    """Play a scripted day on loopback, then judge it from its traffic."""
    try:
        day = read_day(script)
    except ScriptError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if seed is not None:
        day.settings["seed"] = seed
    if last is not None:
        day.settings["last"] = int(last * US)
    kinds = sorted({s.fault for s in day.steps if s.at_us < day["last"]})
    who = "careless edges" if careless else "edges"
    click.echo(
        f"{day['groups']} groups of {day['members']}, {day['edges']} {who}, {day['rate']} requests a second "
        f"for {day['last'] / US:.0f} s; faults: {', '.join(kinds)}"
    )
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        out = record.open("wb") if record else None
        recorder = Recorder(out)
        trio.run(play, day, folder.resolve(), recorder, careless, quiet, raft, code)
        if out is not None:
            out.close()
    conclude(recorder.records)


@click.command()
@click.argument("recording", type=click.Path(path_type=Path, exists=True, dir_okay=False))
def verify(recording: Path) -> None:
    """Judge the five rules from a RECORDING."""
    conclude(recorded(recording))
