"""Plots of one or more load results."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from juniperreel.load.summary import LoadCount, Result

SECOND_US = 1_000_000
WIDTH_INCHES = 14.0
HEIGHT_INCHES = 10.0
DOTS_PER_INCH = 90


class NumberAndSecond(NamedTuple):
    """Groups requests by class or tenant number and by second of the run."""

    number: int
    second: int


def draw_plots(results: dict[str, Result], out: Path) -> None:
    """Draw results into a PNG file.

    The upper plots show goodput and latency over offered load, for the stages that only have a rate; the
    lower ones show the first result over time, by class and by tenant.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    goodput, latency, classes, tenants = axes.flat
    peak_rate = 1.0
    for name, result in results.items():
        stages = _steady_stages(result)
        _plot_goodput(goodput, name, stages)
        _plot_latency(latency, name, stages)
        peak_rate = max(peak_rate, *(stage.per_second(stage.served) for stage in stages), 1.0)
    _label_axes(goodput, "offered requests/s", "requests/s (axis limited to twice the peak served rate)")
    goodput.set_ylim(0, 2 * peak_rate)
    _label_axes(latency, "offered requests/s", "latency from the due time (ms)")
    first = next(iter(results.values()))
    class_names = {number: load_class.name for number, load_class in enumerate(first.plan.classes)}
    tenant_names = {number: tenant.name for number, tenant in enumerate(first.plan.tenants)} or {-1: "all"}
    _plot_over_time(classes, first, class_names, "cls")
    _plot_over_time(tenants, first, tenant_names, "tenant")
    figure.tight_layout()
    figure.savefig(out, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _steady_stages(result: Result) -> list[LoadCount]:
    """Return the counts of the stages that only have a rate, by ascending offered load."""
    steady = {stage.name for stage in result.plan.stages if not stage.burst and not stage.closed_clients}
    counts = [count for name, count in result.stages().items() if count.offered and name in steady]
    return sorted(counts, key=lambda count: count.offered / max(count.duration_us, 1))


def _plot_goodput(axis: Any, name: str, stages: list[LoadCount]) -> None:
    offered = [stage.per_second(stage.offered) for stage in stages]
    served = [stage.per_second(stage.served) for stage in stages]
    unanswered = [stage.per_second(stage.unanswered) for stage in stages]
    axis.plot(offered, served, marker="o", label=f"{name}: served")
    axis.plot(offered, unanswered, ls=":", marker="x", label=f"{name}: silent")


def _plot_latency(axis: Any, name: str, stages: list[LoadCount]) -> None:
    offered = [stage.per_second(stage.offered) for stage in stages]
    medians = [stage.response_percentile_ms(50) for stage in stages]
    p99s = [stage.response_percentile_ms(99) for stage in stages]
    rejections = [stage.rejection_percentile_ms(99) for stage in stages]
    axis.plot(offered, medians, marker="o", label=f"{name}: p50 served")
    axis.plot(offered, p99s, ls="--", marker="o", label=f"{name}: p99 served")
    axis.plot(offered, rejections, ls=":", marker="x", label=f"{name}: p99 refused")


def _plot_over_time(axis: Any, result: Result, names: dict[int, str], kind: str) -> None:
    """Plot the entries of `names`, whose keys are values of the attribute `kind` of attempts."""
    counts = result.count_by(
        lambda attempt: NumberAndSecond(getattr(attempt, kind), attempt.due_us // SECOND_US),
        lambda _: SECOND_US,
    )
    for number, name in names.items():
        seconds = sorted(part.second for part in counts if part.number == number)
        counts_by_second = [counts[NumberAndSecond(number, second)] for second in seconds]
        axis.plot(seconds, [count.offered for count in counts_by_second], ls=":", label=f"{name} offered")
        axis.plot(seconds, [count.served for count in counts_by_second], ls="-", label=f"{name} served")
    _label_axes(axis, "seconds", f"requests/s by {kind}")


def _label_axes(axis: Any, x_label: str, y_label: str) -> None:
    axis.set_xlabel(x_label)
    axis.set_ylabel(y_label)
    axis.set_ylim(bottom=0)
    axis.grid(alpha=0.3)
    axis.legend(fontsize=7)
