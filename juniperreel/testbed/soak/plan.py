"""The plan of a soak: a random schedule of faults of members, links and drivers, derived from its seed."""

from __future__ import annotations

import random
from collections.abc import Mapping

from juniperreel.fakes.script import Script, parse
from juniperreel.testbed.injected_faults import FaultKind

SETTINGS = """
groups 2
members 4
edges {drivers}
sessions {sessions}
seed {seed}
list-delay 200ms
primary-delay 400ms
cold-span 3s
ask-every 4s
longest-deadline {deadline_ms}ms
crowd {idle_clients}
last {duration_ms}ms
"""
SESSIONS_PER_DRIVER = 2
FIRST_FAULT_MS = 700
LAST_FAULT_BEFORE_END_MS = 1_500

# Every plan contains each of these at least once, with random durations.
MEMBER_FAULTS = (
    "for {short} hang random:25%",
    "for {long} lose g{group}/replica 30%",
    "for {long} break g{group} 20%",
    "for 2500ms fail g0 50%",
    "for 2500ms fail g1 50%",
    "for {stale} lag g0 1e5",
    "for {stale} lag g1 1e5",
    "for {long} slow g{group}/replica 0.3",
    "kill g{group}/primary back 1500ms",
    "roll g{group}/replica 800ms",
    "drain g{group}/replica",
    "drain g{group}/primary",
)
LINK_FAULTS = (
    "for {short} link-cut edge/random:30% to random:30%",
    "for {short} link-deaf edge/random:30% to g{group}",
    "link-reset edge/random:50% to all",
    "for {long} link-slow edge/random:40% to random:50% 120ms",
    "for {short} link-cut edge/random:40% to list",
    "for {long} link-slow edge/random:40% to list 400ms",
)
# Scheduled early, since a driver takes seconds to detect a silent watch.
EARLY_FAULTS = ("link-mute edge/random:50% to list", "link-mute edge/random:60% to list")
LAST_EARLY_FAULT_BEFORE_END_MS = 5_000
DRIVER_FAULTS = (
    "edge-term edge/random:20% back 200ms",
    "edge-signals edge/random:20% back 200ms",
    "edge-reload edge/random:30%",
    "edge-reload edge/random:40%",
    "edge-reload edge/random:40%",
    "edge-kill edge/random:10% back 300ms",
)
# How long replicas apply nothing: well above the 0.8 s of staleness bound and checker margin together.
REPLICA_LAG_MS = (2_000, 3_500)
REPEATED_FAULTS = 4  # number of faults that occur a second time

LONG_DEADLINE_MS = 8_000
SHORT_DEADLINES_MS = (500, 2_200)  # also shortens the time from SIGTERM to SIGKILL
SHORT_DEADLINES_FRACTION = 0.6  # of all plans
# More than the descriptors that a driver has for clients in a plan with idle clients.
IDLE_CLIENTS_PER_DRIVER = 95
CROWD_FRACTION = 0.25

FAULT_RATES: Mapping[FaultKind, float] = {
    FaultKind.ACCEPT: 0.05,
    FaultKind.SOCKET: 0.01,
    FaultKind.CONNECT: 0.02,
    FaultKind.SHORT_READ: 0.1,
    FaultKind.SHORT_WRITE: 0.1,
    FaultKind.WRITE: 0.002,
    FaultKind.BROKEN_CONNECTION: 0.001,
    FaultKind.SOCKET_OPTION: 0.01,
    FaultKind.FILE: 0.2,
    FaultKind.HALF_FILE: 0.2,
    FaultKind.WALL_CLOCK: 0.05,
    FaultKind.WALL_CLOCK_AT_START: 0.5,
    FaultKind.HOLD_UP: 0.0005,
    FaultKind.HOLD_UP_IN_WAIT: 0.004,
}


def draw_plan(seed: int, drivers: int, duration_ms: int) -> Script:
    """Return a random plan; the same arguments give the same script."""
    rng = random.Random(f"{seed} {drivers} {duration_ms}")
    has_short_deadlines = rng.random() < SHORT_DEADLINES_FRACTION
    has_crowd = rng.random() < CROWD_FRACTION
    settings = SETTINGS.format(
        drivers=drivers,
        sessions=SESSIONS_PER_DRIVER * drivers,
        seed=seed,
        deadline_ms=rng.randint(*SHORT_DEADLINES_MS) if has_short_deadlines else LONG_DEADLINE_MS,
        idle_clients=IDLE_CLIENTS_PER_DRIVER if has_crowd else 0,
        duration_ms=duration_ms,
    )
    lines = [settings]
    faults = [*EARLY_FAULTS, *MEMBER_FAULTS, *LINK_FAULTS, *DRIVER_FAULTS]
    for fault in faults + rng.sample(faults, REPEATED_FAULTS):
        before_end_ms = LAST_EARLY_FAULT_BEFORE_END_MS if fault in EARLY_FAULTS else LAST_FAULT_BEFORE_END_MS
        at_ms = rng.randrange(FIRST_FAULT_MS, duration_ms - before_end_ms)
        text = fault.format(
            short=f"{rng.randrange(200, 1_000)}ms",
            stale=f"{rng.randrange(*REPLICA_LAG_MS)}ms",
            long=f"{rng.randrange(800, 3_000)}ms",
            group=rng.randrange(2),
        )
        lines.append(f"at {at_ms}ms {text}")
    return parse("\n".join(lines))
