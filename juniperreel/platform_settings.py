"""Converts the platform's settings object to the router's types, for the simulator adapter and the platform.

Uses the standard library only. Unknown keys are ignored.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from juniperreel.routing.types import (
    Consistency,
    Idempotency,
    KeyScope,
    Prices,
    RequestClass,
    Settings,
    StalenessGuard,
    Tenant,
)

IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
KEY_SCOPES = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.GROUP}
ROUNDING_TOLERANCE_US = 1e-6  # keeps floor() from losing a microsecond to binary rounding of decimals

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The router's settings, and the origin of log positions on the platform's clock."""

    router: Settings
    position_zero_us: int


def read_settings(raw: JsonObject) -> PlatformSettings:
    """Convert the settings object.

    Raises KeyError, ValueError or TypeError if it is malformed.
    """
    limits = raw["ceilings"]
    rules = raw["rules"]
    specifics = raw["specifics"]
    router = Settings(
        router_count=int(raw["balancers"]),
        zone=int(raw["zone"]),
        classes=_read_classes(raw["services"], specifics),
        tenants=tuple(_read_tenant(tenant) for tenant in raw.get("tenants", [])),
        over_quota_weight=float(raw.get("over_share_worth", 1.0)),
        prices=_read_prices(raw.get("prices", {})),
        max_attempts=int(limits["max_attempts"]),
        cancellation=bool(limits["cancelling"]),
        health_checks=bool(limits["probes"]),
        hedging=bool(limits["second_copies"]),
        retry_after_hints=bool(limits["retry_after"]),
        max_retry_after_us=_microseconds(limits["max_retry_after_s"]),
        response_grace_us=_microseconds(rules["grace_to_answer_s"]),
        drain_grace_us=_microseconds(rules["stop_sending_within_s"]),
        removed_endpoints_serve=bool(rules.get("only_draining_binds", False)),
        slow_start_initial_capacity=float(rules["cold_from"]),
        slow_start_us=_microseconds(rules["cold_s"]),
        overload_multiple=float(rules["fall_multiple"]),
        overload_window_us=_microseconds(rules["overload_for_s"]),
        must_poll=raw["membership_mode"] == "ask",
        poll_interval_us=_microseconds(rules.get("ask_every_s", 0.0)),
        staleness_guard=StalenessGuard(specifics["guards"]),
        staleness_wait_us=_microseconds(specifics.get("wait_s", 0.0)),
        requests_carry_session_age=specifics["token_mode"] == "carried",
        responses_carry_position=bool(specifics["positions"]),
        list_names_primary=specifics["shows_role"] != "off",
    )
    return PlatformSettings(router, _microseconds(specifics["position_zero_s"]))


def _microseconds(seconds: float) -> int:
    return round(seconds * 1_000_000)


def _read_classes(services: list[JsonObject], specifics: JsonObject) -> tuple[RequestClass, ...]:
    """Convert the request classes; freshness settings are in separate lists, indexed by class."""
    consistencies = specifics["consistency"]
    staleness = specifics["lag_allowed_s"]
    return tuple(
        _read_class(service, Consistency(consistencies[i]), staleness[i])
        for i, service in enumerate(services)
    )


def _read_class(service: JsonObject, consistency: Consistency, max_staleness_s: float) -> RequestClass:
    return RequestClass(
        name=str(service["name"]),
        idempotency=IDEMPOTENCY[service["effect"]],
        key_scope=KEY_SCOPES[service.get("key_scope", "all")],
        deduplication_window_us=_microseconds(service.get("memory_span_s", 0.0)),
        consistency=consistency,
        max_staleness_us=math.floor(max_staleness_s * 1_000_000 + ROUNDING_TOLERANCE_US),
        latency_objective_us=_microseconds(service["objective_s"]),
        deadline_us=_microseconds(service["deadline_s"]),
        priority_weight=float(service["worth"]),
        late_priority_weight=float(service.get("late_worth", 0.0)),
        latency_objective_stretch=float(service.get("aim_stretch", 0.0)),
        streaming=bool(service.get("stream", False)),
    )


def _read_tenant(tenant: JsonObject) -> Tenant:
    return Tenant(str(tenant["name"]), float(tenant["fraction"]), float(tenant["quota_rps"]))


def _read_prices(prices: JsonObject) -> Prices:
    return Prices(
        cross_zone=float(prices.get("cross_zone", 0.0)),
        waste=float(prices.get("waste", 0.0)),
        health_check=float(prices.get("probe", 0.0)),
        late_failure=float(prices.get("late_fail", 0.0)),
    )
