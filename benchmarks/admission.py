"""Simulates concurrency limits in virtual time: step response, priority, fairness. Plots into docs/design.

.venv/bin/python benchmarks/admission.py [DIRECTORY]
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from juniperreel.admission.concurrency import ConcurrencyLimit
from juniperreel.emulator.admission import AdmissionModel, Load, Result, Server
from juniperreel.emulator.limit_alternatives import ALTERNATIVES
from juniperreel.emulator.router_settings import SECOND_US, make_request_class, make_settings
from juniperreel.routing.types import Tenant

SERVERS = 6
CORES = 2
WORK_US = 45_000
CAPACITY = SERVERS * CORES / WORK_US * SECOND_US  # requests per second
DURATION_S = 60
FAILURE_S = 20
RECOVERY_S = 40
PLOTTED_LIMIT = 200.0  # higher limits are cut off in the figure
LimitFactory = Callable[[float], ConcurrencyLimit]
LIMITS: dict[str, LimitFactory] = {
    "AIMD on the latency objective (in use)": ConcurrencyLimit,
    **ALTERNATIVES,
}


def make_servers() -> list[Server]:
    """Return the endpoints of the group, all idle."""
    return [Server(CORES) for _ in range(SERVERS)]


def simulate_steps(
    make_limit: LimitFactory, controllers: int, admission_control: bool = True
) -> AdmissionModel:
    """Offer three times the capacity; half of the endpoints fail at 20 s and recover at 40 s."""
    model = AdmissionModel(
        make_settings(router_count=controllers),
        make_servers(),
        WORK_US,
        controllers,
        make_limit=make_limit,
        admission_control=admission_control,
    )
    model.load(Load(3 * CAPACITY))
    for index in range(SERVERS // 2):
        model.at(FAILURE_S * SECOND_US, partial(model.kill, index))
        model.at(RECOVERY_S * SECOND_US, partial(setattr, model.servers[index], "alive", True))
    model.run(DURATION_S * SECOND_US)
    return model


def served_each_second(model: AdmissionModel) -> list[float]:
    """Return the rate of requests served in time, for each second."""
    return [
        model.rate(Result.SERVED, second * SECOND_US, (second + 1) * SECOND_US)
        for second in range(DURATION_S)
    ]


def print_step_rates(model: AdmissionModel, name: str, controllers: int) -> None:
    """Print the rate of served requests before, during and after the failure."""
    spans = ((5, FAILURE_S), (22, RECOVERY_S), (45, DURATION_S))
    rates = (model.rate(Result.SERVED, start * SECOND_US, end * SECOND_US) for start, end in spans)
    served = ", ".join(f"{rate:.0f}" for rate in rates)
    late = model.rate(Result.LATE, 0, DURATION_S * SECOND_US)
    print(f"{controllers} controllers, {name}: served per second {served}; late {late:.1f}")


def plot_steps(directory: Path) -> None:
    """Plot and print the step response of each limit, with one controller and with four."""
    figure, axes = pyplot.subplots(2, 2, figsize=(14, 9))
    for column, controllers in enumerate((1, 4)):
        served_axis = axes[0][column]
        limit_axis = axes[1][column]
        for name, make_limit in LIMITS.items():
            model = simulate_steps(make_limit, controllers)
            served_axis.plot(served_each_second(model), label=name)
            times_s = [sample.at_us / SECOND_US for sample in model.limits]
            totals = [min(sum(sample.values), PLOTTED_LIMIT) for sample in model.limits]
            limit_axis.plot(times_s, totals, label=name, lw=0.8)
            print_step_rates(model, name, controllers)
        model = simulate_steps(ConcurrencyLimit, controllers, admission_control=False)
        served_axis.plot(served_each_second(model), label="no admission control", ls=":")
        served_axis.axhline(CAPACITY, color="grey", lw=0.5)
        served_axis.set_title(
            f"{controllers} controller(s): served in time per second; "
            f"capacity {CAPACITY:.0f}, half at 20 to 40 s"
        )
        limit_axis.set_title("limit on requests in flight, all controllers (cut off at 200)")
        served_axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(directory / "admission-steps.png", dpi=70)


def print_limit_range() -> None:
    """Print the range of the limit in the steady state."""
    for controllers in (1, 4):
        model = simulate_steps(ConcurrencyLimit, controllers)
        for start, end in ((5, FAILURE_S), (25, RECOVERY_S), (45, DURATION_S)):
            values = model.total_limits(start * SECOND_US, end * SECOND_US)
            mean = sum(values) / len(values)
            lowest = min(values) / mean
            highest = max(values) / mean
            print(
                f"{controllers} controllers, {start} to {end} s: "
                f"limit {mean:.1f}, from {lowest:.2f} to {highest:.2f} of it"
            )


def print_priority() -> None:
    """Offer two classes at four times the capacity.

    Prints the sum of the priority weights served as a fraction of the best possible sum.
    """
    classes = (make_request_class("low", 1.0), make_request_class("high", 3.0))
    tenants = (Tenant("a", 0.69, 0), Tenant("b", 0.16, 0), Tenant("c", 0.15, 0))
    model = AdmissionModel(make_settings(classes, tenants), make_servers(), WORK_US)
    for index, tenant in enumerate(tenants):
        share = tenant.capacity_share
        model.load(Load(3.4 * CAPACITY * share, class_index=0, tenant_index=index))
        model.load(Load(0.6 * CAPACITY * share, class_index=1, tenant_index=index))
    model.run(20 * SECOND_US)
    start_us = 3 * SECOND_US
    end_us = 20 * SECOND_US
    high = model.rate(Result.SERVED, start_us, end_us, class_index=1)
    low = model.rate(Result.SERVED, start_us, end_us, class_index=0)
    offered = high + model.rate(Result.REJECTED, start_us, end_us, class_index=1)
    total = high + low
    best = 3 * min(offered, total) + max(total - offered, 0)
    fraction = (3 * high + low) / best
    print(
        f"priority weight at four times the capacity: {fraction:.3f} of the best possible; "
        f"high priority {high:.0f} of {offered:.0f}"
    )


def print_fairness() -> None:
    """Offer ten times its share for one tenant, and less than their share for two others."""
    tenants = (Tenant("greedy", 0.4, 0), Tenant("b", 0.3, 0), Tenant("c", 0.3, 0))
    model = AdmissionModel(make_settings(tenants=tenants), make_servers(), WORK_US)
    model.load(Load(4 * CAPACITY, tenant_index=0))
    for index in (1, 2):
        model.load(Load(0.29 * CAPACITY, tenant_index=index))
    model.run(20 * SECOND_US)
    for index in range(len(tenants)):
        served = model.rate(Result.SERVED, 3 * SECOND_US, 20 * SECOND_US, index)
        rejected = model.rate(Result.REJECTED, 3 * SECOND_US, 20 * SECOND_US, index)
        print(f"tenant {index}: {served:.0f} served, {rejected:.1f} rejected per second")


def main() -> None:
    """Plot the figure and print the table."""
    directory = Path(sys.argv[1]) if len(sys.argv) > 1 else Path(__file__).parent.parent / "docs/design"
    plot_steps(directory)
    print_limit_range()
    print_priority()
    print_fairness()


if __name__ == "__main__":
    main()
