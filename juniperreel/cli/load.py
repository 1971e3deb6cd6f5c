"""`juniperreel load`: run a plan, report on a result, set results side by side."""

from __future__ import annotations

import sys
from pathlib import Path

import click

PATH = click.Path(path_type=Path, exists=True, dir_okay=False)
OUT = click.Path(path_type=Path, dir_okay=False)


class FileFirst(click.Group):
    """`load FILE` runs a plan; `load report` and `load compare` are named as they are."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            args = ["run", *args]
        return super().resolve_command(ctx, args)


@click.group(cls=FileFirst)
def load() -> None:
    """Put load on any address that offers the service, as a plan FILE says."""


@load.command("run")
@click.argument("file", type=PATH)
@click.option("--target", "targets", multiple=True, help="HOST:PORT in place of the plan's.")
@click.option("--out", type=OUT, help="Keep the result here, as JSON lines.")
@click.option("--plot", type=OUT, help="Draw the result into this PNG.")
@click.option("--watch", multiple=True, metavar="NAME=PID", help="Tell the CPU of this process as well.")
@click.option("--quiet", is_flag=True, help="No live lines.")
def run_plan(
    file: Path,
    targets: tuple[str, ...],
    out: Path | None,
    plot: Path | None,
    watch: tuple[str, ...],
    quiet: bool,
) -> None:
    """Run the plan FILE; tell what was offered and served, and judge rule 1 from the clients' side."""
    import tempfile

    from juniperreel.load.plan import parse_plan
    from juniperreel.load.runner import run
    from juniperreel.settings.lexer import SettingsError

    text = file.read_text(encoding="utf-8")
    if targets:
        lines = [ln for ln in text.splitlines() if ln.split("#")[0].split()[:1] != ["target"]]
        place = next((i for i, ln in enumerate(lines) if ln.strip() == "[load]"), -1) + 1
        text = "\n".join([*lines[:place], *(f"target {t}" for t in targets), *lines[place:], ""])
    try:
        plan = parse_plan(text.encode(), str(file))
        watched = {name: int(pid) for name, _, pid in (w.partition("=") for w in watch)}
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except ValueError:
        raise click.BadParameter("NAME=PID is wanted", param_hint="--watch") from None
    with tempfile.TemporaryDirectory() as folder:
        result = out or Path(folder) / "result.jsonl"
        try:
            run(plan, text, result, (lambda line: None) if quiet else click.echo, watched)
        except RuntimeError as error:
            click.echo(str(error), err=True)
            sys.exit(1)
        sys.exit(tell(result, plot))


def tell(path: Path, plot: Path | None) -> int:
    """The report of a result; 1 where rule 1 was broken."""
    from juniperreel.load.report import plots
    from juniperreel.load.summary import full_sides, load_result, table
    from juniperreel.verification.history import History
    from juniperreel.verification.responses import check_responses

    result = load_result(path)
    for line in table(result.stages()):
        click.echo(line)
    whole = result.plan.span_us
    for kind, names in (
        ("cls", [c.name for c in result.plan.classes]),
        ("tenant", [t for t, _ in result.plan.tenants]),
    ):
        counts = result.counts(lambda s, kind=kind: getattr(s, kind), lambda _: whole)  # type: ignore[misc]
        if len(names) > 1:
            for line in table({names[int(str(n))]: c for n, c in sorted(counts.items(), key=str)})[1:]:
                click.echo(line)
    reasons: dict[str, int] = {}
    for count in result.stages().values():
        for why, number in count.reasons.items():
            reasons[why] = reasons.get(why, 0) + number
    for why, number in sorted(reasons.items(), key=lambda item: -item[1])[:8]:
        click.echo(f"{number:8d}  {why or 'no answer'}")
    for line in full_sides(result):
        click.echo(line)
    broken = check_responses(History.of(list(result.records())))
    verdict = f"BROKEN {len(broken)} times; first: {broken[0].text}" if broken else "held"
    click.echo(f"rule 1, from the clients' side: {verdict}")
    if plot is not None:
        plots({path.stem: result}, plot)
    return 1 if broken else 0


@load.command()
@click.argument("result", type=PATH)
@click.option("--plot", type=OUT, help="Draw it into this PNG.")
def report(result: Path, plot: Path | None) -> None:
    """Tell a RESULT again."""
    try:
        sys.exit(tell(result, plot))
    except ValueError as error:
        click.echo(str(error), err=True)
        sys.exit(2)


@load.command()
@click.argument("results", type=PATH, nargs=-1, required=True)
@click.option("--plot", type=OUT, help="Draw them into this PNG.")
def compare(results: tuple[Path, ...], plot: Path | None) -> None:
    """Set RESULTS side by side, stage by stage."""
    from juniperreel.load.report import plots
    from juniperreel.load.summary import load_result, table

    try:
        found = {str(path): load_result(path) for path in results}
    except ValueError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    stages = {name: r.stages() for name, r in found.items()}
    for stage in dict.fromkeys(s for counts in stages.values() for s in counts):
        click.echo(stage)
        rows = {Path(name).stem: counts[stage] for name, counts in stages.items() if stage in counts}
        for line in table(rows):
            click.echo("  " + line)
    if plot is not None:
        plots({Path(name).stem: result for name, result in found.items()}, plot)
