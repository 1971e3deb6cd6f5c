"""`juniperreel load`: runs a load plan, reports on a result, and compares results."""

from __future__ import annotations

import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from juniperreel.load.summary import Result

INPUT_FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
OUTPUT_FILE = click.Path(path_type=Path, dir_okay=False)
MAX_REASONS = 8
RULE_VIOLATED_STATUS = 1
INVALID_INPUT_STATUS = 2


class DefaultRunGroup(click.Group):
    """Makes `load FILE` short for `load run FILE`, besides `load report` and `load compare`."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Treat a first argument that is neither a command nor an option as the plan to run."""
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            args = ["run", *args]
        return super().resolve_command(ctx, args)


@click.group(cls=DefaultRunGroup)
def load() -> None:
    """Generate load from a plan FILE against any server of the Records service."""


@load.command("run")
@click.argument("file", type=INPUT_FILE)
@click.option(
    "--target", "targets", multiple=True, help="HOST:PORT in place of the plan's targets; may be repeated."
)
@click.option("--out", type=OUTPUT_FILE, help="File to which the result is written, as JSON Lines.")
@click.option("--plot", type=OUTPUT_FILE, help="PNG file to which plots of the result are written.")
@click.option(
    "--watch",
    multiple=True,
    metavar="NAME=PID",
    help="Also report the CPU usage of this process; may be repeated.",
)
@click.option("--quiet", is_flag=True, help="Print no progress lines.")
def run_plan(
    file: Path,
    targets: tuple[str, ...],
    out: Path | None,
    plot: Path | None,
    watch: tuple[str, ...],
    quiet: bool,
) -> None:
    """Run the plan FILE, report offered and served load, and check rule 1 from the clients' side."""
    from juniperreel.load.plan import parse_plan
    from juniperreel.load.runner import run
    from juniperreel.settings import SettingsError

    text = file.read_text(encoding="utf-8")
    if targets:
        text = replace_targets(text, targets)
    try:
        plan = parse_plan(text.encode(), str(file))
        watched_processes = parse_watched_processes(watch)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(INVALID_INPUT_STATUS)
    with tempfile.TemporaryDirectory() as folder:
        result_path = out or Path(folder) / "result.jsonl"
        report_line = _discard_line if quiet else click.echo
        try:
            run(plan, text, result_path, report_line, watched_processes)
        except RuntimeError as error:
            click.echo(str(error), err=True)
            sys.exit(1)
        sys.exit(report_result(result_path, plot))


def _discard_line(_line: str) -> None:
    return


def replace_targets(text: str, targets: tuple[str, ...]) -> str:
    """Return a plan's text with the targets in its `[load]` section replaced."""
    lines = [line for line in text.splitlines() if line.split("#")[0].split()[:1] != ["target"]]
    section = next((i for i, line in enumerate(lines) if line.strip() == "[load]"), -1)
    target_lines = [f"target {target}" for target in targets]
    return "\n".join([*lines[: section + 1], *target_lines, *lines[section + 1 :], ""])


def parse_watched_processes(watch: tuple[str, ...]) -> dict[str, int]:
    """Parse NAME=PID options into process ids by name. Raises click.BadParameter."""
    processes = {}
    for option in watch:
        name, _, pid = option.partition("=")
        try:
            processes[name] = int(pid)
        except ValueError:
            raise click.BadParameter("expected NAME=PID", param_hint="--watch") from None
    return processes


def report_result(path: Path, plot: Path | None) -> int:
    """Print the report of a result; returns RULE_VIOLATED_STATUS if rule 1 was violated, else 0.

    Raises ValueError if the file is not a valid result.
    """
    from juniperreel.load.report import draw_plots
    from juniperreel.load.summary import format_table, load_result, usage_lines
    from juniperreel.verification.history import History
    from juniperreel.verification.responses import check_responses

    result = load_result(path)
    for line in (
        *format_table(result.stages()),
        *_class_and_tenant_rows(result),
        *_failure_reason_lines(result),
    ):
        click.echo(line)
    for line in usage_lines(result):
        click.echo(line)
    violations = check_responses(History.of(list(result.records())))
    verdict = f"BROKEN {len(violations)} times; first: {violations[0].text}" if violations else "held"
    click.echo(f"rule 1, from the clients' side: {verdict}")
    if plot is not None:
        draw_plots({path.stem: result}, plot)
    return RULE_VIOLATED_STATUS if violations else 0


def _class_and_tenant_rows(result: Result) -> Iterator[str]:
    """Yield table rows by class and by tenant over the whole plan, if it has more than one of them."""
    from juniperreel.load.summary import format_table

    duration_us = result.plan.duration_us
    class_names = [request_class.name for request_class in result.plan.classes]
    tenant_names = [tenant.name for tenant in result.plan.tenants]
    by_class = result.count_by(lambda attempt: attempt.cls, lambda _: duration_us)
    by_tenant = result.count_by(lambda attempt: attempt.tenant, lambda _: duration_us)
    for names, counts in ((class_names, by_class), (tenant_names, by_tenant)):
        if len(names) > 1:
            rows = {names[number]: count for number, count in sorted(counts.items(), key=str)}
            yield from format_table(rows)[1:]


def _failure_reason_lines(result: Result) -> Iterator[str]:
    """Yield the most frequent failure reasons with their counts, in descending order."""
    reasons: Counter[str] = Counter()
    for count in result.stages().values():
        reasons.update(count.reasons)
    for reason, number in reasons.most_common(MAX_REASONS):
        yield f"{number:8d}  {reason or 'no answer'}"


@load.command()
@click.argument("result", type=INPUT_FILE)
@click.option("--plot", type=OUTPUT_FILE, help="PNG file to which plots of the result are written.")
def report(result: Path, plot: Path | None) -> None:
    """Print the report of a saved RESULT."""
    try:
        sys.exit(report_result(result, plot))
    except ValueError as error:
        click.echo(str(error), err=True)
        sys.exit(INVALID_INPUT_STATUS)


@load.command()
@click.argument("results", type=INPUT_FILE, nargs=-1, required=True)
@click.option("--plot", type=OUTPUT_FILE, help="PNG file to which plots of the results are written.")
def compare(results: tuple[Path, ...], plot: Path | None) -> None:
    """Compare RESULTS stage by stage."""
    from juniperreel.load.report import draw_plots
    from juniperreel.load.summary import format_table, load_result

    try:
        by_path = {str(path): load_result(path) for path in results}
    except ValueError as error:
        click.echo(str(error), err=True)
        sys.exit(INVALID_INPUT_STATUS)
    stages = {path: result.stages() for path, result in by_path.items()}
    for stage in dict.fromkeys(stage for counts in stages.values() for stage in counts):
        click.echo(stage)
        rows = {Path(path).stem: counts[stage] for path, counts in stages.items() if stage in counts}
        for line in format_table(rows):
            click.echo("  " + line)
    if plot is not None:
        draw_plots({Path(path).stem: result for path, result in by_path.items()}, plot)
