"""Plots of one result, or of several beside each other."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from juniperreel.load.summary import LoadCount, Result

SECOND_US = 1_000_000
WIDTH_INCHES = 14.0
HEIGHT_INCHES = 10.0
DOTS_PER_INCH = 90


class SecondOf(NamedTuple):
    """One class's or tenant's requests in one second of the run."""

    number: int
    second: int


def plots(results: dict[str, Result], out: Path) -> None:
    """Draw results into a PNG.

    Above, goodput and latency over offered load, of stages with a rate; below, by class and by tenant over
    time, of the first result.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    goodput, latency, classes, tenants = axes.flat
    highest_rate = 1.0
    for name, result in results.items():
        stages = _steady_stages(result)
        _plot_goodput(goodput, name, stages)
        _plot_latency(latency, name, stages)
        highest_rate = max(highest_rate, *(stage.per_second(stage.served) for stage in stages), 1.0)
    _label(goodput, "offered a second", "requests a second (cut at twice the most that was served)")
    goodput.set_ylim(0, 2 * highest_rate)
    _label(latency, "offered a second", "milliseconds from the intended start")
    first = next(iter(results.values()))
    class_names = {number: load_class.name for number, load_class in enumerate(first.plan.classes)}
    tenant_names = {number: tenant.name for number, tenant in enumerate(first.plan.tenants)} or {-1: "all"}
    _plot_over_time(classes, first, class_names, "cls")
    _plot_over_time(tenants, first, tenant_names, "tenant")
    figure.tight_layout()
    figure.savefig(out, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _steady_stages(result: Result) -> list[LoadCount]:
    """Counts of the stages with a rate alone, by rising load."""
    steady = {stage.name for stage in result.plan.stages if not stage.burst and not stage.closed_clients}
    counts = [count for name, count in result.stages().items() if count.offered and name in steady]
    return sorted(counts, key=lambda count: count.offered / max(count.span_us, 1))


def _plot_goodput(axis: Any, name: str, stages: list[LoadCount]) -> None:
    offered = [stage.per_second(stage.offered) for stage in stages]
    served = [stage.per_second(stage.served) for stage in stages]
    unanswered = [stage.per_second(stage.unanswered) for stage in stages]
    axis.plot(offered, served, marker="o", label=f"{name}: served")
    axis.plot(offered, unanswered, ls=":", marker="x", label=f"{name}: silent")


def _plot_latency(axis: Any, name: str, stages: list[LoadCount]) -> None:
    offered = [stage.per_second(stage.offered) for stage in stages]
    medians = [stage.response_percentile_ms(50) for stage in stages]
    tails = [stage.response_percentile_ms(99) for stage in stages]
    rejections = [stage.rejection_percentile_ms(99) for stage in stages]
    axis.plot(offered, medians, marker="o", label=f"{name}: p50 served")
    axis.plot(offered, tails, ls="--", marker="o", label=f"{name}: p99 served")
    axis.plot(offered, rejections, ls=":", marker="x", label=f"{name}: p99 refused")


def _plot_over_time(axis: Any, result: Result, names: dict[int, str], kind: str) -> None:
    """`kind` is the attribute of attempts that `names` are by."""
    counts = result.count_by(
        lambda attempt: SecondOf(getattr(attempt, kind), attempt.due_us // SECOND_US), lambda _: SECOND_US
    )
    for number, name in names.items():
        seconds = sorted(part.second for part in counts if part.number == number)
        of_name = [counts[SecondOf(number, second)] for second in seconds]
        axis.plot(seconds, [count.offered for count in of_name], ls=":", label=f"{name} offered")
        axis.plot(seconds, [count.served for count in of_name], ls="-", label=f"{name} served")
    _label(axis, "seconds", f"a second, by {kind}")


def _label(axis: Any, horizontal: str, vertical: str) -> None:
    axis.set_xlabel(horizontal)
    axis.set_ylabel(vertical)
    axis.set_ylim(bottom=0)
    axis.grid(alpha=0.3)
    axis.legend(fontsize=7)
