"""The settings file with which a trial starts a driver, as the operators' platform would write it."""

from __future__ import annotations

from typing import Any

from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.platform_clients import DEADLINE_MULTIPLE
from juniperreel.fakes.script import Script
from juniperreel.net.clock import US
from juniperreel.testbed.scenario import (
    DRAIN_GRACE_US,
    MAX_ATTEMPTS,
    MAX_STALENESS_US,
    ZONES,
    request_classes,
    zone_of_driver,
)
from juniperreel.verification import records as rec

LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 512}
CROWD_SOCKET_LIMIT = 160


def driver_settings(
    script: Script,
    name: str,
    index: int,
    discovery_port: int,
    seed: int,
    hosts: list[dict[str, Any]],
    now_us: int,
) -> dict[str, Any]:
    """Return all settings of the driver with this number; `hosts` is its initial endpoint list."""
    return {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": f"{seed:x}",
        "limits": {**LIMITS, "sockets": CROWD_SOCKET_LIMIT} if script["crowd"] else LIMITS,
        "known": {"seq": 0, "whole": True, "hosts": hosts},
        "settings": _router_settings(script, index, now_us),
    }


def _router_settings(script: Script, index: int, now_us: int) -> dict[str, Any]:
    return {
        "balancers": script["fleet"] or script["edges"],
        "ceilings": {
            "cancelling": True,
            "conn_idle_s": 15.0,
            "connect_timeout_s": 0.5,
            "max_attempts": MAX_ATTEMPTS,
            "max_retry_after_s": 1.0,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
        },
        "kinds": ["k"],
        "membership_mode": "ask",
        "prices": {"probe": 0.08, "cross_zone": 0.02},
        "rules": _rules(script),
        "services": [
            _service(request_class) for request_class in request_classes(now_us, script["longest-deadline"])
        ],
        "specifics": {
            "consistency": ["bounded", "session", "write"],
            "guards": "off",
            "lag_allowed_s": [MAX_STALENESS_US / US, 0.0, 0.0],
            "position_zero_s": 0.0,
            "positions": True,
            "shows_role": "late",
            "token_mode": "remembered",
        },
        "tenants": [{"name": "acme", "fraction": 1.0, "quota_rps": 1e6}],
        "zone": zone_of_driver(index),
        "zones": [f"z{zone}" for zone in range(ZONES)],
    }


def _rules(script: Script) -> dict[str, Any]:
    shape = EndpointSettings(slow_start_us=script["cold-span"])
    return {
        "ask_every_s": script["ask-every"] / US,
        "cold_from": shape.initial_capacity,
        "cold_s": shape.slow_start_us / US,
        "fall_multiple": shape.overload_multiple,
        "grace_to_answer_s": 0.02,
        "overload_for_s": shape.overload_window_us / US,
        "stop_sending_within_s": DRAIN_GRACE_US / US,
    }


def _service(request_class: rec.RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "effect": "by_key" if request_class.write else "repeatable",
        "key_scope": "cell" if request_class.write else "all",
        "memory_span_s": request_class.deduplication_window_us / US,
        "objective_s": request_class.latency_objective_us / US,
        "deadline_s": DEADLINE_MULTIPLE * request_class.latency_objective_us / US,
        "worth": request_class.priority_weight,
        "late_worth": request_class.late_priority_weight,
    }
