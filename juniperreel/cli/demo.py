"""`juniperreel demo` runs a script on loopback; `juniperreel verify` checks a recording against the rules."""

from __future__ import annotations

import tempfile
from collections import Counter
from importlib import resources
from pathlib import Path

import click
import trio

from juniperreel.cli.environment import Environment, EnvironmentOptions
from juniperreel.cli.report import print_report_and_exit, read_recording_or_exit
from juniperreel.cli.scripts import open_recorder, parse_script_or_exit
from juniperreel.fakes.script import Script
from juniperreel.net.clock import US
from juniperreel.verification.records import Fault, Recorder

REPORT_INTERVAL_S = 1
MILLISECOND_US = 1_000
DEFAULT_SCRIPT = "days/bad.day"


def read_script(script: Path | None) -> str:
    """Return the text of the script, or of the packaged default script."""
    if script is not None:
        return script.read_text(encoding="utf-8")
    return resources.files("juniperreel.fakes").joinpath(DEFAULT_SCRIPT).read_text(encoding="utf-8")


class LiveReport:
    """Prints the outcomes that clients saw in the last second, once a second while an environment runs."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._outcomes: Counter[str] = Counter()
        self._durations_us: list[int] = []

    async def run(self) -> None:
        """Print until cancelled, starting once the environment has clients."""
        start = trio.current_time()
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            population = self._environment.population
            if population is None:
                start = trio.current_time()
                continue
            population.on_response(self._count)
            click.echo(f"{trio.current_time() - start:5.0f} s  {self._format_line()}")
            self._outcomes.clear()
            self._durations_us.clear()

    def _count(self, _cls: str, outcome: str, duration_us: int) -> None:
        self._outcomes[outcome] += 1
        self._durations_us.append(duration_us)

    def _format_line(self) -> str:
        outcomes = ", ".join(f"{name} {self._outcomes[name]}" for name in ("served", "refused", "failed"))
        mean_ms = self._mean_duration_ms()
        alive_count = sum(endpoint.alive for endpoint in self._environment.fleet.endpoints.values())
        return f"{outcomes}; mean {mean_ms:.0f} ms; {alive_count} members up{self._last_fault()}"

    def _mean_duration_ms(self) -> float:
        if not self._durations_us:
            return 0.0
        return sum(self._durations_us) / len(self._durations_us) / MILLISECOND_US

    def _last_fault(self) -> str:
        records = self._environment.recorder.records
        faults = [record for record in records if isinstance(record, Fault) and record.active]
        if not faults:
            return ""
        *_, fault = faults[-1].text.split(None, 2)
        return f"; last fault: {fault}"


async def run_demo(
    script: Script, folder: Path, recorder: Recorder, options: EnvironmentOptions, quiet: bool
) -> None:
    """Run a script, with a live report unless `quiet`."""
    async with trio.open_nursery() as nursery:
        environment = Environment(script, folder, recorder, options)
        if not quiet:
            nursery.start_soon(LiveReport(environment).run)
        await environment.run()
        nursery.cancel_scope.cancel()


@click.command()
@click.argument("script", required=False, type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--careless",
    is_flag=True,
    help="Run naive proxies, which select endpoints at random and retry unconditionally, in place of edges.",
)
@click.option(
    "--record",
    type=click.Path(path_type=Path, dir_okay=False),
    help="File to which the recording is written.",
)
@click.option(
    "--code",
    type=click.Path(path_type=Path, exists=True, file_okay=False, resolve_path=True),
    help="Run the edges of another source tree.",
)
@click.option(
    "--raft", is_flag=True, help="Take endpoints from a configuration cluster in place of the endpoint list."
)
@click.option(
    "--logs",
    type=click.Path(path_type=Path, file_okay=False),
    help="Directory in which settings and logs are kept.",
)
@click.option("--seed", type=int, help="Seed in place of the script's.")
@click.option("--last", type=float, help="Duration in seconds, in place of the script's.")
@click.option("--quiet", is_flag=True, help="Print no progress lines.")
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
    """Run a SCRIPT of load and faults on loopback and check the recorded traffic.

    Without SCRIPT, the packaged default script is run.
    """
    parsed_script = parse_script_or_exit(read_script(script))
    if seed is not None:
        parsed_script.settings["seed"] = seed
    if last is not None:
        parsed_script.settings["last"] = int(last * US)
    click.echo(headline(parsed_script, careless))
    options = EnvironmentOptions(careless, raft, code)
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        with open_recorder(record) as recorder:
            trio.run(run_demo, parsed_script, folder.resolve(), recorder, options, quiet)
    print_report_and_exit(recorder.records)


def headline(script: Script, careless: bool) -> str:
    """The first line of a demo's output: its size, load and faults."""
    faults = sorted({step.fault for step in script.steps if step.at_us < script["last"]})
    edges = "careless edges" if careless else "edges"
    return (
        f"{script['groups']} groups of {script['members']}, {script['edges']} {edges}, "
        f"{script['rate']} requests a second "
        f"for {script['last'] / US:.0f} s; faults: {', '.join(faults)}"
    )


@click.command()
@click.argument("recording", type=click.Path(path_type=Path, exists=True, dir_okay=False))
def verify(recording: Path) -> None:
    """Check a RECORDING against the five rules."""
    print_report_and_exit(read_recording_or_exit(recording))
