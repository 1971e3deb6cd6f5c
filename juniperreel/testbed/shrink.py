"""A failing script made smaller: fewer faults, a shorter day, fewer drivers, members and sessions, with the
same rule still broken. Free of I/O; whoever calls plays the scripts.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace

from juniperreel.fakes.script import Script, Step

TAIL_US = 2_000_000  # of a day behind its last fault
LEAST = {"edges": 2, "members": 2, "groups": 1, "sessions": 2, "rate": 10}
Fails = Callable[[Script], Awaitable[bool]]


def end_of(step: Step) -> int:
    """When its effect may be over, what is told late included."""
    back = int(step.value) if step.fault in ("kill", "edge-kill", "roll") else 0
    return step.at_us + max(step.for_us, back)


def fits(day: Script) -> bool:
    """Whether all that its faults name by number is still there."""
    for step in day.steps:
        for target in (step.target, step.other):
            name, _, which = target.partition("/")
            if name == "edge" and which.isdigit() and int(which) >= day["edges"]:
                return False
            of_group = name[:1] == "g" and name[1:].isdigit()
            if of_group and (
                int(name[1:]) >= day["groups"] or (which.isdigit() and int(which) >= day["members"])
            ):
                return False
    return True


def smaller(day: Script) -> Iterator[Script]:
    """Candidates, those that take most away first."""
    steps = day.steps
    if len(steps) > 2:
        half = len(steps) // 2
        yield replace(day, steps=steps[half:])
        yield replace(day, steps=steps[:half])
    for i in range(len(steps) if len(steps) > 1 else 0):
        yield replace(day, steps=steps[:i] + steps[i + 1 :])
    for name, least in LEAST.items():
        value = max(day[name] // 2, least)
        if value < day[name]:
            yield replace(day, settings=day.settings | {name: value})
    if steps:
        last = max(end_of(s) for s in steps) + TAIL_US
        if last < day["last"]:
            yield replace(day, settings=day.settings | {"last": last})
    elif day["last"] > 2 * TAIL_US:
        yield replace(day, settings=day.settings | {"last": day["last"] // 2})


async def shrink(
    day: Script, fails: Fails, plays: int, say: Callable[[str], None] = lambda text: None
) -> Script:
    """The smallest script found that still fails, after so many plays at most. `fails`: whether one does."""
    while True:
        for candidate in smaller(day):
            if not fits(candidate):
                continue
            if plays <= 0:
                return day
            plays -= 1
            if await fails(candidate):
                day = candidate
                size = f"{len(day.steps)} faults, {day['edges']} drivers, {day['last'] / 1e6:.1f} s"
                say(f"{size}; {plays} plays left")
                break
        else:
            return day
