"""Limits beside each other in virtual time: step response, worth, fairness. Draws docs/design/*.png.

.venv/bin/python benchmarks/admission.py [FOLDER]
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from juniperreel.admission.concurrency import Limit
from juniperreel.emulator.admission import LOSERS, Load, Model, Server, request_class, settings
from juniperreel.routing.types import (
    Tenant,
)

US = 1_000_000
SERVERS, CORES, WORK = 6, 2, 45_000
CAPACITY = SERVERS * CORES / WORK * US
LIMITS: dict[str, Callable[[float], Limit]] = {"AIMD on the aim (in use)": Limit, **LOSERS}


def servers() -> list[Server]:
    return [Server(CORES) for _ in range(SERVERS)]


def step(limit: Callable[[float], Limit], gates: int, guarded: bool = True) -> Model:
    """Three times the capacity; half the members die at 20 s and are back at 40 s."""
    m = Model(settings(router_count=gates), servers(), WORK, gates, limit=limit, guarded=guarded)
    m.load(Load(3 * CAPACITY))
    for n in range(SERVERS // 2):
        m.at(20 * US, lambda n=n: m.kill(n))  # type: ignore[misc]
        m.at(40 * US, lambda n=n: setattr(m.servers[n], "alive", True))  # type: ignore[misc]
    m.run(60 * US)
    return m


def steps(folder: Path) -> None:
    figure, axes = pyplot.subplots(2, 2, figsize=(14, 9))
    for column, gates in enumerate((1, 4)):
        for name, limit in LIMITS.items():
            m = step(limit, gates)
            served = [m.rate("served", s * US, (s + 1) * US) for s in range(60)]
            axes[0][column].plot(served, label=name)
            at = [t / US for t, _ in m.limits]
            axes[1][column].plot(at, [min(sum(v), 200) for _, v in m.limits], label=name, lw=0.8)
            spans = ((5, 20), (22, 40), (45, 60))
            told = ", ".join(f"{m.rate('served', a * US, b * US):.0f}" for a, b in spans)
            late = m.rate("late", 0, 60 * US)
            print(f"{gates} gates, {name}: served a second {told}; late {late:.1f}")
        m = step(Limit, gates, guarded=False)
        axes[0][column].plot(
            [m.rate("served", s * US, (s + 1) * US) for s in range(60)], label="no gate", ls=":"
        )
        axes[0][column].axhline(CAPACITY, color="grey", lw=0.5)
        title = f"{gates} gate(s): served in time, a second; capacity {CAPACITY:.0f}, half at 20 to 40 s"
        axes[0][column].set_title(title)
        axes[1][column].set_title("limit on requests in hand, all gates (cut at 200)")
        axes[0][column].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(folder / "admission-steps.png", dpi=70)


def band() -> None:
    """How far the limit swings in the steady state."""
    for gates in (1, 4):
        m = step(Limit, gates)
        for a, b in ((5, 20), (25, 40), (45, 60)):
            values = m.total_limit(a * US, b * US)
            mean = sum(values) / len(values)
            least, most = min(values) / mean, max(values) / mean
            print(f"{gates} gates, {a} to {b} s: limit {mean:.1f}, from {least:.2f} to {most:.2f} of it")


def worth() -> None:
    """Four times the capacity, two classes; beside the best choice, known afterwards."""
    classes = (request_class("cheap", 1.0), request_class("dear", 3.0))
    tenants = (Tenant("a", 0.69, 0), Tenant("b", 0.16, 0), Tenant("c", 0.15, 0))
    m = Model(settings(classes, tenants), servers(), WORK)
    for tenant, share in enumerate((0.69, 0.16, 0.15)):
        m.load(Load(3.4 * CAPACITY * share, cls=0, tenant=tenant))
        m.load(Load(0.6 * CAPACITY * share, cls=1, tenant=tenant))
    m.run(20 * US)
    dear, cheap = (m.rate("served", 3 * US, 20 * US, cls=c) for c in (1, 0))
    asked = dear + m.rate("turned", 3 * US, 20 * US, cls=1)
    total = dear + cheap
    best = 3 * min(asked, total) + max(total - asked, 0)
    part = (3 * dear + cheap) / best
    print(f"worth at four times the capacity: {part:.3f} of the best choice; dear {dear:.0f} of {asked:.0f}")


def greedy() -> None:
    tenants = (Tenant("greedy", 0.4, 0), Tenant("b", 0.3, 0), Tenant("c", 0.3, 0))
    m = Model(settings(tenants=tenants), servers(), WORK)
    m.load(Load(4 * CAPACITY, tenant=0))
    for tenant in (1, 2):
        m.load(Load(0.29 * CAPACITY, tenant=tenant))
    m.run(20 * US)
    for tenant in range(3):
        served, turned = (m.rate(how, 3 * US, 20 * US, tenant) for how in ("served", "turned"))
        print(f"tenant {tenant}: {served:.0f} served, {turned:.1f} turned away a second")


def main() -> None:
    folder = Path(sys.argv[1]) if len(sys.argv) > 1 else Path(__file__).parent.parent / "docs/design"
    steps(folder)
    band()
    worth()
    greedy()


if __name__ == "__main__":
    main()
