"""`juniperreel trial`: several processes of the program, faults between them, how even their load was."""

from __future__ import annotations

import shlex
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial, wraps
from pathlib import Path
from typing import Any

import click
import trio

from juniperreel.cli.report import conclude, read_recording_or_exit
from juniperreel.cli.spread_report import evenness_table, share_table
from juniperreel.fakes.script import Script, ScriptError, parse, render
from juniperreel.net import TcpNetwork
from juniperreel.net.clock import US
from juniperreel.testbed.control_messages import ProcessCounts
from juniperreel.testbed.multi_process_trial import MultiProcessTrial
from juniperreel.testbed.picture import draw_picture
from juniperreel.testbed.scenario import DRIVER_PROGRAM
from juniperreel.testbed.shrink import shrink
from juniperreel.testbed.single_process_trial import SingleProcessTrial
from juniperreel.verification import records as rec
from juniperreel.verification.rules import check_all

FILE_TO_READ = click.Path(path_type=Path, exists=True, dir_okay=False)
FILE = click.Path(path_type=Path, dir_okay=False)
FOLDER = click.Path(path_type=Path, file_okay=False)
RULE_BROKEN_STATUS = 1
RULE_HELD_STATUS = 1  # of `shrink`, which needs a broken one
BAD_INPUT_STATUS = 2


@dataclass(frozen=True, slots=True)
class TrialResult:
    """What a trial left: its records, and lines on what was counted."""

    records: list[rec.Record]
    counts: list[str]


@dataclass(frozen=True, slots=True)
class TrialOptions:
    """How a trial is played.

    `pause_s` is a session's mean pause between requests; `processes` bounds the processes for drivers, 0
    plays all in this one; `driver` is what each driver is started by, the platform's own command if empty.
    """

    pause_s: float
    processes: int
    driver: tuple[str, ...]

    def play(self, day: Script, folder: Path) -> TrialResult:
        """Play a day; settings and logs are left in `folder`."""
        folder.mkdir(parents=True, exist_ok=True)
        play = self._play_in_processes if self.processes else self._play_here
        return trio.run(play, day, folder.resolve())

    async def _play_here(self, day: Script, folder: Path) -> TrialResult:
        trial = SingleProcessTrial(day, TcpNetwork(), folder, self.pause_s, self.driver or DRIVER_PROGRAM)
        await trial.run()
        counts = f"probes {trial.probes}, connections to members {trial.connections_opened}"
        return TrialResult(trial.recorder.records, [counts])

    async def _play_in_processes(self, day: Script, folder: Path) -> TrialResult:
        trial = MultiProcessTrial(day, folder, self.processes, self.driver)
        await trial.run(partial(click.echo, err=True))
        requests = max(sum(isinstance(record, rec.RequestSent) for record in trial.records), 1)
        return TrialResult(trial.records, count_lines([*trial.counts.values()], requests))


def count_lines(counts: list[ProcessCounts], requests: int) -> list[str]:
    """What all processes of a trial counted, beside the number of requests."""
    probes = sum(count.probes for count in counts)
    opened = sum(count.connections for count in counts)
    peak = max(count.peak_connections for count in counts)
    calls = sum(count.discovery_calls for count in counts)
    lag_s = max(count.max_lag_us for count in counts) / US
    cpu_s = sum(count.cpu_s for count in counts)
    return [
        f"probes {probes} ({probes / requests:.2f} a request), connections to members {opened} "
        f"({opened / requests:.2f}), at most {peak} at one member, calls for the list {calls}",
        f"the rig's own loops were late by {lag_s:.2f} s at most; with the drivers it took "
        f"{cpu_s:.0f} s of processors",
    ]


def trial_options(command: Callable[..., None]) -> Callable[..., None]:
    """Decorate a command with the options of TrialOptions, which it is given as `options`."""

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
    def _with_options(*args: Any, pause: float, crews: int, driver: str, **more: Any) -> None:
        command(*args, options=TrialOptions(pause, crews, parse_driver(driver)), **more)

    return _with_options


def parse_driver(text: str) -> tuple[str, ...]:
    """Split a driver's command line and make its file absolute.

    Raises click.BadParameter if there is no such file.
    """
    if not text.strip():
        return ()
    file, *arguments = shlex.split(text)
    if not Path(file).is_file():
        raise click.BadParameter(f"{file} is no file", param_hint="--driver")
    return (str(Path(file).resolve()), *arguments)


def read_day_or_exit(script: Path, seed: int | None = None) -> Script:
    """Return a script's day, with this seed if one is given; end the command with 2 if it is bad."""
    try:
        day = parse(script.read_text(encoding="utf-8"))
    except (ScriptError, UnicodeDecodeError) as error:
        click.echo(f"{script}: {error}", err=True)
        sys.exit(BAD_INPUT_STATUS)
    if seed is not None:
        day.settings["seed"] = seed
    return day


def write_recording(records: list[rec.Record], recording: Path) -> None:
    """Write records to a file that `read_recording_or_exit` reads."""
    with recording.open("wb") as out:
        recorder = rec.Recorder(out)
        for record in records:
            recorder(record)


def first_violations(records: list[rec.Record]) -> dict[int, str]:
    """The first violation of each rule that was broken."""
    return {rule: found[0].text for rule, found in check_all(records).items() if found}


@click.group()
def trial() -> None:
    """Try several processes of the program together, with faults between them."""


@trial.command()
@click.argument("script", type=FILE_TO_READ)
@trial_options
@click.option("--seed", type=int, help="Another seed than the script's.")
@click.option("--logs", type=FOLDER, help="Keep settings and logs here.")
@click.option("--record", type=FILE, help="Keep the recording here.")
def run(
    script: Path, options: TrialOptions, seed: int | None, logs: Path | None, record: Path | None
) -> None:
    """Play a SCRIPT against drivers of the platform, each a process, and judge what passed.

    Exit status 1: a rule was broken; 2: the script can't be played.
    """
    day = read_day_or_exit(script, seed)
    with tempfile.TemporaryDirectory() as temporary:
        result = options.play(day, logs or Path(temporary))
    if record is not None:
        write_recording(result.records, record)
    conclude(result.records, [*result.counts, *evenness_table(result.records)])


@trial.command()
@click.argument("script", type=FILE_TO_READ)
@trial_options
@click.option("--seeds", type=click.IntRange(min=1), default=10, help="So many, from the script's on.")
@click.option("--out", type=FOLDER, default=Path("found"), help="Keeps what broke.")
def hunt(script: Path, options: TrialOptions, seeds: int, out: Path) -> None:
    """Play a SCRIPT with one seed after another until a rule breaks; its recording, logs and script are kept.

    Exit status 1: one broke.
    """
    first_seed = read_day_or_exit(script)["seed"]
    began = time.monotonic()
    for done, seed in enumerate(range(first_seed, first_seed + seeds)):
        report_progress(seed, done, seeds, time.monotonic() - began)
        folder = out / f"{script.stem}-{seed}"
        day = read_day_or_exit(script, seed)
        result = options.play(day, folder)
        violations = first_violations(result.records)
        if not violations:
            shutil.rmtree(folder)
            continue
        write_recording(result.records, folder / "recording")
        (folder / "script.day").write_text(render(day), encoding="utf-8")
        for rule, text in violations.items():
            click.echo(f"seed {seed} broke rule {rule}: {text}")
        click.echo(f"kept in {folder}")
        sys.exit(RULE_BROKEN_STATUS)
    click.echo(f"{seeds} seeds, no rule broken")


def report_progress(seed: int, done: int, seeds: int, elapsed_s: float) -> None:
    """Say which seed is next and, from the second on, how long the rest may take."""
    remaining = ""
    if done:
        remaining = f", about {elapsed_s / done * (seeds - done):.0f} s left"
    click.echo(f"seed {seed}, {done + 1} of {seeds}{remaining}", err=True)


@trial.command("shrink")
@click.argument("script", type=FILE_TO_READ)
@trial_options
@click.option("--rule", type=click.IntRange(1, 5), required=True, help="That is to stay broken.")
@click.option("--plays", type=click.IntRange(min=1), default=30, help="At most so many.")
@click.option("--out", type=FILE, required=True, help="The smaller script.")
def shrink_script(script: Path, options: TrialOptions, rule: int, plays: int, out: Path) -> None:
    """Make a SCRIPT that breaks a rule smaller, with the rule still broken.

    Exit status 1: it didn't break the rule to begin with.
    """
    day = read_day_or_exit(script)
    if not breaks_rule(options, rule, day):
        click.echo(f"rule {rule} holds as the script stands", err=True)
        sys.exit(RULE_HELD_STATUS)
    fails = partial(breaks_rule_in_thread, options, rule)
    smallest = trio.run(shrink, day, fails, plays, partial(click.echo, err=True))
    out.write_text(render(smallest), encoding="utf-8")
    click.echo(f"{len(smallest.steps)} of {len(day.steps)} faults are left; {out}")


def breaks_rule(options: TrialOptions, rule: int, day: Script) -> bool:
    """Play a day once and tell whether it broke the rule."""
    with tempfile.TemporaryDirectory() as folder:
        return rule in first_violations(options.play(day, Path(folder)).records)


async def breaks_rule_in_thread(options: TrialOptions, rule: int, day: Script) -> bool:
    """`breaks_rule` in a thread, since each play has an event loop of its own."""
    return await trio.to_thread.run_sync(breaks_rule, options, rule, day)


@trial.command("picture")
@click.argument("recording", type=FILE_TO_READ)
@click.argument("out", type=FILE)
def picture(recording: Path, out: Path) -> None:
    """Draw a RECORDING: replicas' work by second, what was served, the faults; OUT is a PNG."""
    try:
        draw_picture(read_recording_or_exit(recording), out)
    except ValueError as error:
        click.echo(f"{recording}: {error}", err=True)
        sys.exit(BAD_INPUT_STATUS)


@trial.command("spread")
@click.argument("recording", type=FILE_TO_READ)
@click.option(
    "--step", type=click.FloatRange(min=0.1), help="Also each replica's share in steps of so many seconds."
)
def spread(recording: Path, step: float | None) -> None:
    """How evenly replicas were loaded, from a RECORDING."""
    records = read_recording_or_exit(recording)
    for line in evenness_table(records):
        click.echo(line)
    if step is not None:
        for line in share_table(records, int(step * US)):
            click.echo(line)
