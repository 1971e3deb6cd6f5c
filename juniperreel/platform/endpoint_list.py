"""Parses discovery's endpoint list into the router's types. Performs no I/O.

Entries that cannot be parsed are counted and skipped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from juniperreel.platform.errors import EndpointListError
from juniperreel.routing.types import Endpoint, Readiness

READINESS = {
    "Ready": Readiness.READY,
    "Terminating": Readiness.DRAINING,
    "Gone": Readiness.REMOVED,
}
MAX_LINES = 10_000
PORT_LIMIT = 65_536
CAPACITY_LIMIT = 1e6
STARTED_LIMIT_MS = 1e14

Address = tuple[str, int]  # host and port, as in the `socket` module


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A snapshot of the endpoint list, or a delta to an earlier version.

    `complete` marks a snapshot: endpoints missing from it are gone. `addresses` holds the addresses of the
    endpoints that were listed with one.
    """

    version: int
    complete: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, Address]
    unreadable_lines: int


EMPTY_LIST = EndpointList(version=0, complete=True, endpoints=(), addresses={}, unreadable_lines=0)


class ListedEndpoint(NamedTuple):
    """One entry of the list."""

    endpoint: Endpoint
    address: Address | None


def read_endpoint_list(raw: Any, zones: list[str], machine_types: list[str]) -> EndpointList:
    """Parse decoded JSON. `zones` and `machine_types` are names in the order of the settings.

    Raises EndpointListError if `raw` is not an endpoint list.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
        raise EndpointListError("hosts is missing or not a list")
    version = raw.get("seq")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise EndpointListError("seq is missing or not a non-negative integer")
    if not isinstance(raw.get("whole"), bool) or len(raw["hosts"]) > MAX_LINES:
        raise EndpointListError("whole is missing, or the list has too many entries")
    endpoints: list[Endpoint] = []
    addresses: dict[str, Address] = {}
    unreadable_lines = 0
    for line in raw["hosts"]:
        try:
            endpoint, address = _read_line(line, zones, machine_types)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            unreadable_lines += 1
            continue
        endpoints.append(endpoint)
        if address is not None:
            addresses[endpoint.id] = address
    if raw["whole"] and not endpoints:
        # An empty snapshot is far more likely a discovery fault than an empty fleet, and applying it would
        # leave the driver without endpoints.
        raise EndpointListError("complete list without a readable entry")
    return EndpointList(version, raw["whole"], tuple(endpoints), addresses, unreadable_lines)


def _read_line(line: dict[str, Any], zones: list[str], machine_types: list[str]) -> ListedEndpoint:
    name = line["host"]
    if not isinstance(name, str) or not name:
        raise ValueError("host")
    readiness = READINESS[line.get("health", "Ready")]
    address = None
    if readiness is not Readiness.REMOVED or line.get("dial"):
        address = _read_address(line["dial"])
    capacity = float(line.get("share", 1.0))
    started_ms = float(line.get("born_ms") or 0)
    if not 0 < capacity < CAPACITY_LIMIT or not 0 <= started_ms < STARTED_LIMIT_MS:
        raise ValueError("share or born_ms")
    zone = line.get("site")
    machine_type = line.get("class")
    endpoint = Endpoint(
        id=name,
        group=int(line.get("block") or 0),
        zone=zones.index(zone) if zone in zones else -1,
        machine_type=machine_types.index(machine_type) if machine_type in machine_types else -1,
        readiness=readiness,
        listed_primary=line.get("replication") == "primary",
        capacity=capacity,
        started_us=-int(-started_ms * 1000 // 1),
    )
    return ListedEndpoint(endpoint, address)


def _read_address(text: str) -> Address:
    host, _, port_text = text.rpartition(":")
    port = int(port_text)
    if not host or not 0 < port < PORT_LIMIT:
        raise ValueError("dial")
    return host.strip("[]"), port
