"""`juniperreel trial`: several processes of the program, faults between them, how even their load was."""

from __future__ import annotations

import shlex
import shutil
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial, wraps
from pathlib import Path
from typing import Any

import click
import trio

from juniperreel.cli.report import conclude, recorded
from juniperreel.fakes.script import Script, ScriptError, parse, render
from juniperreel.net import TcpNetwork
from juniperreel.net.clock import US
from juniperreel.testbed.large import LargeTrial
from juniperreel.testbed.picture import picture
from juniperreel.testbed.platformfleet import PlatformTrial
from juniperreel.testbed.shrink import shrink
from juniperreel.testbed.sides import PROGRAM
from juniperreel.verification import records as rec
from juniperreel.verification import spread
from juniperreel.verification.rules import check_all

COLUMNS = (
    "group",
    "replicas",
    "reads",
    "share of the fair one",
    "dispersion 1 s",
    "highest 500 ms",
    "idle s",
)


@dataclass(frozen=True, slots=True)
class Played:
    records: list[rec.Record]
    lines: list[str]  # what was counted


@dataclass(frozen=True, slots=True)
class How:
    """How a trial is played. `driver`: what each is started by, the platform's own command if empty."""

    pause_s: float
    crews: int
    driver: tuple[str, ...]

    def play(self, day: Script, folder: Path) -> Played:
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(self._large if self.crews else self._small, day, folder.resolve())

    async def _small(self, day: Script, folder: Path) -> Played:
        play = PlatformTrial(day, TcpNetwork(), folder, self.pause_s, self.driver or PROGRAM)
        await play.run()
        counts = f"probes {play.probes}, connections to members {play.connections}"
        return Played(play.recorder.records, [counts])

    async def _large(self, day: Script, folder: Path) -> Played:
        play = LargeTrial(day, folder, self.crews, self.driver)
        await play.run(lambda text: click.echo(text, err=True))
        counts = play.counts.values()
        asked = max(sum(isinstance(r, rec.RequestSent) for r in play.records), 1)
        probes, opened = sum(c.probes for c in counts), sum(c.connections for c in counts)
        late, cpu = max(c.late_us for c in counts) / US, sum(c.cpu_s for c in counts)
        return Played(
            play.records,
            [
                f"probes {probes} ({probes / asked:.2f} a request), connections to members {opened} "
                f"({opened / asked:.2f}), at most {max(c.most_held for c in counts)} at one member, "
                f"calls for the list {sum(c.calls for c in counts)}",
                f"the rig's own loops were late by {late:.2f} s at most; with the drivers it took "
                f"{cpu:.0f} s of processors",
            ],
        )


def how(command: Callable[..., None]) -> Callable[..., None]:
    """The options that say how a trial is played, as one argument."""

    @click.option(
        "--pause", type=click.FloatRange(min=0), default=0.15, help="Mean pause of a session, in seconds."
    )
    @click.option(
        "--crews",
        type=click.IntRange(min=0),
        default=0,
        help="So many processes of the rig for drivers and sessions, and more for members: for tens of "
        "drivers and more. The script's rate holds, not --pause.",
    )
    @click.option("--driver", default="", help="Start drivers by this file and its arguments instead.")
    @wraps(command)
    def with_how(*args: Any, pause: float, crews: int, driver: str, **more: Any) -> None:
        words = shlex.split(driver)
        if words and not Path(words[0]).is_file():
            raise click.BadParameter(f"{words[0]} is no file", param_hint="--driver")
        started = (str(Path(words[0]).resolve()), *words[1:]) if words else ()
        command(*args, how=How(pause, crews, started), **more)

    return with_how


def read_day(script: Path, seed: int | None) -> Script:
    """Ends the command with 2 where it can't be played."""
    try:
        day = parse(script.read_text(encoding="utf-8"))
    except (ScriptError, UnicodeDecodeError) as error:
        click.echo(f"{script}: {error}", err=True)
        sys.exit(2)
    if seed is not None:
        day.settings["seed"] = seed
    return day


def keep(records: list[rec.Record], recording: Path) -> None:
    with recording.open("wb") as out:
        recorder = rec.Recorder(out)
        for r in records:
            recorder(r)


@click.group()
def trial() -> None:
    """Try several processes of the program together, with faults between them."""


READABLE = click.Path(path_type=Path, exists=True, dir_okay=False)
FILE = click.Path(path_type=Path, dir_okay=False)
FOLDER = click.Path(path_type=Path, file_okay=False)


@trial.command()
@click.argument("script", type=READABLE)
@how
@click.option("--seed", type=int, help="Another seed than the script's.")
@click.option("--logs", type=FOLDER, help="Keep settings and logs here.")
@click.option("--record", type=FILE, help="Keep the recording here.")
def run(script: Path, how: How, seed: int | None, logs: Path | None, record: Path | None) -> None:
    """Play a SCRIPT against drivers of the platform, each a process, and judge what passed.

    Exit status 1: a rule was broken; 2: the script can't be played."""
    day = read_day(script, seed)
    with tempfile.TemporaryDirectory() as temporary:
        play = how.play(day, logs or Path(temporary))
    if record is not None:
        keep(play.records, record)
    conclude(play.records, [*play.lines, *evenness(play.records)])


def broken(records: list[rec.Record]) -> dict[int, str]:
    """By rule, its first violation."""
    return {rule: found[0].text for rule, found in check_all(records).items() if found}


@trial.command()
@click.argument("script", type=READABLE)
@how
@click.option("--seeds", type=click.IntRange(min=1), default=10, help="So many, from the script's on.")
@click.option("--out", type=FOLDER, default=Path("found"), help="Keeps what broke.")
def hunt(script: Path, how: How, seeds: int, out: Path) -> None:
    """Play a SCRIPT with one seed after another until a rule breaks; its recording, logs and script are kept.

    Exit status 1: one broke."""
    first = read_day(script, None)["seed"]
    began = time.monotonic()
    for n, seed in enumerate(range(first, first + seeds)):
        left = (time.monotonic() - began) / n * (seeds - n) if n else 0.0
        click.echo(f"seed {seed}, {n + 1} of {seeds}" + (f", about {left:.0f} s left" if n else ""), err=True)
        folder = out / f"{script.stem}-{seed}"
        day = read_day(script, seed)
        play = how.play(day, folder)
        found = broken(play.records)
        if not found:
            shutil.rmtree(folder)
            continue
        keep(play.records, folder / "recording")
        (folder / "script.day").write_text(render(day), encoding="utf-8")
        for rule, text in found.items():
            click.echo(f"seed {seed} broke rule {rule}: {text}")
        click.echo(f"kept in {folder}")
        sys.exit(1)
    click.echo(f"{seeds} seeds, no rule broken")


@trial.command("shrink")
@click.argument("script", type=READABLE)
@how
@click.option("--rule", type=click.IntRange(1, 5), required=True, help="That is to stay broken.")
@click.option("--plays", type=click.IntRange(min=1), default=30, help="At most so many.")
@click.option("--out", type=FILE, required=True, help="The smaller script.")
def smaller(script: Path, how: How, rule: int, plays: int, out: Path) -> None:
    """Make a SCRIPT that breaks a rule smaller, with the rule still broken.

    Exit status 1: it didn't break the rule to begin with."""

    def breaks(day: Script) -> bool:
        with tempfile.TemporaryDirectory() as folder:
            return rule in broken(how.play(day, Path(folder)).records)

    async def fails(day: Script) -> bool:
        return await trio.to_thread.run_sync(partial(breaks, day))

    day = read_day(script, None)
    if not breaks(day):
        click.echo(f"rule {rule} holds as the script stands", err=True)
        sys.exit(1)
    found = trio.run(partial(shrink, day, fails, plays, lambda text: click.echo(text, err=True)))
    out.write_text(render(found), encoding="utf-8")
    click.echo(f"{len(found.steps)} of {len(day.steps)} faults are left; {out}")


@trial.command("picture")
@click.argument("recording", type=READABLE)
@click.argument("out", type=FILE)
def picture_of(recording: Path, out: Path) -> None:
    """Draw a RECORDING: replicas' work by second, what was served, the faults; OUT is a PNG."""
    try:
        picture(recorded(recording), out)
    except ValueError as error:
        click.echo(f"{recording}: {error}", err=True)
        sys.exit(2)


@trial.command("spread")
@click.argument("recording", type=READABLE)
@click.option(
    "--step", type=click.FloatRange(min=0.1), help="Also each replica's share in steps of so many seconds."
)
def spread_of(recording: Path, step: float | None) -> None:
    """How evenly replicas were loaded, from a RECORDING."""
    records = recorded(recording)
    for line in evenness(records):
        click.echo(line)
    for line in steps(records, int(step * US)) if step else ():
        click.echo(line)


def steps(records: list[rec.Record], step_us: int) -> Iterator[str]:
    """A row a replica: its share of the fair one in each step, '-' while it was not able to work."""
    able = spread.EligibilityWeight(records)
    asked = [r.at for r in records if isinstance(r, rec.RequestSent)]
    if not asked:
        return
    since, until = min(asked), max(asked)
    starts = range(since, until - step_us + 1, step_us)
    yield "seconds from".ljust(12) + "".join(f"{(s - since) / US:>6.0f}" for s in starts)
    for group in sorted(set(able.groups.values())):
        replicas = able.replicas(group)
        came = spread.arrivals(records, replicas)
        found = spread.count_by_bin(came, replicas, since, until, step_us, able)
        shares = {(c.endpoint, c.start): c.share for c in found if c.fair}
        for member in replicas:
            row = [shares.get((member, start)) for start in starts]
            yield member.ljust(12) + "".join("     -" if s is None else f"{s:>6.2f}" for s in row)


def evenness(records: list[rec.Record]) -> Iterator[str]:
    """A row a group, over its able replicas; a share is over all the time that its replica was able."""
    able = spread.EligibilityWeight(records)
    asked = [r.at for r in records if isinstance(r, rec.RequestSent)]
    widths = [len(name) + 2 for name in COLUMNS]
    yield "".join(f"{name:>{width}}" for name, width in zip(COLUMNS, widths, strict=True))
    for group in sorted(set(able.groups.values())):
        replicas = able.replicas(group)
        if not asked or not replicas:
            continue
        since, until = min(asked), max(asked)
        came = spread.arrivals(records, replicas)
        seconds = spread.count_by_bin(came, replicas, since, until, US, able)
        got = {m: sum(c.count for c in seconds if c.endpoint == m) for m in replicas}
        fair = {m: sum(c.fair for c in seconds if c.endpoint == m) for m in replicas}
        shares = [got[m] / fair[m] for m in replicas if fair[m]]
        most, _ = spread.peak_rate(spread.count_by_bin(came, replicas, since, until, US // 2, able))
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
