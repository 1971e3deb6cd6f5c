"""Definitions shared by all processes of a trial: driver names, fault targets, load and request classes.

Derived from the script alone, so that every process of a trial computes the same values independently.
"""

from __future__ import annotations

import random
from pathlib import Path

from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.platform_clients import DEADLINE_MULTIPLE
from juniperreel.fakes.script import SETTINGS, Script, Step
from juniperreel.testbed.errors import UnknownTargetError
from juniperreel.verification import records as rec

REPOSITORY = Path(__file__).parents[2]
DRIVER_PROGRAM = ("-m", "juniperreel.platform")  # interpreter arguments that start a driver
DISCOVERY = "list"  # name of discovery as a target of link faults
ZONES = 2  # drivers and members are assigned to them alternately

DRAIN_GRACE_US = 2_000_000
DEDUPLICATION_WINDOW_US = 5_000_000
MAX_STALENESS_US = 300_000
# On a loaded machine a request that the driver sent in time arrives late, and the checker measures the age
# of a read from its arrival, hence the margin. Injected replica lag is seconds long, so it still shows.
CHECKED_STALENESS_US = MAX_STALENESS_US + 500_000
MAX_ATTEMPTS = 6

LATENCY_OBJECTIVES_US = (1_000_000, 1_200_000, 2_000_000)  # of `request_classes`
CLASS_WEIGHTS = (0.62, 0.22, 0.16)  # probability of each of `request_classes` in sessions
BUSY_DRIVER_FACTOR = 5.0  # rate of a busy driver in multiples of the mean rate
SESSION_RATE = 2.0  # requests/s of one session, low enough that response times hardly reduce it


def request_classes(
    now_us: int, longest_deadline_us: int = SETTINGS["longest-deadline"]
) -> tuple[rec.RequestClass, ...]:
    """Return the classes of bounded reads, of reads of a session's own writes, and of writes.

    Their latency objectives are wide because the machine of a trial is overloaded, and requests rejected for
    lack of time violate no rule. A deadline is DEADLINE_MULTIPLE times the objective.
    """
    bounded_read_us, session_read_us, write_us = (
        min(objective_us, longest_deadline_us // DEADLINE_MULTIPLE) for objective_us in LATENCY_OBJECTIVES_US
    )
    bounded_read = rec.RequestClass(
        now_us, "board", "repeatable", 0, False, False, CHECKED_STALENESS_US, bounded_read_us, 3.0, 0.2
    )
    session_read = rec.RequestClass(
        now_us, "own", "repeatable", 0, False, True, -1, session_read_us, 3.0, 0.2
    )
    write = rec.RequestClass(
        now_us, "run", "keyed", DEDUPLICATION_WINDOW_US, True, False, -1, write_us, 4.0, 0.7
    )
    return bounded_read, session_read, write


def limits(now_us: int, shape: EndpointSettings) -> rec.Limits:
    """The limits that the rules are checked against, for members with these settings."""
    return shape.limits(now_us, DRAIN_GRACE_US, MAX_ATTEMPTS)


def driver_names(script: Script) -> tuple[str, ...]:
    """Names of all drivers of a trial, ordered by number."""
    return tuple(f"n{i}" for i in range(script["edges"]))


def zone_of_driver(index: int) -> int:
    """The zone of the driver with this number."""
    return index % ZONES


def targeted_drivers(script: Script, step: Step) -> list[str]:
    """The drivers that the target of a step selects, which are the same in every process of a trial.

    Raises UnknownTargetError if the target is not a driver selector.
    """
    names = driver_names(script)
    selector = step.target.removeprefix("edge/")
    kind, _, argument = selector.partition(":")
    if selector == "*":
        return list(names)
    if kind == "random" and argument:
        fraction = float(argument.rstrip("%")) / 100
        count = min(len(names), max(1, round(fraction * len(names))))
        rng = random.Random(f"{script['seed']} {step.text}")
        return sorted(rng.sample(names, count))
    if kind == "zone" and argument:
        return [name for i, name in enumerate(names) if zone_of_driver(i) == int(argument)]
    if selector.isdigit() and int(selector) < len(names):
        return [names[int(selector)]]
    raise UnknownTargetError(step.target)


def is_busy_driver(index: int, fraction: float) -> bool:
    """Whether this driver is among the `fraction` of busy drivers, spread evenly over the numbers."""
    return int((index + 1) * fraction) > int(index * fraction)


def driver_rate(script: Script, index: int) -> float:
    """Requests per second that the driver with this number sends to each group.

    The script's `rate` is the total of all drivers of the trial, and `heavy` the percentage of busy drivers,
    which have BUSY_DRIVER_FACTOR times the mean rate. The others share the remaining rate.
    """
    busy = script["heavy"] / 100
    quiet_factor = (1 - BUSY_DRIVER_FACTOR * busy) / (1 - busy) if busy < 1 / BUSY_DRIVER_FACTOR else 1.0
    mean = script["rate"] / script["edges"]
    factor = BUSY_DRIVER_FACTOR if is_busy_driver(index, busy) else quiet_factor
    return mean * factor / script["groups"]
