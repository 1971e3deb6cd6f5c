"""Makes a failing script smaller: fewer faults, a shorter day, fewer drivers, members and sessions.

The script must go on failing. Free of I/O: the caller plays the scripts.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace

from juniperreel.fakes.script import Script, Step
from juniperreel.net.clock import US

TAIL_US = 2_000_000  # of a day behind its last fault
MINIMUM_SETTINGS = {"edges": 2, "members": 2, "groups": 1, "sessions": 2, "rate": 10}
RESTARTING_FAULTS = ("kill", "edge-kill", "roll")  # their value is a time after which something comes back
Fails = Callable[[Script], Awaitable[bool]]


def end_us(step: Step) -> int:
    """Time of day at which a fault's effect is over, restarts included."""
    restart_us = int(step.value) if step.fault in RESTARTING_FAULTS else 0
    return step.at_us + max(step.for_us, restart_us)


def has_all_targets(day: Script) -> bool:
    """Whether every driver, group and member that a fault names by number is part of the day."""
    return all(_is_target(day, step.target) and _is_target(day, step.other) for step in day.steps)


def _is_target(day: Script, target: str) -> bool:
    name, _, selector = target.partition("/")
    if name == "edge":
        return not selector.isdigit() or int(selector) < day["edges"]
    if not (name[:1] == "g" and name[1:].isdigit()):
        return True
    if int(name[1:]) >= day["groups"]:
        return False
    return not selector.isdigit() or int(selector) < day["members"]


def candidates(day: Script) -> Iterator[Script]:
    """Yield smaller days, those that take most away first."""
    steps = day.steps
    if len(steps) > 2:
        half = len(steps) // 2
        yield replace(day, steps=steps[half:])
        yield replace(day, steps=steps[:half])
    if len(steps) > 1:
        for i in range(len(steps)):
            yield replace(day, steps=steps[:i] + steps[i + 1 :])
    for name, minimum in MINIMUM_SETTINGS.items():
        value = max(day[name] // 2, minimum)
        if value < day[name]:
            yield _with_setting(day, name, value)
    last_us = _shorter_day_us(day)
    if last_us < day["last"]:
        yield _with_setting(day, "last", last_us)


def _shorter_day_us(day: Script) -> int:
    """The length to try next; the day's own where it cannot be shorter."""
    if day.steps:
        return max(end_us(step) for step in day.steps) + TAIL_US
    if day["last"] > 2 * TAIL_US:
        return day["last"] // 2
    return day["last"]


def _with_setting(day: Script, name: str, value: int) -> Script:
    return replace(day, settings=day.settings | {name: value})


async def shrink(
    day: Script, fails: Fails, plays: int, report: Callable[[str], None] = lambda _: None
) -> Script:
    """Return the smallest day found that still fails, after `plays` plays at most.

    `fails` plays a day and tells whether it fails; `report` is given a line of progress for each smaller day.
    """
    while True:
        for candidate in candidates(day):
            if not has_all_targets(candidate):
                continue
            if plays <= 0:
                return day
            plays -= 1
            if await fails(candidate):
                day = candidate
                size = f"{len(day.steps)} faults, {day['edges']} drivers, {day['last'] / US:.1f} s"
                report(f"{size}; {plays} plays left")
                break
        else:
            return day
