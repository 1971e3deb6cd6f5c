"""The operators' settings object in the module's types: one copy for the bench's wire and the platform.

Standard library only. Translates and decides nothing; keys it does not know are skipped.
"""

from __future__ import annotations

import math
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

EFFECTS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.GROUP}


def read_settings(raw: dict[str, Any]) -> tuple[Settings, int]:
    """The settings, and the clock reading in microseconds from which the simulator's positions count.

    Raises KeyError, ValueError or TypeError for an object that is not the settings.
    """
    limits, rules, special = raw["ceilings"], raw["rules"], raw["specifics"]

    def us(value: float) -> int:
        return round(value * 1_000_000)

    classes = tuple(
        RequestClass(
            name=str(s["name"]),
            idempotency=EFFECTS[s["effect"]],
            key_scope=SCOPES[s.get("key_scope", "all")],
            deduplication_window_us=us(s.get("memory_span_s", 0.0)),
            consistency=Consistency(special["consistency"][i]),
            max_staleness_us=math.floor(special["lag_allowed_s"][i] * 1_000_000 + 1e-6),
            latency_objective_us=us(s["objective_s"]),
            deadline_us=us(s["deadline_s"]),
            priority_weight=float(s["worth"]),
            late_priority_weight=float(s.get("late_worth", 0.0)),
            latency_objective_stretch=float(s.get("aim_stretch", 0.0)),
            streaming=bool(s.get("stream", False)),
        )
        for i, s in enumerate(raw["services"])
    )
    tenants = tuple(
        Tenant(str(t["name"]), float(t["fraction"]), float(t["quota_rps"])) for t in raw.get("tenants", [])
    )
    prices = raw.get("prices", {})
    settings = Settings(
        router_count=int(raw["balancers"]),
        zone=int(raw["zone"]),
        classes=classes,
        tenants=tenants,
        over_quota_weight=float(raw.get("over_share_worth", 1.0)),
        prices=Prices(
            cross_zone=float(prices.get("cross_zone", 0.0)),
            waste=float(prices.get("waste", 0.0)),
            health_check=float(prices.get("probe", 0.0)),
            late_failure=float(prices.get("late_fail", 0.0)),
        ),
        max_attempts=int(limits["max_attempts"]),
        cancellation=bool(limits["cancelling"]),
        health_checks=bool(limits["probes"]),
        hedging=bool(limits["second_copies"]),
        retry_after_hints=bool(limits["retry_after"]),
        max_retry_after_us=us(limits["max_retry_after_s"]),
        response_grace_us=us(rules["grace_to_answer_s"]),
        drain_grace_us=us(rules["stop_sending_within_s"]),
        removed_endpoints_serve=bool(rules.get("only_draining_binds", False)),
        slow_start_initial_capacity=float(rules["cold_from"]),
        slow_start_us=us(rules["cold_s"]),
        overload_multiple=float(rules["fall_multiple"]),
        overload_window_us=us(rules["overload_for_s"]),
        must_poll=raw["membership_mode"] == "ask",
        poll_interval_us=us(rules.get("ask_every_s", 0.0)),
        staleness_guard=StalenessGuard(special["guards"]),
        staleness_wait_us=us(special.get("wait_s", 0.0)),
        requests_carry_session_age=special["token_mode"] == "carried",
        responses_carry_position=bool(special["positions"]),
        list_names_primary=special["shows_role"] != "off",
    )
    return settings, us(special["position_zero_s"])
