"""Checks that a router can be started with its settings."""

from juniperreel.routing.types import Settings


def check_settings(s: Settings) -> None:
    if not s.classes:
        raise ValueError("classes: at least one is needed")
    for c in s.classes:
        if (
            min(c.latency_objective_us, c.deadline_us) <= 0
            or min(c.deduplication_window_us, c.max_staleness_us, c.priority_weight) < 0
        ):
            raise ValueError(f"classes: a span or the worth of {c.name!r} is out of range")
    above = (
        "router_count",
        "max_attempts",
        "slow_start_initial_capacity",
        "overload_multiple",
        "overload_window_us",
    )
    spans = ("drain_grace_us", "slow_start_us", "response_grace_us", "max_retry_after_us", "poll_interval_us")
    for field in (*above, *spans):
        if getattr(s, field) < 0 or (field in above and getattr(s, field) == 0):
            raise ValueError(f"{field}: must not be {getattr(s, field)}")
