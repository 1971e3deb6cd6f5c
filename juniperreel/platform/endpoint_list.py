"""What discovery says, read into the module's terms. Free of I/O; lines that can't be read are counted and
left out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from juniperreel.routing.types import (
    Endpoint,
    Readiness,
)

READINESS = {
    "Ready": Readiness.READY,
    "Terminating": Readiness.DRAINING,
    "Gone": Readiness.REMOVED,
}
LINES = 10_000  # of one list


class EndpointListInvalid(Exception):
    """Not a list."""


@dataclass(frozen=True, slots=True)
class EndpointList:
    """`dials`: address of each member named here."""

    version: int
    whole: bool
    members: tuple[Endpoint, ...]
    dials: dict[str, tuple[str, int]]
    bad: int


def read(raw: Any, zones: list[str], kinds: list[str]) -> EndpointList:
    """Raises EndpointListInvalid for what is no list at all."""
    if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
        raise EndpointListInvalid("no hosts")
    version = raw.get("seq")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise EndpointListInvalid("no seq")
    if not isinstance(raw.get("whole"), bool) or len(raw["hosts"]) > LINES:
        raise EndpointListInvalid("whole is missing, or the list is too long")
    members: list[Endpoint] = []
    dials: dict[str, tuple[str, int]] = {}
    bad = 0
    for line in raw["hosts"]:
        try:
            member, dial = entry(line, zones, kinds)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            bad += 1
            continue
        members.append(member)
        if dial is not None:
            dials[member.id] = dial
    if raw["whole"] and not members:
        # Danger: an empty fleet is a broken list far more often than a true one.
        raise EndpointListInvalid("the whole list is empty")
    return EndpointList(version, raw["whole"], tuple(members), dials, bad)


def entry(
    line: dict[str, Any], zones: list[str], kinds: list[str]
) -> tuple[Endpoint, tuple[str, int] | None]:
    name = line["host"]
    if not isinstance(name, str) or not name:
        raise ValueError("host")
    readiness = READINESS[line.get("health", "Ready")]
    dial = None
    if readiness is not Readiness.REMOVED or line.get("dial"):
        host, _, port = line["dial"].rpartition(":")
        dial = (host.strip("[]"), int(port))
        if not host or not 0 < dial[1] < 65536:
            raise ValueError("dial")
    size = float(line.get("share", 1.0))
    born = float(line.get("born_ms") or 0)
    if not 0 < size < 1e6 or not 0 <= born < 1e14:
        raise ValueError("share or born_ms")
    site, kind = line.get("site"), line.get("class")
    member = Endpoint(
        id=name,
        group=int(line.get("block") or 0),
        zone=zones.index(site) if site in zones else -1,
        machine_type=kinds.index(kind) if kind in kinds else -1,
        readiness=readiness,
        listed_primary=line.get("replication") == "primary",
        capacity=size,
        started_us=-int(-born * 1000 // 1),
    )
    return member, dial
