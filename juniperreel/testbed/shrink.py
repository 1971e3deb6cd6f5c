"""Shrinks a failing script: fewer faults, a shorter duration, fewer drivers, members and sessions.

The script must keep failing. Performs no I/O: the caller runs the scripts.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace

from juniperreel.fakes.script import Script, Step
from juniperreel.net.clock import US

QUIET_TAIL_US = 2_000_000  # time without faults at the end of a script
MINIMUM_SETTINGS = {"edges": 2, "members": 2, "groups": 1, "sessions": 2, "rate": 10}
RESTARTING_FAULTS = ("kill", "edge-kill", "roll")  # their value is the delay until the restart
Fails = Callable[[Script], Awaitable[bool]]


def end_us(step: Step) -> int:
    """Script time at which the effect of a fault is over, restarts included."""
    restart_us = int(step.value) if step.fault in RESTARTING_FAULTS else 0
    return step.at_us + max(step.for_us, restart_us)


def has_all_targets(script: Script) -> bool:
    """Whether every driver, group and member that a fault names by number exists in the script."""
    return all(_is_target(script, step.target) and _is_target(script, step.other) for step in script.steps)


def _is_target(script: Script, target: str) -> bool:
    name, _, selector = target.partition("/")
    if name == "edge":
        return not selector.isdigit() or int(selector) < script["edges"]
    if not (name[:1] == "g" and name[1:].isdigit()):
        return True
    if int(name[1:]) >= script["groups"]:
        return False
    return not selector.isdigit() or int(selector) < script["members"]


def candidates(script: Script) -> Iterator[Script]:
    """Yield smaller scripts, the largest reductions first."""
    steps = script.steps
    if len(steps) > 2:
        half = len(steps) // 2
        yield replace(script, steps=steps[half:])
        yield replace(script, steps=steps[:half])
    if len(steps) > 1:
        for i in range(len(steps)):
            yield replace(script, steps=steps[:i] + steps[i + 1 :])
    for name, minimum in MINIMUM_SETTINGS.items():
        value = max(script[name] // 2, minimum)
        if value < script[name]:
            yield _with_setting(script, name, value)
    last_us = _shorter_duration_us(script)
    if last_us < script["last"]:
        yield _with_setting(script, "last", last_us)


def _shorter_duration_us(script: Script) -> int:
    """The next duration to try; the script's own if it cannot be shorter."""
    if script.steps:
        return max(end_us(step) for step in script.steps) + QUIET_TAIL_US
    if script["last"] > 2 * QUIET_TAIL_US:
        return script["last"] // 2
    return script["last"]


def _with_setting(script: Script, name: str, value: int) -> Script:
    return replace(script, settings=script.settings | {name: value})


async def shrink(
    script: Script, fails: Fails, max_runs: int, report: Callable[[str], None] = lambda _: None
) -> Script:
    """Return the smallest script found that still fails, after `max_runs` runs at most.

    `fails` runs a script and returns whether it fails; `report` receives a line for each smaller script.
    """
    while True:
        for candidate in candidates(script):
            if not has_all_targets(candidate):
                continue
            if max_runs <= 0:
                return script
            max_runs -= 1
            if await fails(candidate):
                script = candidate
                size = f"{len(script.steps)} faults, {script['edges']} drivers, {script['last'] / US:.1f} s"
                report(f"{size}; {max_runs} plays left")
                break
        else:
            return script
