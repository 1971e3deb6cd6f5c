"""Whether anybody acted on a configuration that was not committed, judged from what was seen on the sockets.

Versions are told by number and digest of their content. What a quorum's leader confirmed to a proposer, or
gave as a linearizable read, is committed; whatever a driver acted on must be one of those, in order.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Confirmed:
    """A version that was confirmed as committed, with the digest of its content."""

    at: int
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Acted:
    """A driver took a version into force."""

    at: int
    driver: str
    version: int
    digest: str


def check_versions(records: Iterable[Confirmed | Acted]) -> list[str]:
    """What is wrong, in words."""
    found = []
    committed: dict[int, str] = {}
    acted: list[Acted] = []
    for r in records:
        if isinstance(r, Confirmed):
            if committed.setdefault(r.version, r.digest) != r.digest:
                found.append(f"version {r.version} was confirmed with two contents")
        else:
            acted.append(r)
    last: dict[str, int] = {}
    for a in sorted(acted, key=lambda a: a.at):
        if a.version <= last.get(a.driver, 0):
            found.append(f"{a.driver} went from version {last[a.driver]} back to {a.version}")
        last[a.driver] = max(a.version, last.get(a.driver, 0))
        if a.version not in committed:
            found.append(f"{a.driver} acted on version {a.version}, which was never confirmed")
        elif committed[a.version] != a.digest:
            found.append(f"{a.driver} acted on another version {a.version} than was confirmed")
    return found


def spread(records: Iterable[Confirmed | Acted], version: int, drivers: int) -> list[float] | None:
    """Seconds from the confirmation of a version to each driver's acting on it or a later one, sorted; None
    if some never did."""
    records = list(records)
    start = min((r.at for r in records if isinstance(r, Confirmed) and r.version == version), default=None)
    if start is None:
        return None
    first: dict[str, int] = {}
    for r in records:
        if isinstance(r, Acted) and r.version >= version:
            first[r.driver] = min(r.at, first.get(r.driver, r.at))
    if len(first) < drivers:
        return None
    return sorted(max(at - start, 0) / 1e6 for at in first.values())
