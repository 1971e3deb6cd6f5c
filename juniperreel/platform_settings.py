"""The operators' settings object in the module's types: one copy for the bench's wire and the platform.

Standard library only. Translates and decides nothing; keys it does not know are skipped.
"""

from __future__ import annotations

import math
from typing import Any

from juniperreel.routing import types as ui

EFFECTS = {"repeatable": ui.Effect.REPEATABLE, "by_key": ui.Effect.KEYED, "once": ui.Effect.ONCE}
SCOPES = {"all": ui.KeyScope.ALL, "zone": ui.KeyScope.ZONE, "cell": ui.KeyScope.GROUP}


def read_settings(raw: dict[str, Any]) -> tuple[ui.Settings, int]:
    """The settings, and the clock reading in microseconds from which the simulator's positions count.

    Raises KeyError, ValueError or TypeError for an object that is not the settings.
    """
    limits, rules, special = raw["ceilings"], raw["rules"], raw["specifics"]

    def us(value: float) -> int:
        return round(value * 1_000_000)

    classes = tuple(
        ui.RequestClass(
            name=str(s["name"]),
            effect=EFFECTS[s["effect"]],
            key_scope=SCOPES[s.get("key_scope", "all")],
            memory_span_us=us(s.get("memory_span_s", 0.0)),
            consistency=ui.Consistency(special["consistency"][i]),
            lag_allowed_us=math.floor(special["lag_allowed_s"][i] * 1_000_000 + 1e-6),
            aim_us=us(s["objective_s"]),
            deadline_us=us(s["deadline_s"]),
            worth=float(s["worth"]),
            late_worth=float(s.get("late_worth", 0.0)),
            aim_stretch=float(s.get("aim_stretch", 0.0)),
            stream=bool(s.get("stream", False)),
        )
        for i, s in enumerate(raw["services"])
    )
    tenants = tuple(
        ui.Tenant(str(t["name"]), float(t["fraction"]), float(t["quota_rps"])) for t in raw.get("tenants", [])
    )
    prices = raw.get("prices", {})
    settings = ui.Settings(
        routers=int(raw["balancers"]),
        zone=int(raw["zone"]),
        classes=classes,
        tenants=tenants,
        over_share_worth=float(raw.get("over_share_worth", 1.0)),
        prices=ui.Prices(
            **{k: float(prices.get(k, 0.0)) for k in ("cross_zone", "waste", "probe", "late_fail")}
        ),
        max_attempts=int(limits["max_attempts"]),
        cancelling=bool(limits["cancelling"]),
        probes=bool(limits["probes"]),
        second_copies=bool(limits["second_copies"]),
        retry_hints=bool(limits["retry_after"]),
        max_retry_after_us=us(limits["max_retry_after_s"]),
        answer_grace_us=us(rules["grace_to_answer_s"]),
        drain_grace_us=us(rules["stop_sending_within_s"]),
        only_draining_binds=bool(rules.get("only_draining_binds", False)),
        cold_from=float(rules["cold_from"]),
        cold_us=us(rules["cold_s"]),
        fall_multiple=float(rules["fall_multiple"]),
        overload_us=us(rules["overload_for_s"]),
        must_ask=raw["membership_mode"] == "ask",
        ask_every_us=us(rules.get("ask_every_s", 0.0)),
        guard=ui.Guard(special["guards"]),
        guard_wait_us=us(special.get("wait_s", 0.0)),
        carried_age=special["token_mode"] == "carried",
        positions_in_answers=bool(special["positions"]),
        list_shows_role=special["shows_role"] != "off",
    )
    return settings, us(special["position_zero_s"])
