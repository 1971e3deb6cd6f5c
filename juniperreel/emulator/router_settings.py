"""Router settings with simple defaults, for simulations and tests."""

from __future__ import annotations

from dataclasses import replace
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

SECOND_US = 1_000_000

READ_CLASS = RequestClass(
    name="read",
    idempotency=Idempotency.IDEMPOTENT,
    key_scope=KeyScope.ALL,
    deduplication_window_us=0,
    consistency=Consistency.ANY,
    max_staleness_us=0,
    latency_objective_us=600_000,
    deadline_us=2 * SECOND_US,
    priority_weight=1.0,
    late_priority_weight=0.2,
)


def make_request_class(name: str = "read", priority_weight: float = 1.0, **changes: Any) -> RequestClass:
    """Return a class of reads that any replica may serve, with `changes` to its fields."""
    return replace(READ_CLASS, name=name, priority_weight=priority_weight, **changes)


def make_settings(
    classes: tuple[RequestClass, ...] = (READ_CLASS,),
    tenants: tuple[Tenant, ...] = (),
    router_count: int = 1,
) -> Settings:
    """Return the settings of a router with retries and health checks, and without hedging."""
    return Settings(
        router_count=router_count,
        zone=0,
        classes=classes,
        tenants=tenants,
        over_quota_weight=1.0,
        prices=Prices(),
        max_attempts=4,
        cancellation=True,
        health_checks=True,
        hedging=False,
        retry_after_hints=True,
        max_retry_after_us=SECOND_US,
        response_grace_us=0,
        drain_grace_us=2 * SECOND_US,
        removed_endpoints_serve=False,
        slow_start_initial_capacity=0.2,
        slow_start_us=6 * SECOND_US,
        overload_multiple=2.0,
        overload_window_us=2 * SECOND_US,
        must_poll=True,
        poll_interval_us=0,
        staleness_guard=StalenessGuard.REFUSE,
        staleness_wait_us=0,
        requests_carry_session_age=True,
        responses_carry_position=True,
        list_names_primary=True,
    )
