"""Validation of the router's settings."""

from __future__ import annotations

from juniperreel.routing.types import RequestClass, Settings

POSITIVE_FIELDS = (
    "router_count",
    "max_attempts",
    "slow_start_initial_capacity",
    "overload_multiple",
    "overload_window_us",
)
NON_NEGATIVE_FIELDS = (
    "drain_grace_us",
    "slow_start_us",
    "response_grace_us",
    "max_retry_after_us",
    "poll_interval_us",
)
POSITIVE_CLASS_FIELDS = ("latency_objective_us", "deadline_us")
NON_NEGATIVE_CLASS_FIELDS = ("deduplication_window_us", "max_staleness_us", "priority_weight")


class InvalidSettingError(ValueError):
    """A setting is out of range."""

    def __init__(self, field: str, value: object) -> None:
        super().__init__(f"{field}: must not be {value}")
        self.field = field
        self.value = value


def check_settings(settings: Settings) -> None:
    """Raise InvalidSettingError for the first setting that is out of range."""
    if not settings.classes:
        raise InvalidSettingError("classes", settings.classes)
    for request_class in settings.classes:
        _check_class(request_class)
    for field in POSITIVE_FIELDS:
        value = getattr(settings, field)
        if value <= 0:
            raise InvalidSettingError(field, value)
    for field in NON_NEGATIVE_FIELDS:
        value = getattr(settings, field)
        if value < 0:
            raise InvalidSettingError(field, value)


def _check_class(request_class: RequestClass) -> None:
    for field in POSITIVE_CLASS_FIELDS:
        value = getattr(request_class, field)
        if value <= 0:
            raise InvalidSettingError(_class_field(request_class, field), value)
    for field in NON_NEGATIVE_CLASS_FIELDS:
        value = getattr(request_class, field)
        if value < 0:
            raise InvalidSettingError(_class_field(request_class, field), value)


def _class_field(request_class: RequestClass, field: str) -> str:
    return f"classes: {request_class.name}: {field}"
