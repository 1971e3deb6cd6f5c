"""`juniperreel trial`: runs several drivers with injected faults and checks the recorded traffic."""

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

from juniperreel.cli.report import print_report_and_exit, read_recording_or_exit
from juniperreel.cli.spread_report import balance_table, share_table
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

INPUT_FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
OUTPUT_FILE = click.Path(path_type=Path, dir_okay=False)
OUTPUT_FOLDER = click.Path(path_type=Path, file_okay=False)
RULE_VIOLATED_STATUS = 1
RULE_HELD_STATUS = 1  # of `shrink`, which requires a script that violates the rule
INVALID_INPUT_STATUS = 2


@dataclass(frozen=True, slots=True)
class TrialResult:
    """A trial's records, and report lines on its counters."""

    records: list[rec.Record]
    counts: list[str]


@dataclass(frozen=True, slots=True)
class TrialOptions:
    """How a trial is run.

    `pause_s` is a session's mean pause between requests; `processes` limits the testbed processes that manage
    drivers, 0 runs the testbed in this process; `driver` is the command that starts a driver, the platform's
    own if empty.
    """

    pause_s: float
    processes: int
    driver: tuple[str, ...]

    def run(self, script: Script, folder: Path) -> TrialResult:
        """Run a script, leaving settings and logs in `folder`."""
        folder.mkdir(parents=True, exist_ok=True)
        run_trial = self._run_multi_process if self.processes else self._run_single_process
        return trio.run(run_trial, script, folder.resolve())

    async def _run_single_process(self, script: Script, folder: Path) -> TrialResult:
        trial = SingleProcessTrial(script, TcpNetwork(), folder, self.pause_s, self.driver or DRIVER_PROGRAM)
        await trial.run()
        counts = f"probes {trial.probes}, connections to members {trial.connections_opened}"
        return TrialResult(trial.recorder.records, [counts])

    async def _run_multi_process(self, script: Script, folder: Path) -> TrialResult:
        trial = MultiProcessTrial(script, folder, self.processes, self.driver)
        await trial.run(partial(click.echo, err=True))
        requests = max(sum(isinstance(record, rec.RequestSent) for record in trial.records), 1)
        return TrialResult(trial.records, count_lines([*trial.counts.values()], requests))


def count_lines(counts: list[ProcessCounts], requests: int) -> list[str]:
    """Format the counters of all processes of a trial, also per request."""
    probes = sum(count.probes for count in counts)
    connections = sum(count.connections for count in counts)
    peak = max(count.peak_connections for count in counts)
    discovery_calls = sum(count.discovery_calls for count in counts)
    max_lag_s = max(count.max_lag_us for count in counts) / US
    cpu_s = sum(count.cpu_s for count in counts)
    return [
        f"probes {probes} ({probes / requests:.2f} a request), connections to members {connections} "
        f"({connections / requests:.2f}), at most {peak} at one member, calls for the list {discovery_calls}",
        f"the rig's own loops were late by {max_lag_s:.2f} s at most; with the drivers it took "
        f"{cpu_s:.0f} s of processors",
    ]


def trial_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options of TrialOptions to a command, which receives them as `options`."""

    @click.option(
        "--pause",
        type=click.FloatRange(min=0),
        default=0.15,
        help="Mean pause of a session between requests, in seconds.",
    )
    @click.option(
        "--crews",
        type=click.IntRange(min=0),
        default=0,
        help="Maximum number of testbed processes for drivers and sessions, plus others for endpoints; 0 "
        "runs the testbed in one process. For tens of drivers or more. The script's rate applies, "
        "not --pause.",
    )
    @click.option(
        "--driver",
        default="",
        help="Program and arguments that start a driver, in place of the platform's own.",
    )
    @wraps(command)
    def _with_options(*args: Any, pause: float, crews: int, driver: str, **arguments: Any) -> None:
        command(*args, options=TrialOptions(pause, crews, parse_driver(driver)), **arguments)

    return _with_options


def parse_driver(text: str) -> tuple[str, ...]:
    """Split a driver's command line and make the path of its program absolute.

    Raises click.BadParameter if the program does not exist.
    """
    if not text.strip():
        return ()
    file, *arguments = shlex.split(text)
    if not Path(file).is_file():
        raise click.BadParameter(f"{file} is not a file", param_hint="--driver")
    return (str(Path(file).resolve()), *arguments)


def read_script_or_exit(script: Path, seed: int | None = None) -> Script:
    """Read a script, with `seed` in place of its own if given; exits with status 2 if it is invalid."""
    try:
        parsed_script = parse(script.read_text(encoding="utf-8"))
    except (ScriptError, UnicodeDecodeError) as error:
        click.echo(f"{script}: {error}", err=True)
        sys.exit(INVALID_INPUT_STATUS)
    if seed is not None:
        parsed_script.settings["seed"] = seed
    return parsed_script


def write_recording(records: list[rec.Record], recording: Path) -> None:
    """Write records as a file that `read_recording_or_exit` can read."""
    with recording.open("wb") as out:
        recorder = rec.Recorder(out)
        for record in records:
            recorder(record)


def first_violations(records: list[rec.Record]) -> dict[int, str]:
    """Return the first violation of each violated rule."""
    return {rule: found[0].text for rule, found in check_all(records).items() if found}


@click.group()
def trial() -> None:
    """Run several drivers with injected faults and check the recorded traffic."""


@trial.command()
@click.argument("script", type=INPUT_FILE)
@trial_options
@click.option("--seed", type=int, help="Seed in place of the script's.")
@click.option("--logs", type=OUTPUT_FOLDER, help="Directory in which settings and logs are kept.")
@click.option("--record", type=OUTPUT_FILE, help="File to which the recording is written.")
def run(
    script: Path, options: TrialOptions, seed: int | None, logs: Path | None, record: Path | None
) -> None:
    """Run a SCRIPT with each driver in a separate process and check the recorded traffic.

    Exit status 1: a rule was violated; 2: the script is invalid.
    """
    parsed_script = read_script_or_exit(script, seed)
    with tempfile.TemporaryDirectory() as temporary:
        result = options.run(parsed_script, logs or Path(temporary))
    if record is not None:
        write_recording(result.records, record)
    print_report_and_exit(result.records, [*result.counts, *balance_table(result.records)])


@trial.command()
@click.argument("script", type=INPUT_FILE)
@trial_options
@click.option(
    "--seeds",
    type=click.IntRange(min=1),
    default=10,
    help="Number of seeds to run, from the script's upwards.",
)
@click.option(
    "--out",
    type=OUTPUT_FOLDER,
    default=Path("found"),
    help="Directory in which the files of the violating run are kept.",
)
def hunt(script: Path, options: TrialOptions, seeds: int, out: Path) -> None:
    """Run a SCRIPT with consecutive seeds until a rule is violated.

    The recording, logs and script of the violating run are kept.

    Exit status 1: a rule was violated.
    """
    first_seed = read_script_or_exit(script)["seed"]
    started_s = time.monotonic()
    for completed, seed in enumerate(range(first_seed, first_seed + seeds)):
        report_progress(seed, completed, seeds, time.monotonic() - started_s)
        folder = out / f"{script.stem}-{seed}"
        parsed_script = read_script_or_exit(script, seed)
        result = options.run(parsed_script, folder)
        violations = first_violations(result.records)
        if not violations:
            shutil.rmtree(folder)
            continue
        write_recording(result.records, folder / "recording")
        (folder / "script.day").write_text(render(parsed_script), encoding="utf-8")
        for rule, text in violations.items():
            click.echo(f"seed {seed} broke rule {rule}: {text}")
        click.echo(f"kept in {folder}")
        sys.exit(RULE_VIOLATED_STATUS)
    click.echo(f"{seeds} seeds, no rule broken")


def report_progress(seed: int, completed: int, seeds: int, elapsed_s: float) -> None:
    """Print the next seed and, from the second on, the estimated remaining time."""
    remaining = ""
    if completed:
        remaining = f", about {elapsed_s / completed * (seeds - completed):.0f} s left"
    click.echo(f"seed {seed}, {completed + 1} of {seeds}{remaining}", err=True)


@trial.command("shrink")
@click.argument("script", type=INPUT_FILE)
@trial_options
@click.option(
    "--rule", type=click.IntRange(1, 5), required=True, help="Number of the rule that must remain violated."
)
@click.option(
    "--plays", type=click.IntRange(min=1), default=30, help="Maximum number of runs while shrinking."
)
@click.option("--out", type=OUTPUT_FILE, required=True, help="File to which the smaller script is written.")
def shrink_script(script: Path, options: TrialOptions, rule: int, plays: int, out: Path) -> None:
    """Reduce a SCRIPT that violates a rule to a smaller one that still violates it.

    Exit status 1: the unmodified script does not violate the rule.
    """
    parsed_script = read_script_or_exit(script)
    if not violates_rule(options, rule, parsed_script):
        click.echo(f"rule {rule} is not violated by the unmodified script", err=True)
        sys.exit(RULE_HELD_STATUS)
    still_fails = partial(violates_rule_in_thread, options, rule)
    smallest = trio.run(shrink, parsed_script, still_fails, plays, partial(click.echo, err=True))
    out.write_text(render(smallest), encoding="utf-8")
    click.echo(f"{len(smallest.steps)} of {len(parsed_script.steps)} faults are left; {out}")


def violates_rule(options: TrialOptions, rule: int, script: Script) -> bool:
    """Run a script once and return whether it violated the rule."""
    with tempfile.TemporaryDirectory() as folder:
        return rule in first_violations(options.run(script, Path(folder)).records)


async def violates_rule_in_thread(options: TrialOptions, rule: int, script: Script) -> bool:
    """Call `violates_rule` in a thread, since each run starts an event loop of its own."""
    return await trio.to_thread.run_sync(violates_rule, options, rule, script)


@trial.command("picture")
@click.argument("recording", type=INPUT_FILE)
@click.argument("out", type=OUTPUT_FILE)
def picture(recording: Path, out: Path) -> None:
    """Plot a RECORDING into the PNG file OUT: load per replica and second, fraction served, and faults."""
    try:
        draw_picture(read_recording_or_exit(recording), out)
    except ValueError as error:
        click.echo(f"{recording}: {error}", err=True)
        sys.exit(INVALID_INPUT_STATUS)


@trial.command("spread")
@click.argument("recording", type=INPUT_FILE)
@click.option(
    "--step",
    type=click.FloatRange(min=0.1),
    help="Also print each replica's share per interval of this many seconds.",
)
def spread(recording: Path, step: float | None) -> None:
    """Print how evenly the load of a RECORDING was spread across replicas."""
    records = read_recording_or_exit(recording)
    for line in balance_table(records):
        click.echo(line)
    if step is not None:
        for line in share_table(records, int(step * US)):
            click.echo(line)
