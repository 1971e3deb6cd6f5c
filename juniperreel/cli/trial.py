"""`juniperreel trial`: several processes of the program, faults between them, how even their load was."""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import click
import trio

from juniperreel.cli.report import conclude, recorded
from juniperreel.net import TcpNetwork
from juniperreel.net.clock import US
from juniperreel.proof import records as rec
from juniperreel.proof import spread
from juniperreel.standins.script import Day, ScriptError, parse
from juniperreel.trial.platformfleet import PlatformTrial

COLUMNS = (
    "group",
    "replicas",
    "reads",
    "share of the fair one",
    "dispersion 1 s",
    "highest 500 ms",
    "idle s",
)


async def played(day: Day, folder: Path, pause_s: float) -> PlatformTrial:
    play = PlatformTrial(day, TcpNetwork(), folder, pause_s)
    await play.run()
    return play


@click.group()
def trial() -> None:
    """Try several processes of the program together, with faults between them."""


@trial.command()
@click.argument("script", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--pause", type=click.FloatRange(min=0), default=0.15, help="Mean pause of a session, in seconds."
)
@click.option("--seed", type=int, help="Another seed than the script's.")
@click.option("--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep settings and logs here.")
@click.option("--record", type=click.Path(path_type=Path, dir_okay=False), help="Keep the recording here.")
def run(script: Path, pause: float, seed: int | None, logs: Path | None, record: Path | None) -> None:
    """Play a SCRIPT against drivers of the platform, each a process, and judge what passed.

    Exit status 1: a rule was broken; 2: the script can't be played."""
    try:
        day = parse(script.read_text(encoding="utf-8"))
    except (ScriptError, UnicodeDecodeError) as error:
        click.echo(f"{script}: {error}", err=True)
        sys.exit(2)
    if seed is not None:
        day.settings["seed"] = seed
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        play = trio.run(played, day, folder.resolve(), pause)
    records = play.recorder.records
    if record is not None:
        with record.open("wb") as out:
            keep = rec.Recorder(out)
            for r in records:
                keep(r)
    counts = f"probes {play.probes}, connections to members {play.connections}"
    conclude(records, [counts, *evenness(records)])


@trial.command("spread")
@click.argument("recording", type=click.Path(path_type=Path, exists=True, dir_okay=False))
def spread_of(recording: Path) -> None:
    """How evenly replicas were loaded, from a RECORDING."""
    for line in evenness(recorded(recording)):
        click.echo(line)


def evenness(records: list[rec.Record]) -> Iterator[str]:
    """A row a group, over its able replicas; a share is over all the time that its replica was able."""
    able = spread.Able(records)
    asked = [r.at for r in records if isinstance(r, rec.Asked)]
    widths = [len(name) + 2 for name in COLUMNS]
    yield "".join(f"{name:>{width}}" for name, width in zip(COLUMNS, widths, strict=True))
    for group in sorted(set(able.groups.values())):
        replicas = able.replicas(group)
        if not asked or not replicas:
            continue
        since, until = min(asked), max(asked)
        came = spread.arrivals(records, replicas)
        seconds = spread.cells(came, replicas, since, until, US, able)
        got = {m: sum(c.count for c in seconds if c.member == m) for m in replicas}
        fair = {m: sum(c.fair for c in seconds if c.member == m) for m in replicas}
        shares = [got[m] / fair[m] for m in replicas if fair[m]]
        most, _ = spread.highest(spread.cells(came, replicas, since, until, US // 2, able))
        idle, _, _ = spread.longest_idle(came, replicas, since, until, able)
        values = (
            str(group),
            str(len(replicas)),
            str(len(came)),
            f"{min(shares):.2f} to {max(shares):.2f}" if shares else "-",
            f"{spread.dispersion(seconds):.2f}",
            f"{most:.2f}" if most else "-",
            f"{idle / US:.1f}",
        )
        yield "".join(f"{value:>{width}}" for value, width in zip(values, widths, strict=True))
