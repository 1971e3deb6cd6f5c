"""Checks from socket traffic that nodes applied only committed configuration versions.

Versions are identified by number and content digest. A version is committed if the leader of a quorum
confirmed it to a proposer or returned it from a linearizable read. Each node must apply committed versions
only, in order.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MICROSECONDS_PER_SECOND = 1e6


@dataclass(frozen=True, slots=True)
class VersionConfirmed:
    """A version was confirmed as committed; `at` is in microseconds."""

    at: int
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class VersionApplied:
    """A node applied a version; `at` is in microseconds."""

    at: int
    node: str
    version: int
    digest: str


VersionRecord = VersionConfirmed | VersionApplied


def check_versions(records: Iterable[VersionRecord]) -> list[str]:
    """Describe all violations; the list is empty if every node applied committed versions in order."""
    found: list[str] = []
    committed: dict[int, str] = {}
    applied: list[VersionApplied] = []
    for record in records:
        if isinstance(record, VersionApplied):
            applied.append(record)
        elif committed.setdefault(record.version, record.digest) != record.digest:
            found.append(f"version {record.version} was confirmed with two contents")
    latest_versions: dict[str, int] = {}
    for record in sorted(applied, key=lambda record: record.at):
        latest = latest_versions.get(record.node, 0)
        found.extend(_check_applied(record, latest, committed.get(record.version)))
        latest_versions[record.node] = max(record.version, latest)
    return found


def _check_applied(record: VersionApplied, latest: int, committed_digest: str | None) -> Iterator[str]:
    if record.version <= latest:
        yield f"{record.node} went from version {latest} back to {record.version}"
    if committed_digest is None:
        yield f"{record.node} applied version {record.version}, which was never confirmed"
    elif committed_digest != record.digest:
        yield f"{record.node} applied another version {record.version} than was confirmed"


def propagation_delays_s(
    records: Iterable[VersionRecord], version: int, node_count: int
) -> list[float] | None:
    """Seconds from the confirmation of a version until each node applied it or a later version, sorted.

    None if the version was not confirmed, or fewer than `node_count` nodes applied it.
    """
    records = list(records)
    confirmed = [r.at for r in records if isinstance(r, VersionConfirmed) and r.version == version]
    if not confirmed:
        return None
    start = min(confirmed)
    first_applied: dict[str, int] = {}
    for record in records:
        if isinstance(record, VersionApplied) and record.version >= version:
            first_applied[record.node] = min(record.at, first_applied.get(record.node, record.at))
    if len(first_applied) < node_count:
        return None
    return sorted(max(at - start, 0) / MICROSECONDS_PER_SECOND for at in first_applied.values())
