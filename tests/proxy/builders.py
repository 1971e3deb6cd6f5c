"""Builders with default values for tests of the request driver."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from juniperreel.causal import History
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.proxy import DriverOptions
from juniperreel.proxy.endpoint_list import ListedEndpoint
from juniperreel.rpc.limits import Limits
from tests.routing.router_script import MS, SEC, SETTINGS

HISTORY = History.from_starts([(1, 0)])
ROUTER = replace(
    SETTINGS, requests_carry_session_age=True, must_poll=True, router_count=1, health_checks=False, tenants=()
)


def driver_options(**changes: Any) -> DriverOptions:
    base = DriverOptions(
        name="d",
        router=ROUTER,
        seed=1,
        groups=1,
        discovery_address=("127.0.0.1", 1),
        cached_list_path=None,
        skew_us=10 * MS,
        answer_margin_us=20 * MS,
        max_open_requests=10,
        max_attempts_per_endpoint=10,
        connect_timeout_us=100 * MS,
        health_check_timeout_us=100 * MS,
        discovery_timeout_us=SEC,
        limits=Limits(),
    )
    return replace(base, **changes)


def listed_endpoint(name: str, **changes: Any) -> ListedEndpoint:
    """Build an entry of the driver's endpoint list."""
    fields: dict[str, Any] = {
        "address": "127.0.0.1",
        "port": 1,
        "group": 0,
        "zone": 0,
        "machine_type": 0,
        "readiness": "up",
        "listed_primary": False,
        "capacity": 1.0,
        "started_us": 0,
    }
    return ListedEndpoint(id=name, **(fields | changes))


def list_entry(**changes: Any) -> hosts_pb2.Host:
    """Build an entry of the discovery service's endpoint list."""
    fields: dict[str, Any] = {
        "id": "a",
        "address": "127.0.0.1",
        "port": 5,
        "readiness": hosts_pb2.READINESS_UP,
        "size": 1.0,
    }
    return hosts_pb2.Host(**(fields | changes))
