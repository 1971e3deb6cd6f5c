"""What a member tells beside its answer, in the module's terms. What can't be read is left out, never
fatal."""

from __future__ import annotations

import math

from juniperreel.routing.types import (
    LoadReport,
    Role,
)

ROLES = {"primary": Role.PRIMARY, "standby": Role.REPLICA}
POSITION_LIMIT_MS = 1 << 50
IN_HAND = ("inflight", "busy_reqs")
WAITING = ("queue", "pending")


def role(parameters: dict[str, str]) -> Role:
    return ROLES.get(parameters.get("replication_role", ""), Role.UNKNOWN)


def position_us(parameters: dict[str, str]) -> int | None:
    """Told in Unix milliseconds, already rounded to the safe side by whoever told it."""
    text = parameters.get("log_position", "")
    if not (text.isascii() and text.isdigit()) or len(text) > 16:
        return None
    value = int(text)
    return value * 1000 if 0 < value < POSITION_LIMIT_MS else None


def report(text: str | None) -> LoadReport | None:
    """A load report as `name=value` pairs; `x0` is in Unix seconds. None where there is none, or it is
    spoilt."""
    if not text or len(text) > 1024:
        return None
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        try:
            number = float(value)
        except ValueError:
            return None
        if not equals or not math.isfinite(number) or number < 0:
            return None
        values[name.strip()] = number
    x0, x1 = values.get("x0"), values.get("x1")

    def first(names: tuple[str, ...]) -> float | None:
        return next((values[n] for n in names if n in values), None)

    return LoadReport(
        position_us=None if x0 is None or x0 * 1000 >= POSITION_LIMIT_MS else math.floor(x0 * 1_000_000),
        is_primary=None if x1 is None else x1 >= 0.5,
        in_flight=first(IN_HAND),
        queued=first(WAITING),
    )
