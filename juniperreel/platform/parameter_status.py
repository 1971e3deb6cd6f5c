"""Parses an endpoint's reported role, applied position and load.

They arrive as ParameterStatus messages; the load report is also the answer to a health check. Values that
cannot be parsed are omitted and never raise an error.
"""

from __future__ import annotations

import math

from juniperreel.routing.types import LoadReport, Role

ROLES = {"primary": Role.PRIMARY, "standby": Role.REPLICA}
POSITION_LIMIT_MS = 1 << 50
POSITION_MAX_DIGITS = 16
LOAD_REPORT_MAX_LENGTH = 1024
IN_FLIGHT_FIELDS = ("inflight", "busy_reqs")
QUEUED_FIELDS = ("queue", "pending")


def role(parameters: dict[str, str]) -> Role:
    """Return the reported role."""
    return ROLES.get(parameters.get("replication_role", ""), Role.UNKNOWN)


def position_us(parameters: dict[str, str]) -> int | None:
    """Return the applied position, or None if it is missing or malformed.

    Endpoints report it in Unix milliseconds, already rounded to the safe side.
    """
    text = parameters.get("log_position", "")
    if not (text.isascii() and text.isdigit()) or len(text) > POSITION_MAX_DIGITS:
        return None
    position_ms = int(text)
    return position_ms * 1000 if 0 < position_ms < POSITION_LIMIT_MS else None


def load_report(text: str | None) -> LoadReport | None:
    """Parse a load report of `name=value` pairs; `x0` is the position in Unix seconds.

    Returns None if there is no report or any of its pairs is malformed.
    """
    if not text or len(text) > LOAD_REPORT_MAX_LENGTH:
        return None
    values = _read_pairs(text)
    if values is None:
        return None
    position_s = values.get("x0")
    primary_flag = values.get("x1")
    position: int | None = None
    if position_s is not None and position_s * 1000 < POSITION_LIMIT_MS:
        position = math.floor(position_s * 1_000_000)
    return LoadReport(
        position_us=position,
        is_primary=None if primary_flag is None else primary_flag >= 0.5,
        in_flight=_first_present(values, IN_FLIGHT_FIELDS),
        queued=_first_present(values, QUEUED_FIELDS),
    )


def _read_pairs(text: str) -> dict[str, float] | None:
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
    return values


def _first_present(values: dict[str, float], names: tuple[str, ...]) -> float | None:
    return next((values[name] for name in names if name in values), None)
